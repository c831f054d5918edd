package grpcfront

import (
	"context"
	"errors"
	"sync"
	"time"

	"google.golang.org/grpc"

	"rowanyard/internal/grpcfront/pb"
	"rowanyard/internal/httpfront"
	"rowanyard/internal/patience"
)

// errNoChunk ends a stream whose server has sent nothing for httpfront.StreamStallTimeout.
var errNoChunk = errors.New("no chunk on the stream within the stall limit")

// lateRecheck is in what time a process that was held up reads what has come.
const lateRecheck = 20 * time.Millisecond

// receiveState is the state of a stream's Recv. Whichever ends the wait first, a message or the stall timer, moves it.
type receiveState int

const (
	receiveIdle    receiveState = iota // no Recv waits
	receiveWaiting                     // Recv waits for a message
	receiveStalled                     // the stall timer has ended the stream
)

// tokenStream is a model server's answer, starting with its first chunk. It is a chunkStream.
type tokenStream struct {
	call       grpc.ClientStream
	first      *pb.Chunk
	stop       context.CancelCauseFunc
	stallTimer *time.Timer

	mu    sync.Mutex
	state receiveState
	due   time.Time // when the stall timer ends the wait
}

func newTokenStream(call grpc.ClientStream, first *pb.Chunk, stop context.CancelCauseFunc) *tokenStream {
	s := &tokenStream{call: call, first: first, stop: stop}
	s.stallTimer = time.AfterFunc(time.Hour, s.endIfStalled)
	s.stallTimer.Stop()
	return s
}

// Recv returns the next chunk. It fails if the server sends nothing for httpfront.StreamStallTimeout.
func (s *tokenStream) Recv() (*pb.Chunk, error) {
	if c := s.first; c != nil {
		s.first = nil
		return c, nil
	}
	s.beginWait()
	c := new(pb.Chunk)
	err := s.call.RecvMsg(c)
	stalled := s.endWait()
	switch {
	case stalled && err != nil:
		return nil, errNoChunk
	case err != nil:
		return nil, err
	}
	return c, nil
}

func (s *tokenStream) beginWait() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state, s.due = receiveWaiting, time.Now().Add(httpfront.StreamStallTimeout)
	s.stallTimer.Reset(httpfront.StreamStallTimeout)
}

// endWait records that RecvMsg has returned, and reports whether the stall timer was first.
func (s *tokenStream) endWait() (stalled bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stallTimer.Stop()
	if s.state == receiveStalled {
		return true
	}
	s.state = receiveIdle
	return false
}

// endIfStalled ends the stream unless its wait is over. Where this process was held up, it reads what has come first.
func (s *tokenStream) endIfStalled() {
	s.mu.Lock()
	defer s.mu.Unlock()
	late := time.Since(s.due)
	if s.state != receiveWaiting || late < 0 { // the timer was for an earlier wait
		return
	}
	if late > patience.Tolerance {
		s.due = time.Now().Add(lateRecheck)
		s.stallTimer.Reset(lateRecheck)
		return
	}
	s.state = receiveStalled
	s.stop(errNoChunk)
}

// Close ends the call.
func (s *tokenStream) Close() error {
	s.stallTimer.Stop()
	s.stop(nil)
	return nil
}
