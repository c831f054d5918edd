package httpfront

import (
	"cmp"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"rowanyard/internal/acceptretry"
	"rowanyard/internal/inbound"
	"rowanyard/internal/inflight"
)

const (
	minIdleTime = 50 * time.Millisecond  // before a connection without a request may be evicted
	minBodyTime = 300 * time.Millisecond // from a head until a connection whose body is still incomplete may be evicted
)

// clientListener is a listener that holds at most maxConns connections. When the limit is reached, a new connection
// replaces one without a request in progress: one that has not sent a complete head, else an idle one, else one whose
// body is incomplete some time after its head. Among those of one kind it is the one that has been so for longest. A
// connection whose request is complete and not yet answered is never closed for another. If there is none to replace,
// the new connection is answered with 503.
type clientListener struct {
	net.Listener
	maxConns    int
	retryAfter  string // the Retry-After line of refusals, may be empty
	mu          sync.Mutex
	conns       map[*clientConn]bool
	log         *slog.Logger
	lastWarning time.Time        // when rejected and evicted were last logged
	rejected    int              // new connections rejected since lastWarning
	evicted     int              // connections closed for other ones since lastWarning
	backlogOnly chan struct{}    // closed by closeAfterBacklog
	closing     atomic.Bool      // connections are closed after their answer
	ending      atomic.Bool      // the process ends, and with it all connections
	rejectAll   bool             // each new connection is rejected, as the process ends
	open        inflight.Counter // connections that are not closed
	acceptDone  chan struct{}    // closed once Accept is no longer called
	budgets     *inbound.Budgets // nil: none
	account     *inbound.Client  // of the work of accepting
}

func newClientListener(l net.Listener, maxConns int, retryAfter time.Duration, budgets *inbound.Budgets, log *slog.Logger) *clientListener {
	return &clientListener{budgets: budgets, account: newAcceptAccount(budgets), Listener: l, maxConns: max(1, maxConns), retryAfter: retryAfterLine(retryAfter), conns: make(map[*clientConn]bool), log: log,
		backlogOnly: make(chan struct{}), acceptDone: make(chan struct{})}
}

// newAcceptAccount returns the account of work of accepting, which serves all clients.
func newAcceptAccount(budgets *inbound.Budgets) *inbound.Client {
	account := budgets.NewClient()
	account.Shared, account.Order = true, inbound.First
	return account
}

// Accept implements net.Listener. It rejects connections beyond the limit that can replace no other.
func (l *clientListener) Accept() (net.Conn, error) {
	for {
		c, err := l.accept()
		if err != nil {
			return nil, err
		}
		l.account.Begin()
		x := l.admit(c)
		l.account.End()
		if x != nil {
			return x, nil
		}
		if !l.rejectsAll() {
			l.reportFull(&l.rejected)
		}
		l.rejectConn(c)
	}
}

// accept returns the next connection and retries after temporary errors. After closeAfterBacklog it returns the
// connections in the socket's queue and then closes the socket.
func (l *clientListener) accept() (net.Conn, error) {
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
	// With an expired deadline, Accept returns without trying the socket's queue. Accepting from the socket directly
	// leaves no gap between the last attempt and the close.
	if c := acceptQueued(t); c != nil {
		return c, nil
	}
	t.Close()
	return nil, net.ErrClosed
}

// acceptNext returns an error only if the listener was closed or closeAfterBacklog was called. If the process has run out
// of descriptors it evicts a connection.
func (l *clientListener) acceptNext() (net.Conn, error) {
	var pause acceptretry.Backoff
	for {
		c, err := l.Listener.Accept()
		if err == nil || acceptretry.IsTerminal(err) {
			return c, err
		}
		if outOfDescriptors(err) {
			if freed, _ := l.evictOne(); freed {
				continue
			}
		}
		l.log.Debug("accept failed", "err", err)
		pause.Wait()
	}
}

// maxAcceptTries bounds the attempts to accept one queued connection: accept4 also reports errors of single connections.
const maxAcceptTries = 64

// acceptQueued accepts a connection that is already in the socket's queue. It returns nil if there is none.
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
	defer file.Close() // FileConn duplicates the descriptor
	c, err := net.FileConn(file)
	if err != nil {
		return nil
	}
	return c
}

// closeAfterBacklog stops listening in favor of another process on the same address. Connections that are already in the
// socket's queue are still accepted, since closing the socket would reset them.
func (l *clientListener) closeAfterBacklog() {
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

// limit sets how many connections are held.
func (l *clientListener) limit(maxConns int) {
	l.mu.Lock()
	l.maxConns = max(1, maxConns)
	l.mu.Unlock()
}

// closeInactive closes the connections on which no complete request is being served. A body that is arriving is given
// minBodyTime first.
func (l *clientListener) closeInactive() {
	l.mu.Lock()
	var inactive []*clientConn
	for c := range l.conns {
		switch kind := int(c.state.Load()); {
		case kind == connActive && c.age() > minBodyTime:
			if c.bodyPending.CompareAndSwap(true, false) { // the body was incomplete until now
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

// LimitListener returns a listener for server that holds at most maxConns connections from l at once and, at that limit, replaces
// inactive connections by new ones. It sets ConnContext, ConnState and MaxHeaderBytes of server, whose own timeouts for clients have
// no effect: clientDeadlines limits what is read and written.
// What is sent on them is counted on budgets, which may be nil.
func LimitListener(server *http.Server, l net.Listener, maxConns int, budgets *inbound.Budgets, log *slog.Logger) net.Listener {
	server.ConnContext, server.ConnState, server.MaxHeaderBytes = contextWithConn, trackConnState, maxHeadBytes
	return newClientListener(l, maxConns, 0, budgets, log)
}

// admit registers a connection. It returns nil if the connection is to be rejected: the limit is reached and no connection can
// be evicted, or closeUnused was called.
func (l *clientListener) admit(c net.Conn) *clientConn {
	for {
		l.mu.Lock()
		if l.rejectAll {
			l.mu.Unlock()
			return nil
		}
		if len(l.conns) < l.maxConns {
			x := l.newConn(c)
			x.setState(connAwaitingHead)
			l.conns[x] = true
			l.open.Begin()
			l.mu.Unlock()
			return x
		}
		l.mu.Unlock()
		switch freed, wait := l.evictOne(); {
		case !freed && wait == 0:
			return nil
		case !freed:
			l.account.End()
			time.Sleep(wait)
		}
	}
}

// newConn returns a connection that was accepted, which is not registered yet.
func (l *clientListener) newConn(c net.Conn) *clientConn {
	return &clientConn{Conn: c, owner: l, deadlines: newClientDeadlines(c), restsSince: time.Now(), account: l.budgets.NewClient(), memory: l.budgets.NewHolding()}
}

func (l *clientListener) rejectsAll() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rejectAll
}

// evictOne evicts one connection, never one whose complete request is being served. If there is none to evict, wait is the
// time until there may be one, or 0 if waiting does not help.
func (l *clientListener) evictOne() (freed bool, wait time.Duration) {
	for {
		l.mu.Lock()
		candidates, wait := l.candidates()
		l.mu.Unlock()
		if len(candidates) == 0 {
			return false, wait
		}
		candidate := preferred(candidates)
		if candidate.bodyPending.CompareAndSwap(true, false) || candidate.state.CompareAndSwap(connAwaitingHead, connEvicted) || candidate.state.CompareAndSwap(connIdle, connEvicted) {
			candidate.evict()
			l.reportFull(&l.evicted)
			return true, 0
		}
	}
}

// candidate is a connection that may be evicted.
type candidate struct {
	*clientConn
	kind int
	age  time.Duration // in its state
}

// candidates returns the connections that may be evicted, in the order of preference. If all have been inactive for too short a
// time, wait is the time until one can be evicted. The caller must hold l.mu.
func (l *clientListener) candidates() (all []candidate, wait time.Duration) {
	for c := range l.conns {
		kind, age := int(c.state.Load()), c.age()
		if kind == connActive {
			if !c.bodyPending.Load() {
				continue
			}
			kind = connAwaitingBody
		}
		if kind >= len(minAgeBeforeEviction) {
			continue
		}
		if left := minAgeBeforeEviction[kind] - age; left > 0 {
			if kind != connAwaitingBody && (wait == 0 || left < wait) {
				wait = left
			}
			continue
		}
		all = append(all, candidate{c, kind, age})
	}
	slices.SortFunc(all, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.kind, b.kind), cmp.Compare(b.age, a.age))
	})
	return all, wait
}

// maxExamined is how many candidates are looked at to find one whose client has left, or that does not wait for this process.
const maxExamined = 32

// preferred returns the candidate to evict: one whose client has left, else the first one that does not wait for a turn to be
// read although its client owes nothing, else the first one.
func preferred(candidates []candidate) candidate {
	first := -1
	for i, c := range candidates[:min(len(candidates), maxExamined)] {
		if inbound.PeerClosed(c.Conn) {
			return c
		}
		if first < 0 && (c.kind == connAwaitingBody || c.account.Owes() || !hasUnreadInput(c.Conn)) {
			first = i
		}
	}
	return candidates[max(0, first)]
}

// evictIncompleteBody evicts the connection whose body has been incomplete for longest, if that is long enough.
func (l *clientListener) evictIncompleteBody() bool {
	l.mu.Lock()
	var oldest *clientConn
	for c := range l.conns {
		if !c.bodyPending.Load() || c.age() < minAgeBeforeEviction[connAwaitingBody] {
			continue
		}
		if oldest == nil || c.age() > oldest.age() {
			oldest = c
		}
	}
	l.mu.Unlock()
	if oldest == nil || !oldest.bodyPending.CompareAndSwap(true, false) {
		return false
	}
	oldest.bodyMemory.Load().Release()
	oldest.evict()
	l.reportFull(&l.evicted)
	return true
}

// reportFull increments counter, which is l.rejected or l.evicted, and logs both at most once a second.
func (l *clientListener) reportFull(counter *int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	*counter++
	if time.Since(l.lastWarning) < time.Second {
		return
	}
	l.log.Warn("full house", "open", len(l.conns), "turned_away", l.rejected, "closed", l.evicted)
	l.lastWarning, l.rejected, l.evicted = time.Now(), 0, 0
}

// retryAfterLine returns the Retry-After line of a head, or nothing if after is 0.
func retryAfterLine(after time.Duration) string {
	if after <= 0 {
		return ""
	}
	return "Retry-After: " + formatSeconds(after) + "\r\n"
}

// unavailableResponse returns the text of a refusal: the answer 503 to a request of which nothing was sent to a
// worker. If last is true it announces the close of the connection.
func unavailableResponse(retryAfter string, last bool) string {
	text := "HTTP/1.1 503 Service Unavailable\r\n" + retryAfter + "Content-Length: 0\r\n"
	if last {
		text += "Connection: close\r\n"
	}
	return text + "\r\n"
}

// rejectConn answers a new connection with 503 and closes it.
func (l *clientListener) rejectConn(c net.Conn) {
	_ = l.budgets.Close(c, []byte(unavailableResponse(l.retryAfter, true)), l.reportLost)
}

// States of a connection, in the order in which they are evicted.
const (
	connAwaitingHead = iota // its first head is not complete
	connIdle                // between two requests
	connAwaitingBody        // connActive with an incomplete body; ranks candidates only, not stored
	connActive
	connEvicted
)

// minAgeBeforeEviction is how long a connection must have been in a state to be evicted.
var minAgeBeforeEviction = [...]time.Duration{connAwaitingHead: minIdleTime, connIdle: minIdleTime, connAwaitingBody: minBodyTime}
