package httpfront

// This file owns the connections of clients: how many there are, how long they may say nothing, and which one makes room
// for a newcomer. It must never close a connection on which a request has begun.

import (
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"rowanyard/internal/acceptretry"
	"rowanyard/internal/inflight"
)

const (
	firstWord  = 2 * time.Second         // a new connection's first head is whole after this
	idleTime   = 2500 * time.Millisecond // a connection between two requests may stand idle so long
	silentMin  = 50 * time.Millisecond   // nobody is called silent or idle sooner
	halfMin    = 300 * time.Millisecond  // and nobody is taken to have stopped in a body
	turnedMost = 16                      // turned away at once, past them new connections wait
	turnedTime = 200 * time.Millisecond  // to send what is not read before a reset eats the answer
)

// clients is a listener that holds at most so many connections. When they are all taken, a newcomer gets the
// place of one at which no request is at work: one that has not sent a whole head, else one that stands
// idle, else one that stopped in a body, the longest first. Where every one is at work, the newcomer is told
// to come back. Nobody is left without an answer.
type clients struct {
	net.Listener
	most   int
	again  string // the Retry-After line for who is turned away, may be empty
	mu     sync.Mutex
	conns  map[*clientConn]bool
	turned chan struct{} // bounds those that are being turned away
	log    *slog.Logger
	told   time.Time      // the latest line about a full house, and since then:
	away   int            // turned away
	closed int            // closed for newcomers
	left   chan struct{}  // closed by leave
	ending atomic.Bool    // connections end with their answer
	open   inflight.Count // the connections
	served chan struct{}  // closed when Accept is not called any more
}

func newClients(l net.Listener, most int, again time.Duration, log *slog.Logger) *clients {
	return &clients{Listener: l, most: max(1, most), again: retryAfterLine(again), conns: make(map[*clientConn]bool), turned: make(chan struct{}, turnedMost), log: log,
		left: make(chan struct{}), served: make(chan struct{})}
}

// Accept implements net.Listener.
func (l *clients) Accept() (net.Conn, error) {
	for {
		c, err := l.accept()
		if err != nil {
			return nil, err
		}
		if x := l.admit(c); x != nil {
			return x, nil
		}
		l.full(&l.away)
		l.turned <- struct{}{}
		go func() {
			defer func() { <-l.turned }()
			turnAway(c, l.again)
		}()
	}
}

// accept takes the next connection, whatever fails meanwhile. After leave it takes what has come and closes the socket.
func (l *clients) accept() (net.Conn, error) {
	c, err := l.acceptNext()
	if err == nil {
		return c, nil
	}
	select {
	case <-l.left:
	default:
		return nil, err
	}
	t, ok := l.Listener.(*net.TCPListener)
	if !ok || errors.Is(err, net.ErrClosed) {
		return nil, err
	}
	// The deadline ends Accept before it looks: what waits in the socket's queue is taken one by one, with
	// nothing between the last look and the close.
	if c := waitingAt(t); c != nil {
		return c, nil
	}
	t.Close()
	return nil, net.ErrClosed
}

// acceptNext returns an error only where the listener has ended, or leave was called. A client at which no request is at work
// makes room where there is no descriptor left.
func (l *clients) acceptNext() (net.Conn, error) {
	var pause acceptretry.Pause
	for {
		c, err := l.Listener.Accept()
		if err == nil || acceptretry.Ends(err) {
			return c, err
		}
		if outOfDescriptors(err) {
			if made, _ := l.makeRoom(); made {
				continue
			}
		}
		l.log.Debug("accept failed", "err", err)
		pause.Wait()
	}
}

// waitingTries is how often a failure is passed over while the queue of a socket is emptied.
const waitingTries = 64

// waitingAt takes a connection that has come already, nil where there is none.
func waitingAt(t *net.TCPListener) net.Conn {
	raw, err := t.SyscallConn()
	if err != nil {
		return nil
	}
	fd := -1
	_ = raw.Control(func(l uintptr) {
		var err error
		for range waitingTries {
			fd, _, err = syscall.Accept4(int(l), syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
			if err == nil || errors.Is(err, syscall.EAGAIN) {
				return
			}
		}
	})
	if fd < 0 {
		return nil
	}
	file := os.NewFile(uintptr(fd), "client")
	defer file.Close() // FileConn has its own copy
	c, err := net.FileConn(file)
	if err != nil {
		return nil
	}
	return c
}

// leave gives the address up to another process that listens there too: what has come is still taken.
// Guards against the reset of connections that wait in the queue of a socket that closes.
func (l *clients) leave() {
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case <-l.left:
		return
	default:
		close(l.left)
	}
	if t, ok := l.Listener.(*net.TCPListener); ok {
		_ = t.SetDeadline(time.Now())
	}
}

// limit changes how many connections are held.
func (l *clients) limit(most int) {
	l.mu.Lock()
	l.most = max(1, most)
	l.mu.Unlock()
}

// sweep closes connections at which no request is at work.
func (l *clients) sweep() {
	l.mu.Lock()
	var old []*clientConn
	for c := range l.conns {
		switch kind := int(c.state.Load()); {
		case kind == atWork && time.Since(epoch)-time.Duration(c.at.Load()) > halfMin:
			if c.half.CompareAndSwap(true, false) { // a body that has stopped
				old = append(old, c)
			}
		case (kind == waiting || kind == idle) && c.state.CompareAndSwap(int32(kind), shed):
			old = append(old, c)
		}
	}
	l.mu.Unlock()
	for _, c := range old {
		c.evict()
	}
}

// Guard returns l such that at most so many connections to server are held and the silent ones make room.
func Guard(server *http.Server, l net.Listener, most int, log *slog.Logger) net.Listener {
	server.ConnContext, server.ConnState, server.MaxHeaderBytes = withConn, connState, maxHead
	return newClients(l, most, 0, log)
}

// admit takes a connection in, or returns nil where all that there may be are at work.
func (l *clients) admit(c net.Conn) *clientConn {
	for {
		l.mu.Lock()
		if len(l.conns) < l.most {
			x := &clientConn{Conn: c, from: l, since: time.Now()}
			x.is(waiting)
			l.conns[x] = true
			l.open.Begin()
			l.mu.Unlock()
			return x
		}
		l.mu.Unlock()
		switch made, wait := l.makeRoom(); {
		case !made && wait == 0:
			return nil
		case !made:
			time.Sleep(wait)
		}
	}
}

// makeRoom closes the connection that goes first, never one at work. Where there is none yet it says how long until there
// may be, 0 = none at all.
func (l *clients) makeRoom() (made bool, wait time.Duration) {
	for {
		l.mu.Lock()
		old, wait := l.victim()
		l.mu.Unlock()
		if old == nil {
			return false, wait
		}
		if old.half.CompareAndSwap(true, false) || old.state.CompareAndSwap(waiting, shed) || old.state.CompareAndSwap(idle, shed) {
			old.evict()
			l.full(&l.closed)
			return true, 0
		}
	}
}

// victim is the connection that goes first for a newcomer. Where those that could are too young yet, it
// says how long until one is not. The caller holds the lock.
func (l *clients) victim() (first *clientConn, wait time.Duration) {
	best, age := len(shedAfter), time.Duration(0)
	for c := range l.conns {
		kind, since := int(c.state.Load()), time.Since(epoch)-time.Duration(c.at.Load())
		if kind == atWork {
			if !c.half.Load() {
				continue
			}
			kind = halfBody
		}
		if kind >= len(shedAfter) {
			continue
		}
		if left := shedAfter[kind] - since; left > 0 {
			if kind != halfBody && (wait == 0 || left < wait) {
				wait = left
			}
			continue
		}
		if kind < best || kind == best && since > age {
			first, best, age = c, kind, since
		}
	}
	return first, wait
}

// full counts what a full house led to, and says so once a second at most.
func (l *clients) full(what *int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	*what++
	if time.Since(l.told) < time.Second {
		return
	}
	l.log.Warn("full house", "open", len(l.conns), "turned_away", l.away, "closed", l.closed)
	l.told, l.away, l.closed = time.Now(), 0, 0
}

// retryAfterLine is the line of a head that says when to come back, empty where none may be told.
func retryAfterLine(after time.Duration) string {
	if after <= 0 {
		return ""
	}
	return "Retry-After: " + seconds(after) + "\r\n"
}

// refusalText is the answer to a request of which nothing was sent on, such as one that there is no room for. last has it
// tell the end of the connection.
func refusalText(again string, last bool) string {
	text := "HTTP/1.1 503 Service Unavailable\r\n" + again + "Content-Length: 0\r\n"
	if last {
		text += "Connection: close\r\n"
	}
	return text + "\r\n"
}

// turnAway refuses whatever a connection brings: nothing of it has been read, let alone sent on.
func turnAway(c net.Conn, again string) {
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(turnedTime))
	if _, err := io.WriteString(c, refusalText(again, true)); err != nil {
		return
	}
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.CloseWrite()
	}
	_, _ = io.CopyN(io.Discard, c, maxBody)
}

// What a connection does, in the order in which they make room.
const (
	waiting  = iota // for its first whole head
	idle            // between two requests
	halfBody        // at work, but its body has not come
	atWork
	shed
)

// shedAfter is how long it must have done so.
var shedAfter = [...]time.Duration{waiting: silentMin, idle: silentMin, halfBody: halfMin}
