package grpcfront

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/grpc"

	"rowanyard/internal/grpcfront/pb"
	"rowanyard/internal/httpfront"
	"rowanyard/internal/patience"
)

// delayedCall is a call whose messages come at given intervals, until its context ends.
type delayedCall struct {
	grpc.ClientStream
	ctx       context.Context
	intervals []time.Duration
}

// RecvMsg implements grpc.ClientStream.
func (c *delayedCall) RecvMsg(any) error {
	wait := c.intervals[0]
	c.intervals = c.intervals[1:]
	select {
	case <-time.After(wait):
		return nil
	case <-c.ctx.Done():
		return c.ctx.Err()
	}
}

// newDelayedStream returns a stream of messages that come at the given intervals.
func newDelayedStream(t *testing.T, intervals ...time.Duration) *tokenStream {
	ctx, stop := context.WithCancelCause(t.Context())
	return newTokenStream(&delayedCall{ctx: ctx, intervals: intervals}, &pb.Chunk{}, stop)
}

// A message comes just before, at, or just after the time at which its stream has stalled: the stream goes on behind a message that
// was in time, and a message that is not is the last one.
func TestMessageCrossesTheStallTimer(t *testing.T) {
	for _, after := range []time.Duration{-1, 0, 1} {
		for range 50 {
			synctest.Test(t, func(t *testing.T) {
				s := newDelayedStream(t, httpfront.StreamStallTimeout+after, time.Millisecond)
				defer s.Close()
				_, _ = s.Recv() // the first chunk
				_, err := s.Recv()
				stalled := s.state == receiveStalled
				if _, next := s.Recv(); stalled != (next != nil) || err != nil && !stalled || after < 0 && stalled || after > 0 && !errors.Is(err, errNoChunk) {
					t.Errorf("%v after the timer: %v, then %v, stalled %v", after, err, next, stalled)
				}
			})
		}
	}
}

// Where this process was held up, a message that has come meanwhile is read before the stream counts as stalled.
func TestLateStallTimerWaitsForWhatHasCome(t *testing.T) {
	for wait, stalls := range map[time.Duration]bool{lateRecheck / 2: false, 2 * lateRecheck: true} {
		synctest.Test(t, func(t *testing.T) {
			s := newDelayedStream(t, wait)
			defer s.Close()
			_, _ = s.Recv() // the first chunk
			time.AfterFunc(0, func() {
				s.mu.Lock()
				s.due = time.Now().Add(-patience.Tolerance - 1) // as if the timer came late
				s.mu.Unlock()
				s.endIfStalled()
			})
			if _, err := s.Recv(); errors.Is(err, errNoChunk) != stalls {
				t.Errorf("a message %v behind the late timer: %v", wait, err)
			}
		})
	}
}
