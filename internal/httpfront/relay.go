package httpfront

// The relay of a worker's stream to its client, unchanged and without delay.

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"rowanyard/decide"
)

const (
	copyBufferBytes    = 8 << 10
	cutSpread          = 600 * time.Millisecond // streams that can't be handed over are cut at random times within this
	clientWriteTimeout = 30 * time.Second       // a client that accepts no data for this long is disconnected
)

var errClientLeft = errors.New("the client has left, or takes nothing")

// Stream is the type of core.Answer.Stream in this package: a worker's events as they were received.
type Stream interface {
	io.ReadCloser
	Header() http.Header
}

// relay passes a worker's stream on and reports to the core how it ended. A broken stream is returned as an error, on
// which the proxy closes the client's connection without the last chunk.
type relay struct {
	Stream
	front       *Front
	id          string // of the request
	onEnd       func(decide.Status, error)
	client      *http.ResponseController
	conn        *clientConn // nil if the client's connection is none
	chunked     bool        // so is the answer to the client; the end of the connection ends it otherwise
	stopCutting func() bool // set once some of the stream has passed, which it must before it is handed over or cut
	cut         atomic.Bool
	handedOver  bool // the next Read returns errHandedOver
	ended       bool // Read has returned the stream's end
}

func (r *relay) Read(p []byte) (int, error) {
	n, err := 0, errHandedOver
	if !r.handedOver {
		n, err = r.Stream.Read(p)
	}
	if err == errHandedOver {
		if r.handedOver = true; n > 0 { // passed on first
			return n, nil
		}
		if r.handOver() {
			r.onEnd(decide.Served, nil) // complete as far as the core is concerned
			r.conn.endOwing()
		}
	}
	if r.stopCutting == nil && n > 0 {
		r.stopCutting = context.AfterFunc(r.front.cutCtx, r.handOverOrCut)
	}
	r.recordProgress(n, err)
	r.limitWrite()
	switch {
	case err == io.EOF:
		r.onEnd(decide.Served, nil)
	case err != nil && r.cut.Load(), err == errHandedOver:
		r.onEnd(decide.Cancelled, err)
	case err != nil:
		r.onEnd(decide.Reset, err)
	}
	return n, err
}

// limitWrite limits the write that follows. A client that stops reading would otherwise hold its stream, and a slot at the writer,
// for good.
func (r *relay) limitWrite() {
	if r.conn == nil {
		_ = r.client.SetWriteDeadline(time.Now().Add(r.front.writeTimeout))
		return
	}
	r.conn.deadlines.allowWrites(r.front.writeTimeout)
}

// recordProgress records what the client's connection has come to.
func (r *relay) recordProgress(n int, err error) {
	if r.conn == nil {
		return
	}
	broken := err != nil && err != io.EOF
	if broken && !r.chunked {
		r.conn.answerBroken.Store(true)
	}
	owed := r.conn.owed.Load()
	if owed == nil {
		return
	}
	owed.bytes.Add(int64(n))
	switch {
	case broken && r.conn.inputEnded.Load(): // which ends the request and, with it, the stream
		owed.left.Store(true)
	case broken:
		why := err
		owed.broken.Store(&why)
	}
	r.ended = r.ended || err != nil
}

// handOverOrCut has the stream handed over to the process that takes over. One that can't be is cut if its client requests
// the rest, and goes on in this process otherwise.
func (r *relay) handOverOrCut() {
	s, ok := r.Stream.(*stream)
	if ok && r.conn != nil && r.chunked && r.front.successorPath.get() != "" && s.requestHandOver() || !r.front.CutStreams {
		return
	}
	// The clients of cut streams send their prompts again to request the rest; all at once they would overload the other
	// routers.
	time.Sleep(rand.N(cutSpread))
	r.cut.Store(true)
	r.Stream.Close()
}

// handOver hands the stream over to the process that takes over, or has this process relay the rest where that one does not
// take it. It reports whether the stream goes on.
func (r *relay) handOver() bool {
	s := r.Stream.(*stream)
	r.conn.socket.pause()
	position := streamPositionOf(s.conn.chunks, s.events)
	position.Behind, position.ID = int(r.conn.pipelined.Load()), r.id
	position.Waited = s.nextEvent.waited().Milliseconds()
	worker := s.conn.handOverFD
	client, err := dup(r.conn.Conn)
	if err != nil {
		syscall.Close(worker)
		r.front.log.Warn("a stream was not handed on", "err", err)
		return false
	}
	err = r.front.handOverStream(position, client, worker)
	if err != nil && !r.front.CutStreams {
		position.Waited = s.nextEvent.waited().Milliseconds() // the other process had a part of it
		return r.front.keptStreams.startStream(position, []int{client, worker}, nil) == nil
	}
	if err != nil {
		r.conn.handOverFailed.Store(true)
		_ = syscall.Shutdown(worker, syscall.SHUT_RDWR)
	}
	syscall.Close(client)
	syscall.Close(worker)
	return err == nil
}

func (r *relay) Close() error {
	if r.stopCutting != nil {
		r.stopCutting()
	}
	if r.conn != nil && !r.ended {
		if owed := r.conn.owed.Load(); owed != nil {
			owed.left.Store(true)
		}
	}
	r.onEnd(decide.Cancelled, errClientLeft) // has no effect if the stream has ended; otherwise the client has left
	return r.Stream.Close()
}

// bufferPool reuses the buffers that streams are copied with.
type bufferPool struct{ pool sync.Pool }

func (b *bufferPool) Get() []byte {
	if p, ok := b.pool.Get().(*[]byte); ok {
		return *p
	}
	return make([]byte, copyBufferBytes)
}

func (b *bufferPool) Put(p []byte) { b.pool.Put(&p) }
