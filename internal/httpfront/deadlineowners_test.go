package httpfront

// Deadlines that cross the end of the message that they were set for.

import (
	"context"
	"io"
	"net"
	"os"
	"sync/atomic"
	"testing"
	"testing/synctest"
)

// interruptedOnce is a connection whose first read is interrupted as by a deadline.
type interruptedOnce struct {
	net.Conn
	interrupted *atomic.Bool
}

func (c interruptedOnce) Read(p []byte) (int, error) {
	if c.interrupted.CompareAndSwap(false, true) {
		return 0, os.ErrDeadlineExceeded
	}
	return c.Conn.Read(p)
}

// A stream that was to be handed over and goes on here is not ended by the deadline that was set for its handover.
func TestLateDeadlineOfHandoverDoesNotEndTheStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cutCtx, cut := context.WithCancel(t.Context())
		cut()
		client, clientSide := net.Pipe()
		worker, workerSide := net.Pipe()
		s := &receivedStream{receiver: &StreamReceiver{front: &Front{}, log: discardLogger, cutCtx: cutCtx}, client: clientSide,
			worker: interruptedOnce{workerSide, new(atomic.Bool)}, releaseID: func() {}}
		go s.run()
		go io.WriteString(worker, chunk("data: [DONE]\n\n")+bodyEnd)
		text, _ := io.ReadAll(client)
		if want := chunk("data: [DONE]\n\n") + bodyEnd; string(text) != want {
			t.Errorf("the client got %q, want %q", text, want)
		}
	})
}
