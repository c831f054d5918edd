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
	firstHeadTimeout        = 2 * time.Second         // a new connection's first head is whole after this
	idleTimeout             = 2500 * time.Millisecond // a connection between two requests may stand idle so long
	minIdleTime             = 50 * time.Millisecond   // nobody is called silent or idle sooner
	minBodyStall            = 300 * time.Millisecond  // and nobody is taken to have stopped in a body
	maxConcurrentRejections = 16                      // turned away at once, past them new connections wait
	rejectionTimeout        = 200 * time.Millisecond  // to send what is not read before a reset eats the answer
)

// clients is a listener that holds at most so many connections. When they are all taken, a newcomer gets the
// place of one at which no request is at work: one that has not sent a whole head, else one that stands
// idle, else one that stopped in a body, the longest first. Where every one is at work, the newcomer is told
// to come back. Nobody is left without an answer.
type clients struct {
	net.Listener
	maxConns    int
	retryAfter  string // the Retry-After line for who is turned away, may be empty
	mu          sync.Mutex
	conns       map[*clientConn]bool
	rejecting   chan struct{} // bounds those that are being turned away
	log         *slog.Logger
	lastWarning time.Time      // the latest line about a full house, and since then:
	rejected    int            // turned away
	evicted     int            // closed for newcomers
	backlogOnly chan struct{}  // closed by leave
	closing     atomic.Bool    // connections end with their answer
	open        inflight.Count // the connections
	acceptDone  chan struct{}  // closed when Accept is not called any more
}

func newClients(l net.Listener, maxConns int, retryAfter time.Duration, log *slog.Logger) *clients {
	return &clients{Listener: l, maxConns: max(1, maxConns), retryAfter: retryAfterLine(retryAfter), conns: make(map[*clientConn]bool), rejecting: make(chan struct{}, maxConcurrentRejections), log: log,
		backlogOnly: make(chan struct{}), acceptDone: make(chan struct{})}
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
		l.reportFull(&l.rejected)
		l.rejecting <- struct{}{}
		go func() {
			defer func() { <-l.rejecting }()
			rejectConn(c, l.retryAfter)
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
	case <-l.backlogOnly:
	default:
		return nil, err
	}
	t, ok := l.Listener.(*net.TCPListener)
	if !ok || errors.Is(err, net.ErrClosed) {
		return nil, err
	}
	// The deadline ends Accept before it looks: what waits in the socket's queue is taken one by one, with
	// nothing between the last look and the close.
	if c := acceptQueued(t); c != nil {
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
			if freed, _ := l.makeRoom(); freed {
				continue
			}
		}
		l.log.Debug("accept failed", "err", err)
		pause.Wait()
	}
}

// maxAcceptTries is how often a failure is passed over while the queue of a socket is emptied.
const maxAcceptTries = 64

// acceptQueued takes a connection that has come already, nil where there is none.
func acceptQueued(t *net.TCPListener) net.Conn {
	raw, err := t.SyscallConn()
	if err != nil {
		return nil
	}
	fd := -1
	_ = raw.Control(func(l uintptr) {
		var err error
		for range maxAcceptTries {
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

// closeAfterBacklog gives the address up to another process that listens there too: what has come is still taken.
// Guards against the reset of connections that wait in the queue of a socket that closes.
func (l *clients) closeAfterBacklog() {
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case <-l.backlogOnly:
		return
	default:
		close(l.backlogOnly)
	}
	if t, ok := l.Listener.(*net.TCPListener); ok {
		_ = t.SetDeadline(time.Now())
	}
}

// limit changes how many connections are held.
func (l *clients) limit(maxConns int) {
	l.mu.Lock()
	l.maxConns = max(1, maxConns)
	l.mu.Unlock()
}

// closeInactive closes connections at which no request is at work.
func (l *clients) closeInactive() {
	l.mu.Lock()
	var inactive []*clientConn
	for c := range l.conns {
		switch kind := int(c.state.Load()); {
		case kind == connActive && time.Since(epoch)-time.Duration(c.stateSince.Load()) > minBodyStall:
			if c.bodyPending.CompareAndSwap(true, false) { // a body that has stopped
				inactive = append(inactive, c)
			}
		case (kind == connAwaitingHead || kind == connIdle) && c.state.CompareAndSwap(int32(kind), connEvicted):
			inactive = append(inactive, c)
		}
	}
	l.mu.Unlock()
	for _, c := range inactive {
		c.evict()
	}
}

// Guard returns l such that at most so many connections to server are held and the silent ones make room.
func Guard(server *http.Server, l net.Listener, maxConns int, log *slog.Logger) net.Listener {
	server.ConnContext, server.ConnState, server.MaxHeaderBytes = withConn, trackConnState, maxHeadBytes
	return newClients(l, maxConns, 0, log)
}

// admit takes a connection in, or returns nil where all that there may be are at work.
func (l *clients) admit(c net.Conn) *clientConn {
	for {
		l.mu.Lock()
		if len(l.conns) < l.maxConns {
			x := &clientConn{Conn: c, from: l, connectedAt: time.Now()}
			x.setState(connAwaitingHead)
			l.conns[x] = true
			l.open.Begin()
			l.mu.Unlock()
			return x
		}
		l.mu.Unlock()
		switch freed, wait := l.makeRoom(); {
		case !freed && wait == 0:
			return nil
		case !freed:
			time.Sleep(wait)
		}
	}
}

// makeRoom closes the connection that goes first, never one at work. Where there is none yet it says how long until there
// may be, 0 = none at all.
func (l *clients) makeRoom() (freed bool, wait time.Duration) {
	for {
		l.mu.Lock()
		candidate, wait := l.victim()
		l.mu.Unlock()
		if candidate == nil {
			return false, wait
		}
		if candidate.bodyPending.CompareAndSwap(true, false) || candidate.state.CompareAndSwap(connAwaitingHead, connEvicted) || candidate.state.CompareAndSwap(connIdle, connEvicted) {
			candidate.evict()
			l.reportFull(&l.evicted)
			return true, 0
		}
	}
}

// victim is the connection that goes first for a newcomer. Where those that could are too young yet, it
// says how long until one is not. The caller holds the lock.
func (l *clients) victim() (first *clientConn, wait time.Duration) {
	best, age := len(minAgeBeforeEviction), time.Duration(0)
	for c := range l.conns {
		kind, since := int(c.state.Load()), time.Since(epoch)-time.Duration(c.stateSince.Load())
		if kind == connActive {
			if !c.bodyPending.Load() {
				continue
			}
			kind = connAwaitingBody
		}
		if kind >= len(minAgeBeforeEviction) {
			continue
		}
		if left := minAgeBeforeEviction[kind] - since; left > 0 {
			if kind != connAwaitingBody && (wait == 0 || left < wait) {
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

// reportFull counts what a reportFull house led to, and says so once a second at most.
func (l *clients) reportFull(counter *int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	*counter++
	if time.Since(l.lastWarning) < time.Second {
		return
	}
	l.log.Warn("full house", "open", len(l.conns), "turned_away", l.rejected, "closed", l.evicted)
	l.lastWarning, l.rejected, l.evicted = time.Now(), 0, 0
}

// retryAfterLine is the line of a head that says when to come back, empty where none may be told.
func retryAfterLine(after time.Duration) string {
	if after <= 0 {
		return ""
	}
	return "Retry-After: " + formatSeconds(after) + "\r\n"
}

// unavailableResponse is the answer to a request of which nothing was sent on, such as one that there is no room for. last has it
// tell the end of the connection.
func unavailableResponse(retryAfter string, last bool) string {
	text := "HTTP/1.1 503 Service Unavailable\r\n" + retryAfter + "Content-Length: 0\r\n"
	if last {
		text += "Connection: close\r\n"
	}
	return text + "\r\n"
}

// rejectConn refuses whatever a connection brings: nothing of it has been read, let alone sent on.
func rejectConn(c net.Conn, retryAfter string) {
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(rejectionTimeout))
	if _, err := io.WriteString(c, unavailableResponse(retryAfter, true)); err != nil {
		return
	}
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.CloseWrite()
	}
	_, _ = io.CopyN(io.Discard, c, maxBodyBytes)
}

// What a connection does, in the order in which they make room.
const (
	connAwaitingHead = iota // for its first whole head
	connIdle                // between two requests
	connAwaitingBody        // at work, but its body has not come
	connActive
	connEvicted
)

// minAgeBeforeEviction is how long it must have done so.
var minAgeBeforeEviction = [...]time.Duration{connAwaitingHead: minIdleTime, connIdle: minIdleTime, connAwaitingBody: minBodyStall}
