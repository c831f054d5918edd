package main

// The end of a process that has been told to end: what it still takes and answers, and when.

import (
	"context"
	"sync"
	"time"

	"google.golang.org/grpc"
)

const (
	exitMargin        = 500 * time.Millisecond  // between the end of the process and the earliest kill
	killMargin        = 700 * time.Millisecond  // the earliest kill comes this long after the longest deadline
	admissionTime     = 700 * time.Millisecond  // from the signal; what the kill cuts of a request that came later is lost
	guaranteedDrain   = 3 * time.Second         // a longer deadline does not delay the kill any further
	finalAnswerMargin = 700 * time.Millisecond  // before the earliest kill, when open requests get their final answer
	handOverMargin    = 1300 * time.Millisecond // before the earliest kill, when streams are handed over
	minHandOverDelay  = 100 * time.Millisecond  // from the signal until streams are handed over, however early the kill
)

// drainedServer is a gRPC server with what its shutdown has to know.
type drainedServer struct {
	*grpc.Server
	carriesStreams bool // a stream to a client breaks if its call is cut
}

// drain shuts all fronts down gracefully: open requests are answered, and streams that still run are handed over to the
// process that takes over, if there is one. told is when the signal came.
func (p *process) drain(told time.Time) {
	untilKilled := p.untilKilled()
	p.core.CloseAdmission(told.Add(admissionTime))
	defer time.AfterFunc(untilKilled-finalAnswerMargin, p.endRequests).Stop()
	successor, hasSuccessor := p.control.Successor()
	if !hasSuccessor {
		successor = ""
	}
	drainTime := max(guaranteedDrain, time.Duration(p.reloader.longestDeadline.Load()))
	p.log.Info("draining", "for_at_most", drainTime.String(), "handed_on", hasSuccessor)
	limit := drainTime + killMargin - exitMargin
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	streamsCtx := ctx
	if !p.site.Resume { // a stream that is cut is a lost request: only the kill ends it before its end
		streamsCtx = context.Background()
	}
	p.front.HandOverAfter = max(minHandOverDelay, untilKilled-handOverMargin)
	if p.endGRPCStreams != nil {
		defer time.AfterFunc(p.untilGRPCStreamsEnd(untilKilled), p.endGRPCStreams).Stop()
	}
	drained := make(chan struct{})
	go func() {
		defer close(drained)
		p.drainGRPC(ctx, streamsCtx)
	}()
	p.front.Shutdown(streamsCtx, successor)
	<-drained
	p.core.Wait(ctx)
	stopped, violated := p.core.Guard.Totals()
	p.log.Info("ended", "stopped", stopped, "violated", violated)
}

// endRequests has each open request answered, and closes connections on which another one could still come.
func (p *process) endRequests() {
	p.core.Shutdown()
	p.front.CloseInactive()
}

// untilGRPCStreamsEnd returns the time from the termination signal until the running streams of gRPC clients are ended. They
// can't be handed over. A stream that the kill cut would look to its client like a refused request, which may be sent again.
func (p *process) untilGRPCStreamsEnd(untilKilled time.Duration) time.Duration {
	if p.site.Resume { // while there is another router to request the rest from
		return p.front.HandOverAfter
	}
	return untilKilled - exitMargin
}

// untilKilled returns the shortest time from the termination signal to the kill.
func (p *process) untilKilled() (kill time.Duration) {
	for _, class := range p.core.Settings().Classes {
		kill = max(kill, min(guaranteedDrain, class.Deadline)+killMargin)
	}
	return kill
}

// drainGRPC shuts the gRPC servers down gracefully, and forcibly once ctx ends, or streamsCtx for those on whose calls streams to
// clients depend.
func (p *process) drainGRPC(ctx, streamsCtx context.Context) {
	var servers sync.WaitGroup
	for _, server := range p.grpcServers {
		limit := ctx
		if server.carriesStreams {
			limit = streamsCtx
		}
		servers.Go(func() {
			defer context.AfterFunc(limit, server.Stop)()
			server.GracefulStop()
		})
	}
	servers.Wait()
}
