// Package logsink bounds what logging costs a process: a reader of the log that is slow or has stopped delays nobody, and
// neither do messages that peers can cause at will.
package logsink

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const maxPending = 256 << 10 // bytes of lines that the reader of the log has not taken yet

// Writer writes lines in the background. Lines for which there is no room are dropped and counted. Its methods may be called
// from several goroutines.
type Writer struct {
	out io.Writer

	mu      sync.Mutex
	pending []byte
	spare   []byte // the other buffer
	dropped int
	writing bool
	idle    *sync.Cond
}

// NewWriter returns a Writer to out.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out}
	w.idle = sync.NewCond(&w.mu)
	return w
}

// Write implements io.Writer. p is one or more lines. It never fails.
func (w *Writer) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.pending)+len(p) > maxPending {
		w.dropped++
		return len(p), nil
	}
	w.pending = append(w.pending, p...)
	if !w.writing {
		w.writing = true
		go w.drain()
	}
	return len(p), nil
}

// drain writes until nothing is pending.
func (w *Writer) drain() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for len(w.pending) > 0 {
		batch := w.pending
		if w.dropped > 0 {
			batch = fmt.Appendf(batch, "time=%s level=WARN msg=\"log lines dropped\" lines=%d\n", time.Now().Format(time.RFC3339Nano), w.dropped)
			w.dropped = 0
		}
		w.pending = w.spare[:0]
		w.mu.Unlock()
		_, _ = w.out.Write(batch)
		w.mu.Lock()
		w.spare = batch
	}
	w.writing = false
	w.idle.Broadcast()
}

// Flush waits until all lines are written, for at most the given time.
func (w *Writer) Flush(limit time.Duration) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		w.mu.Lock()
		defer w.mu.Unlock()
		for w.writing {
			w.idle.Wait()
		}
	}()
	select {
	case <-done:
	case <-time.After(limit):
	}
}
