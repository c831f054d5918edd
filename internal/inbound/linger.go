package inbound

import (
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"rowanyard/internal/delivery"
	"rowanyard/internal/inflight"
)

const (
	lingerTime    = 500 * time.Millisecond // for a client to read its last answer and close
	maxLingerTime = 3 * time.Second        // for a client's system to acknowledge its last answer
	lingerBuffer  = 4 << 10
)

var (
	errNotAcknowledged = errors.New("the client's system has not acknowledged it")
	errCrowdedOut      = errors.New("too many connections linger")
)

// Lingerer closes connections to clients, and writes the last answer that one is owed: a close over unread input, or over input
// that comes right after it, sends a reset, which could overtake the answer. It ends the sending side and discards what still
// comes until the client has closed too. At most so many connections linger at once: one more ends the oldest whose client has
// its answer, or else the oldest.
type Lingerer struct {
	Work *Work
	Max  int // as the memory allows

	mu    sync.Mutex
	limit int          // as the descriptors allow, 0: any number
	conns []*lingering // the oldest first
	open  inflight.Counter
}

// lingering is a connection that lingers.
type lingering struct {
	net.Conn
	client    *Client
	unsent    []byte      // of the last answer
	unwritten atomic.Bool // the system has not taken all of it
	lost      func(error)
}

// halfCloser is a connection whose sending side can be ended by itself.
type halfCloser interface{ CloseWrite() error }

// Close writes the last answer to a client, if there is one, and closes its connection, in the background where something may
// still come. lost is called if the answer did not go out; it may be nil where nothing is written.
func (l *Lingerer) Close(c net.Conn, last []byte, lost func(error)) error {
	if lost == nil {
		lost = func(error) {}
	}
	unsent, err := delivery.WriteNow(c, last)
	if err != nil {
		lost(err)
		return c.Close()
	}
	half, ok := c.(halfCloser)
	if !ok || len(unsent) == 0 && half.CloseWrite() != nil {
		return c.Close()
	}
	entry := &lingering{Conn: c, client: l.Work.NewClient(), unsent: unsent, lost: lost}
	entry.client.Order = Last
	entry.unwritten.Store(len(unsent) > 0)
	l.add(entry)
	l.open.Begin()
	go func() {
		defer l.open.End()
		defer l.remove(entry)
		entry.finish()
	}()
	return nil
}

// Wait waits until no connection lingers. It returns false if ctx ends first.
func (l *Lingerer) Wait(ctx context.Context) bool { return l.open.Wait(ctx) }

// SetLimit sets how many connections may linger for their descriptors.
func (l *Lingerer) SetLimit(descriptors int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limit = max(1, descriptors)
}

func (l *Lingerer) add(c *lingering) {
	l.mu.Lock()
	defer l.mu.Unlock()
	most := l.Max
	if l.limit > 0 {
		most = min(most, l.limit)
	}
	for l.conns = append(l.conns, c); len(l.conns) > most; {
		l.endOne()
	}
}

// endOne ends the oldest connection whose client has its answer, or else the oldest. The caller holds l.mu.
func (l *Lingerer) endOne() {
	i := slices.IndexFunc(l.conns, func(c *lingering) bool { return !c.isOwed() })
	if i < 0 {
		i = 0
		l.conns[i].lost(errCrowdedOut)
	}
	l.conns[i].end()
	l.conns = slices.Delete(l.conns, i, i+1)
}

func (l *Lingerer) remove(c *lingering) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, other := range l.conns {
		if other == c {
			l.conns = append(l.conns[:i], l.conns[i+1:]...)
			break
		}
	}
	c.end()
}

// end closes the connection, and ends its wait for a turn.
func (c *lingering) end() {
	c.client.Close()
	c.Conn.Close()
}

// isOwed reports whether the client's system has not acknowledged all of the last answer.
func (c *lingering) isOwed() bool {
	bytes, ok := delivery.Unacknowledged(c.Conn)
	return c.unwritten.Load() || ok && bytes > 1 // the end of the sending side counts as one
}

// finish writes what is left of the last answer, and waits for the client.
func (c *lingering) finish() {
	if len(c.unsent) > 0 {
		if err := delivery.Write(c.Conn, c.unsent, lingerTime); err != nil {
			c.lost(err)
			return
		}
		c.unwritten.Store(false)
		_ = c.Conn.(halfCloser).CloseWrite()
	}
	c.discard(lingerTime)
	if !c.isOwed() {
		return
	}
	c.discard(maxLingerTime - lingerTime)
	if c.isOwed() {
		c.lost(errNotAcknowledged)
	}
}

// discard reads until the client has closed or the time is over.
func (c *lingering) discard(limit time.Duration) {
	c.client.Interrupt(false)
	_ = c.SetReadDeadline(time.Now().Add(limit))
	interrupted := make(chan struct{})
	timer := time.AfterFunc(limit, func() {
		c.client.Interrupt(true)
		close(interrupted)
	})
	defer func() {
		if !timer.Stop() { // it must not interrupt what comes next
			<-interrupted
		}
	}()
	reader := NewReader(c.Conn, c.client)
	buffer := make([]byte, lingerBuffer)
	for {
		if _, err := reader.Read(buffer); err != nil {
			return
		}
	}
}
