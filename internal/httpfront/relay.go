package httpfront

// This file passes the stream of a worker on to the client. It must never change what the worker sent, nor hold it back.

import (
	"context"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"rowanyard/decide"
)

const (
	copyBuffer = 8 << 10
	handSpread = 600 * time.Millisecond // streams are handed over one by one within this
	writeLimit = 30 * time.Second       // a client that takes nothing for so long is let go
)

// Stream is what an Answer of this front streams: a worker's events as they stand on the wire.
type Stream interface {
	io.ReadCloser
	Header() http.Header
}

// relay passes a worker's stream on and tells the core how it ended. A stream that breaks is an
// error here, on which the proxy ends the client's connection without the last chunk.
type relay struct {
	Stream
	ended  func(decide.Status)
	client *http.ResponseController
	writes time.Duration
	over   context.Context // when it ends the stream is cut, but not before something of it has passed
	keep   func() bool
	moved  atomic.Bool
	heirs  *heir
	conn   *clientConn // nil where the answer has no chunks
	given  bool        // Read ends with errHanded next
	log    *slog.Logger
}

func (r *relay) Read(p []byte) (int, error) {
	n, err := 0, errHanded
	if !r.given {
		n, err = r.Stream.Read(p)
	}
	if err == errHanded {
		if r.given = true; n > 0 { // is passed on first
			return n, nil
		}
		if r.give() {
			r.ended(decide.Served) // as far as this process goes
		}
	}
	if r.keep == nil && n > 0 {
		r.keep = context.AfterFunc(r.over, func() {
			if s, ok := r.Stream.(*stream); ok && r.conn != nil && r.heirs.get() != "" && s.handOver() {
				return
			}
			// Guards the other routers: all at once would be a burst of prompts to read.
			time.Sleep(rand.N(handSpread))
			r.moved.Store(true)
			r.Stream.Close()
		})
	}
	// Guards against a client that stops reading and would hold its stream, and a writer's slot, for good.
	_ = r.client.SetWriteDeadline(time.Now().Add(r.writes))
	switch {
	case err == io.EOF:
		r.ended(decide.Served)
	case err != nil && r.moved.Load(), err == errHanded:
		r.ended(decide.Cancelled)
	case err != nil:
		r.ended(decide.Reset)
	}
	return n, err
}

// give hands the stream to the process that takes over. If that fails it breaks, and its client asks for
// the rest.
func (r *relay) give() bool {
	s := r.Stream.(*stream)
	defer syscall.Close(s.conn.gift)
	r.conn.ends.pause()
	client, err := dup(r.conn.Conn)
	if err == nil {
		defer syscall.Close(client)
		at := handedOf(s.conn.chunk, s.scan)
		at.Behind = int(r.conn.behind.Load())
		err = give(r.heirs.get(), at, client, s.conn.gift)
	}
	if err != nil {
		r.log.Warn("a stream was not handed on", "err", err)
	}
	return err == nil
}

func (r *relay) Close() error {
	if r.keep != nil {
		r.keep()
	}
	_ = r.client.SetWriteDeadline(time.Time{}) // the connection may be used again
	r.ended(decide.Cancelled)                  // the client has gone, if the stream has not ended before
	return r.Stream.Close()
}

// bufferPool bounds what copying the streams takes.
type bufferPool struct{ pool sync.Pool }

func (b *bufferPool) Get() []byte {
	if p, ok := b.pool.Get().(*[]byte); ok {
		return *p
	}
	return make([]byte, copyBuffer)
}

func (b *bufferPool) Put(p []byte) { b.pool.Put(&p) }
