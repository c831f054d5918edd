package decisions_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/durationpb"

	"rowanyard/internal/decisions"
	"rowanyard/internal/decisions/pb"
	"rowanyard/internal/grant/rules"
	"rowanyard/internal/standin"
)

// eventLog is the event log of a run over sockets.
type eventLog struct {
	mu        sync.Mutex
	start     time.Time
	events    []rules.Event
	callCount int
}

func (d *eventLog) add(kind rules.Kind, request, worker string, call int, once bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.events = append(d.events, rules.Event{At: time.Since(d.start), Kind: kind, Request: request, Worker: worker, Call: call, NonIdempotent: once})
}

func (d *eventLog) call() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.callCount++
	return d.callCount
}

// unreliableCaller is a caller that pauses before every message, repeats calls, delays answers, disconnects, and loses and
// duplicates reports. It still does what callers must: it sends within the validity of a grant and renews what it carries.
type unreliableCaller struct {
	*caller
	rng      *rand.Rand
	eventLog *eventLog
	drained  *sync.Map // workers that were draining before the calls that check it
}

func (s *unreliableCaller) chance(p float64) bool { return s.rng.Float64() < p }
func (s *unreliableCaller) pause() {
	if s.chance(0.3) {
		<-time.After(time.Duration(s.rng.Int64N(int64(60 * time.Millisecond))))
	}
}

// choose asks for a choice, and again if it disconnects in between. It returns nil if there is no choice.
func (s *unreliableCaller) choose(id, class string, attempt int32) (*pb.Choice, time.Time) {
	for range 6 {
		s.pause()
		ctx, leave := context.WithTimeout(metadata.AppendToOutgoingContext(context.Background(), decisions.CallerMetadataKey, s.name), 20*time.Second)
		if s.chance(0.15) {
			time.AfterFunc(time.Duration(s.rng.Int64N(int64(30*time.Millisecond))), leave)
		}
		closed := map[string]bool{}
		s.drained.Range(func(k, _ any) bool { closed[k.(string)] = true; return true })
		number, asked := s.eventLog.call(), time.Now()
		s.eventLog.add(rules.Asked, id, "", number, false)
		g, err := s.Choose(ctx, &pb.ChooseRequest{Request: id, Attempt: attempt, Class: class, PromptTokens: 40, FirstTokenWithin: durationpb.New(2 * time.Second)})
		leave()
		switch status.Code(err) {
		case codes.Canceled, codes.DeadlineExceeded:
			s.eventLog.add(rules.Disconnected, id, "", number, false)
			continue
		}
		s.eventLog.add(rules.Answered, id, "", number, false)
		if err != nil {
			if status.Code(err) == codes.FailedPrecondition {
				continue
			}
			return nil, asked
		}
		if closed[g.Worker] && attempt == g.Attempt && time.Since(asked) < 100*time.Millisecond {
			if _, still := s.drained.Load(g.Worker); still && g.Valid.AsDuration() > 500*time.Millisecond {
				s.t.Errorf("%s is granted draining worker %s for %v", id, g.Worker, g.Valid.AsDuration())
			}
		}
		if s.chance(0.2) { // repeat the call: the answer has to be the same
			continue
		}
		return g, asked
	}
	return nil, time.Time{}
}

func (s *unreliableCaller) reportUnreliably(g *pb.Choice, fate pb.Fate) {
	if s.chance(0.06) {
		return
	}
	s.pause()
	s.report(g, fate)
	if s.chance(0.2) {
		s.report(g, fate)
	}
}

func (s *unreliableCaller) request(id, class string) (begun bool) {
	for attempt := int32(0); attempt < 5; attempt++ {
		g, asked := s.choose(id, class, attempt)
		if g == nil || s.chance(0.05) { // or forgets the request
			return false
		}
		s.pause()
		if s.chance(0.1) || time.Since(asked) > g.Valid.AsDuration() {
			s.reportUnreliably(g, pb.Fate_FATE_NOT_SENT)
			continue
		}
		stop := make(chan struct{})
		go func() {
			for t := time.NewTicker(60 * time.Millisecond); ; {
				select {
				case <-stop:
					t.Stop()
					return
				case <-t.C:
					s.Renew(s.ctx(), &pb.RenewRequest{TakenUp: []uint64{g.Grant}})
				}
			}
		}()
		code, _ := s.sendAttempt(g, id, class, id)
		close(stop)
		switch {
		case code == 202:
			s.reportUnreliably(g, pb.Fate_FATE_READ)
		case code == 200:
			s.reportUnreliably(g, pb.Fate_FATE_BEGUN)
			return true
		case code == 503 || code == 410:
			s.reportUnreliably(g, pb.Fate_FATE_TURNED_AWAY)
		default:
			s.reportUnreliably(g, pb.Fate_FATE_RAN)
		}
	}
	return false
}

// Over sockets, with workers that turn away, fail and reset, and some that drain: no message runs twice, every waiting call
// gets one answer, and nothing is held at the end. The time limits are tested on a virtual clock in package grant.
func TestCallersThatStall(t *testing.T) {
	d := &eventLog{start: time.Now()}
	kinds := map[string]rules.Kind{"out": rules.Opened, "in": rules.Closed, "held": rules.Held, "freed": rules.Released, "effect": rules.Effect}
	b := start(t, standin.Options{Readers: 3, Writers: 4, Tokens: 2,
		FaultFor: standin.RandomFaults(5, 0.04, standin.Reject, standin.Error, standin.ResetBeforeFirstToken, standin.ResetMidStream),
		OnEvent:  func(what, id, class, host string) { d.add(kinds[what], id, host, 0, class == "send-message") }})
	var drained sync.Map
	var begun atomic.Int64
	done := make(chan struct{})
	var rounds sync.WaitGroup
	rounds.Go(func() {
		hosts := b.fleet.Hosts()
		for i := 0; ; i++ {
			select {
			case <-done:
				b.setWorkers(nil)
				return
			case <-time.After(40 * time.Millisecond):
			}
			out := hosts[i%len(hosts)].Host
			b.setWorkers(map[string]bool{out: true})
			drained.Clear()
			drained.Store(out, true)
		}
	})
	var all sync.WaitGroup
	const callers, each = 8, 12
	for n := range callers {
		all.Go(func() {
			s := &unreliableCaller{caller: b.caller(fmt.Sprint("p", n)), rng: rand.New(rand.NewPCG(uint64(n), 3)), eventLog: d, drained: &drained}
			for i := range each {
				id := fmt.Sprintf("m-%d-%d", n, i)
				if s.chance(0.1) { // the id of another caller's request
					id = fmt.Sprintf("m-%d-%d", (n+1)%callers, i)
				}
				class := "send-message"
				if s.chance(0.3) {
					class, id = "draft-reply", "d"+id
				}
				for range 3 {
					if s.request(id, class) {
						begun.Add(1)
						break
					}
				}
			}
		})
	}
	all.Wait()
	close(done)
	rounds.Wait()
	b.waitSettled()
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, x := range rules.Check(d.events, rules.Limits{DrainGrace: time.Hour, HoldTimeout: time.Hour}, time.Since(d.start)) {
		t.Error(x)
	}
	for id, n := range b.fleet.Effects() {
		if n > 1 && id[:4] == "send" {
			t.Errorf("%s ran %d times", id, n)
		}
	}
	t.Logf("%d of %d begun, %d calls", begun.Load(), callers*each, d.callCount)
	if begun.Load() < callers*each/2 {
		t.Errorf("only %d of %d begun", begun.Load(), callers*each)
	}
}
