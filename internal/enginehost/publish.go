package enginehost

// Publishing of cache events to the routers, including replays. Each router has a stream of its own, which sends the
// kept batches at the router's pace, so that a slow router never delays an engine.

import (
	"context"
	"math/rand/v2"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"rowanyard/internal/engine"
	"rowanyard/internal/kvevents"
	"rowanyard/internal/reports/pb"
)

// collectReports takes the batches of all engines at each reportInterval.
func (cl *Cluster) collectReports() {
	for ticker := time.NewTicker(reportInterval); ; {
		select {
		case <-cl.ctx.Done():
			ticker.Stop()
			return
		case <-ticker.C:
		}
		cl.mu.Lock()
		for _, inst := range cl.instances {
			if inst.down {
				continue
			}
			inst.engine.Advance(cl.now())
			if r, ok := inst.engine.Report(); ok {
				inst.appendBatch(encodeReport(r, inst.engine.Settings().BlockTokens))
			}
		}
		cl.mu.Unlock()
	}
}

// appendBatch appends a batch to those to publish. The caller holds the lock.
func (inst *Instance) appendBatch(batch []byte) {
	inst.batches = append(inst.batches, batch)
	if n := len(inst.batches) - maxKeptBatches; n > 0 {
		inst.batches = inst.batches[n:]
		inst.firstSeq += uint64(n)
	}
	select {
	case inst.wake <- struct{}{}:
	default:
	}
}

// encodeReport returns a report in the format that engines publish.
func encodeReport(r engine.Report, blockTokens int) []byte {
	batch := kvevents.Batch{At: r.At.Seconds()}
	for _, c := range r.Changes {
		event := kvevents.Event{Parent: uint64(c.Parent), BlockTokens: blockTokens, Cleared: c.Cleared}
		for _, h := range c.Stored {
			event.Stored = append(event.Stored, uint64(h))
		}
		for _, h := range c.Removed {
			event.Removed = append(event.Removed, uint64(h))
		}
		batch.Events = append(batch.Events, event)
	}
	return kvevents.Encode(batch)
}

// publish keeps a stream to one router open until ctx ends.
func (inst *Instance) publish(ctx context.Context, addr string) {
	conn, err := grpc.NewClient("passthrough:///"+addr, grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		return
	}
	defer conn.Close()
	for ctx.Err() == nil {
		inst.publishStream(ctx, pb.NewKVEventsClient(conn))
		select {
		case <-ctx.Done():
		case <-time.After(100*time.Millisecond + rand.N(200*time.Millisecond)):
		}
	}
}

// position returns the engine's incarnation and the number of its next batch, and whether it is down.
func (inst *Instance) position() (incarnation, seq uint64, down bool) {
	inst.cluster.mu.Lock()
	defer inst.cluster.mu.Unlock()
	return inst.incarnation, inst.firstSeq + uint64(len(inst.batches)), inst.down
}

// publishStream publishes the batches of the current incarnation until that incarnation or the stream ends.
func (inst *Instance) publishStream(ctx context.Context, client pb.KVEventsClient) {
	incarnation, seq, down := inst.position()
	if down {
		return
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	stream, err := client.Publish(ctx)
	if err != nil || stream.Send(&pb.Published{Worker: inst.ID, Incarnation: incarnation, Next: seq}) != nil {
		return
	}
	replayFrom := make(chan uint64, 1)
	go func() {
		defer stop()
		for {
			m, err := stream.Recv()
			if err != nil {
				return
			}
			select {
			case replayFrom <- m.ReplayFrom:
			default:
			}
		}
	}()
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	lastSent := time.Now()
	if seq > 0 { // the router may have just started with an empty index: send all batches
		seq = 0
	}
	for {
		select {
		case <-ctx.Done():
			return
		case from := <-replayFrom:
			seq = min(seq, from)
		case <-ticker.C:
		}
		for {
			inst.cluster.mu.Lock()
			if inst.incarnation != incarnation || inst.down {
				inst.cluster.mu.Unlock()
				return
			}
			if seq < inst.firstSeq { // no longer kept: append a snapshot and send that as the latest batch
				inst.appendBatch(inst.snapshot())
				seq = inst.firstSeq + uint64(len(inst.batches)) - 1
			}
			sendSeq, batch := seq, []byte(nil)
			if i := seq - inst.firstSeq; i < uint64(len(inst.batches)) {
				batch = inst.batches[i]
			}
			inst.cluster.mu.Unlock()
			if batch == nil {
				break
			}
			seq++
			if inst.cluster.options.BatchLossRate > 0 && rand.Float64() < inst.cluster.options.BatchLossRate {
				continue
			}
			if stream.Send(&pb.Published{Seq: sendSeq, Batch: batch}) != nil {
				return
			}
			lastSent = time.Now()
		}
		if time.Since(lastSent) > heartbeatInterval {
			lastSent = time.Now()
			if stream.Send(&pb.Published{Next: seq}) != nil {
				return
			}
		}
	}
}

// snapshot encodes a snapshot of the engine's cache. Its number is that of the engine's next batch.
func (inst *Instance) snapshot() []byte {
	return encodeReport(inst.engine.Snapshot(), inst.engine.Settings().BlockTokens)
}
