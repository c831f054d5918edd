package httpfront

// This file owns the connections of clients before net/http reads them: how many there are, how long
// they may say nothing, and where one request's head and body end. Heads are handed over whole and
// only if their framing can be read in one way. It must never change a byte of a request that passes,
// nor close a connection on which a request has begun.

import (
	"bytes"
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	firstWord  = 2 * time.Second         // a new connection's first head is whole after this
	firstBody  = 2600 * time.Millisecond // ... and its body after this, both from connecting
	laterBody  = 2500 * time.Millisecond // a later request's body, from its head
	idleTime   = 2500 * time.Millisecond // a connection between two requests may stand idle so long
	silentMin  = 50 * time.Millisecond   // nobody is called silent or idle sooner
	halfMin    = 300 * time.Millisecond  // and nobody is taken to have stopped in a body
	turnedMost = 16                      // turned away at once, past them new connections wait
	turnedTime = 200 * time.Millisecond  // to send what is not read before a reset eats the answer
	headStep   = 2 << 10
	aheadMost  = maxHead // kept of what comes behind a request before its answer, past it the connection ends with that
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
	told   time.Time     // the latest line about a full house, and since then:
	away   int           // turned away
	closed int           // closed for newcomers
	left   chan struct{} // closed by leave
	ending atomic.Bool   // connections end with their answer
	empty  chan struct{} // closed with the last connection; nil: nobody waits for that
	served chan struct{} // closed when Accept is not called any more
}

func newClients(l net.Listener, most int, again time.Duration, log *slog.Logger) *clients {
	line := ""
	if again > 0 {
		line = "Retry-After: " + seconds(again) + "\r\n"
	}
	return &clients{Listener: l, most: max(1, most), again: line, conns: make(map[*clientConn]bool), turned: make(chan struct{}, turnedMost), log: log,
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

// accept takes the next connection. After leave it takes what has come and closes the socket.
func (l *clients) accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	for outOfDescriptors(err) {
		if made, _ := l.makeRoom(); !made {
			return nil, err // net/http tries again a little later
		}
		c, err = l.Listener.Accept()
	}
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

// waitingAt takes a connection that has come already, nil where there is none.
func waitingAt(t *net.TCPListener) net.Conn {
	raw, err := t.SyscallConn()
	if err != nil {
		return nil
	}
	fd := -1
	_ = raw.Control(func(l uintptr) {
		if n, _, err := syscall.Accept4(int(l), syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC); err == nil {
			fd = n
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

// epoch is what the times of connections count from.
var epoch = time.Now()

// clientConn is one client's connection.
type clientConn struct {
	net.Conn
	from  *clients
	since time.Time
	state atomic.Int32
	at    atomic.Int64 // when that began, from epoch
	half  atomic.Bool  // the body at hand has not come; whoever makes it false settles whether the request is served
	owes  atomic.Bool  // the answer to the request at hand
	ends  lastRequest
	came  atomic.Int64 // when the first byte of the head at hand had come at the latest, from epoch
	// Of the requests that were read behind the one at hand, and whether that one's answer is whole.
	behind   atomic.Int32
	finished atomic.Bool

	// Owned by Read, which net/http calls one at a time.
	buf     []byte       // read and not handed over
	first   time.Time    // when the first byte of it came
	ready   int          // so much of it may be
	body    int64        // of the request's body still to come
	chunks  *chunkScan   // of a body whose length is not told
	plain   bool         // all that comes is handed over: the connection ends with this request
	refused bool         // nothing more is: a head could not be trusted
	tooMuch bool         // nothing more is taken from the socket: more came behind the request than is kept
	heads   atomic.Int32 // that were whole
}

type connKey struct{}

// withConn lets the handler find its connection.
func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// bodyBy is when the body of the request at hand must have come.
func bodyBy(ctx context.Context) time.Time {
	if c, ok := ctx.Value(connKey{}).(*clientConn); ok && c.heads.Load() <= 1 {
		return c.since.Add(firstBody)
	}
	return time.Now().Add(laterBody)
}

// onItsWay is how long the request at hand has been on its way in: the time that its client gives it counts from the first
// byte, however slowly the rest came and whatever it had to wait for.
func onItsWay(ctx context.Context) time.Duration {
	if c, ok := ctx.Value(connKey{}).(*clientConn); ok {
		return time.Since(epoch) - time.Duration(c.came.Load())
	}
	return 0
}

// is notes what the connection does from now on, unless it has been closed for a newcomer.
func (c *clientConn) is(state int32) bool {
	c.at.Store(int64(time.Since(epoch)))
	for {
		now := c.state.Load()
		if now == shed {
			return false
		}
		if c.state.CompareAndSwap(now, state) {
			return true
		}
	}
}

// connState is told by net/http what it does with a connection.
func connState(c net.Conn, state http.ConnState) {
	if c, ok := c.(*clientConn); ok {
		switch state {
		case http.StateIdle: // nobody reads just now
			c.owes.Store(false)
			c.ends.answered(len(c.buf) > 0)
			if c.is(idle) && c.from.ending.Load() {
				c.closeIfResting()
			}
		case http.StateActive:
			c.is(atWork)
		case http.StateClosed:
			_ = c.Close()
		}
	}
}

// CloseWrite lets net/http end its side first, so that an answer arrives before a reset.
func (c *clientConn) CloseWrite() error {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		return t.CloseWrite()
	}
	return nil
}

// unreadable takes the place of a head whose framing can't be trusted: net/http answers it with 400 and
// closes, and nothing behind it is looked at.
const unreadable = "x\r\n\r\n"

// left says that the client has gone, as far as can be told without waiting, or that its connection was closed.
func (c *clientConn) left() bool { return c.ends.isClosed() || hungUp(c.Conn) }

// Read hands over one head or body after the other, never bytes of both, and no head before the answer to the one before:
// net/http, which reads on to see whether the client leaves, sees no close behind a byte of another request.
func (c *clientConn) Read(p []byte) (int, error) {
	for {
		switch {
		case c.ready > 0:
			n := copy(p, c.buf[:c.ready])
			c.buf, c.ready = c.buf[n:], c.ready-n
			if len(c.buf) == 0 {
				c.buf = nil
			}
			return n, nil
		case c.refused:
			return 0, io.EOF
		case len(c.buf) > 0 && c.plain:
			c.ready = len(c.buf)
			continue
		case c.plain:
			return c.Conn.Read(p)
		case len(c.buf) > 0 && c.body > 0:
			c.ready = int(min(c.body, int64(len(c.buf))))
			if !c.took(c.ready) {
				return 0, net.ErrClosed
			}
			if c.body == 0 {
				c.countBehind()
			}
			continue
		case c.body > 0:
			n, err := c.Conn.Read(p[:min(int64(len(p)), c.body)])
			if !c.took(n) {
				return 0, net.ErrClosed
			}
			return n, err
		case c.chunks != nil:
			if len(c.buf) > 0 {
				if !c.takeChunks() {
					return 0, net.ErrClosed
				}
			} else if err := c.fill(); err != nil {
				return 0, err
			}
			continue
		case c.owes.Load():
			if err := c.readAhead(); err != nil {
				return 0, err
			}
			continue
		}
		if end := headEnd(c.buf); end > 0 {
			f, ok := requestFraming(c.buf[:end])
			if c.tooMuch && (f.chunked || int64(len(c.buf)-end) < f.length) {
				return 0, c.endHere()
			}
			c.heads.Add(1)
			if !c.is(atWork) {
				return 0, net.ErrClosed
			}
			if !ok {
				c.buf, c.ready, c.refused = []byte(unreadable), len(unreadable), true
				continue
			}
			c.owes.Store(true)
			c.finished.Store(false)
			c.came.Store(int64(c.first.Sub(epoch)))
			c.ready, c.body = end, f.length
			if f.chunked {
				c.chunks = &chunkScan{}
			}
			c.half.Store(c.body > 0 || f.chunked)
			c.behind.Store(0)
			if !c.half.Load() {
				c.countBehind()
			}
			continue
		}
		if c.tooMuch {
			return 0, c.endHere()
		}
		if len(c.buf) > maxHead { // net/http answers it with 431
			c.plain = true
			continue
		}
		if err := c.fill(); err != nil {
			return 0, err
		}
	}
}

// fill reads more into buf.
func (c *clientConn) fill() error {
	if cap(c.buf)-len(c.buf) < headStep/2 {
		c.buf = append(make([]byte, 0, 2*len(c.buf)+headStep), c.buf...)
	}
	n, err := c.take(c.buf[len(c.buf):cap(c.buf)])
	if len(c.buf) == 0 {
		c.first = time.Now()
	}
	c.buf = c.buf[:len(c.buf)+n]
	return err
}

// readAhead reads what comes behind the request at hand before its answer, and keeps so much of it. It goes on beyond that:
// the end of what a client sends is seen only behind all that was sent before.
func (c *clientConn) readAhead() error {
	if c.tooMuch {
		junk := make([]byte, headStep)
		for {
			if _, err := c.take(junk); err != nil {
				return err
			}
		}
	}
	err := c.fill()
	if c.tooMuch = len(c.buf) > aheadMost; c.tooMuch {
		c.buf = c.buf[:aheadMost]
	}
	c.countBehind()
	return err
}

// countBehind notes what was read behind the request at hand, once that was handed over or is ready to be.
func (c *clientConn) countBehind() { c.behind.Store(int32(pendingRequests(c.buf[c.ready:]))) }

// endHere ends what is handed over where the rest of a request was not kept, and refuses that request and those behind it.
func (c *clientConn) endHere() error {
	c.refused = true
	c.behind.Store(int32(pendingRequests(c.buf)))
	c.refuseBehind()
	return io.EOF
}

// takeChunks readies what is at hand of a chunked body. One that makes no sense is net/http's to refuse. It says no where
// the connection was closed for a newcomer before the end came.
func (c *clientConn) takeChunks() bool {
	n, end, err := c.chunks.feed(c.buf)
	if c.ready = n; err != nil {
		c.ready, c.plain = len(c.buf), true
	}
	if end || err != nil {
		c.chunks = nil
		if !c.plain {
			c.countBehind()
		}
		return c.half.CompareAndSwap(true, false)
	}
	return true
}

// took counts what has come of the body. It says no where the connection was closed for a newcomer before the end came.
func (c *clientConn) took(n int) bool {
	if c.body -= int64(n); c.body > 0 {
		return true
	}
	return c.half.CompareAndSwap(true, false)
}

// headEnd is the length of the head at the start of text with the empty line that ends it, 0 where it
// has not come yet. A head that begins with an empty line is all of that line.
func headEnd(text []byte) int {
	for at := 0; ; {
		i := bytes.IndexByte(text[at:], '\n')
		if i < 0 {
			return 0
		}
		line := text[at : at+i]
		at += i + 1
		if len(line) == 0 || len(line) == 1 && line[0] == '\r' {
			return at
		}
	}
}

// framing says how the body behind a head ends.
type framing struct {
	length  int64
	told    bool // there was a length
	chunked bool
}

// fields reads the framing of a head's fields, the lines after its first. Whatever two readers could
// read in two ways is refused: a length and an encoding at once, a length or encoding that comes twice
// or is odd, lines that go on in the next, spaces before the colon, a lone CR. keep, if set, is asked of
// each whole line whether it stays; the lines that do are appended to out.
func fields(head []byte, keep func(name []byte) bool, out []byte) (framing, []byte, bool) {
	var f framing
	encoded := 0
	for len(head) > 0 {
		i := bytes.IndexByte(head, '\n')
		whole := head[:i+1]
		line := bytes.TrimSuffix(head[:i], []byte("\r"))
		head = head[i+1:]
		if len(line) == 0 {
			out = append(out, whole...)
			break
		}
		name, value, ok := bytes.Cut(line, []byte(":"))
		if !ok || len(name) == 0 || bytes.ContainsAny(name, " \t\r") {
			return f, out, false
		}
		if keep != nil && !keep(name) {
			continue
		}
		if bytes.IndexByte(value, '\r') >= 0 {
			return f, out, false
		}
		out = append(out, whole...)
		value = bytes.Trim(value, " \t")
		switch {
		case len(name) == len("Content-Length") && bytes.EqualFold(name, []byte("Content-Length")):
			n, err := strconv.ParseUint(string(value), 10, 63)
			if err != nil || f.told {
				return f, out, false
			}
			f.length, f.told = int64(n), true
		case len(name) == len("Transfer-Encoding") && bytes.EqualFold(name, []byte("Transfer-Encoding")):
			if encoded++; encoded > 1 || !bytes.EqualFold(value, []byte("chunked")) {
				return f, out, false
			}
			f.chunked = true
		}
	}
	return f, out, !(f.told && f.chunked)
}

// requestFraming reads the framing of a request's head.
func requestFraming(head []byte) (framing, bool) {
	i := bytes.IndexByte(head, '\n')
	first := bytes.TrimSuffix(head[:i], []byte("\r"))
	if len(first) == 0 || bytes.IndexByte(first, '\r') >= 0 {
		return framing{}, false
	}
	f, _, ok := fields(head[i+1:], nil, nil)
	// An encoding is no part of HTTP/1.0 and is passed over there.
	return f, ok && (!f.chunked || bytes.HasSuffix(first, []byte(" HTTP/1.1")))
}
