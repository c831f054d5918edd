// Package faultproxy is a TCP proxy on loopback that injects network faults between a client and a server: silence,
// resets, refused connections, and connections that are established late or never. Tests put one in front of a
// server.
package faultproxy

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// Fault is a state of the simulated network.
type Fault int

// The faults.
const (
	// None forwards everything.
	None Fault = iota
	// Silent forwards nothing. Connections stay open, new ones are established, and the kernel acknowledges what is
	// sent, as for a peer behind a partition that a middlebox hides.
	Silent
	// Unreachable acts as Silent on open connections; new ones are never established, as for a machine that has failed.
	Unreachable
	// Refused resets each new connection; open ones are not affected.
	Refused
	// Delayed delays the forwarding of new connections; open ones are not affected.
	Delayed
	// Stalled reads nothing from clients, in the middle of a request where SetAfter gives a number of bytes, and goes on when it
	// ends. What the proxy's receive buffers can't hold stays in the client's system.
	Stalled
)

const (
	backlogOpen    = 256
	backlogFull    = 0 // Linux queues one connection more than this
	backlogFillers = 2 // connections that fill a backlog of size backlogFull
	pollInterval   = 5 * time.Millisecond
	bufferBytes    = 32 << 10
	smallBytes     = 1 << 10 // read at once where receive buffers are small
)

// Proxy forwards connections to one target address.
type Proxy struct {
	target   string
	listener *net.TCPListener
	readSize int // bytes read from a client at once

	mu         sync.Mutex
	fault      Fault
	passing    int           // bytes that pass on each connection before the fault begins
	delay      time.Duration // of new connections while the fault is Delayed
	changed    chan struct{} // closed and replaced on each change of the fault
	sessions   map[*session]bool
	closed     bool
	goroutines sync.WaitGroup
	lossy      int // number of connections that have lost bytes to a silence
	stalled    int // number of open connections that have waited for the end of a stall
	onStall    *sync.Cond
	drawAnswer func() SpoiltAnswer // nil: answers pass unchanged
	mutesCalls bool                // only answers to attempts pass while one of them starts late
	lateStarts int                 // answers that are held back from their first byte on
	recording  bool                // answers are recorded
	answers    []*Answer
	requests   []Request
}

// session is a client's connection and the corresponding one to the target.
type session struct {
	proxy              *Proxy
	client, server     *net.TCPConn
	ended              chan struct{} // closed by endOnce once the session is reset
	endOnce            sync.Once
	bytesBeforeSilence int  // bytes from the client that still pass during a silence or a stall
	silenced           bool // SilenceOpen has silenced this session for good
	lossy              bool // bytes were lost to a silence
	stalled            bool // it has waited for the end of a stall
	firstEnd           endSide
	answer             *Answer // the record of the latest answer, nil without one
}

// Start starts a Proxy in front of target.
func Start(target string) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	return start(target, bufferBytes, l), nil
}

// StartSmall starts a Proxy whose receive buffers for what clients send hold few bytes, as at a worker that is short of memory.
func StartSmall(target string) (*Proxy, error) {
	l, err := ListenSmall(smallBytes)
	if err != nil {
		return nil, err
	}
	return start(target, smallBytes, l), nil
}

// ListenSmall listens on loopback, with receive buffers of the given number of bytes, or as few as the system has.
func ListenSmall(receiveBuffer int) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) (err error) {
		controlErr := raw.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
		})
		return errors.Join(controlErr, err)
	}}
	return config.Listen(context.Background(), "tcp", "127.0.0.1:0")
}

func start(target string, readSize int, l net.Listener) *Proxy {
	p := &Proxy{target: target, readSize: readSize, listener: l.(*net.TCPListener), changed: make(chan struct{}), sessions: make(map[*session]bool)}
	p.onStall = sync.NewCond(&p.mu)
	p.goroutines.Go(p.accept)
	return p
}

// Address returns the address for clients.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Close closes the proxy and resets all of its connections.
func (p *Proxy) Close() {
	p.mu.Lock()
	p.closed = true
	p.notifyChange()
	p.mu.Unlock()
	p.listener.Close()
	p.Reset()
	p.goroutines.Wait()
}

// Retarget directs new connections to another address.
func (p *Proxy) Retarget(target string) {
	p.mu.Lock()
	p.target = target
	p.mu.Unlock()
}

// Set changes the fault at once.
func (p *Proxy) Set(fault Fault) { p.SetAfter(fault, 0, 0) }

// SetDelayed sets the fault to Delayed with the given delay.
func (p *Proxy) SetDelayed(delay time.Duration) { p.SetAfter(Delayed, 0, delay) }

// SetAfter changes the fault. If the new fault is a silence or a stall, that many bytes from the client still pass on each
// connection before it begins. When a silence ends, the connections that lost bytes are reset, as their
// peers would have given up on them long before.
func (p *Proxy) SetAfter(fault Fault, bytes int, delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return
	}
	p.fault, p.passing, p.delay = fault, bytes, delay
	for s := range p.sessions {
		s.bytesBeforeSilence = bytes
		if !isSilent(fault) && s.lossy {
			s.noteEndLocked(endedByFault)
			s.reset()
		}
	}
	p.notifyChange()
}

// SilenceOpen silences all open connections for good, without an error. New connections are not affected.
func (p *Proxy) SilenceOpen() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for s := range p.sessions {
		s.silenced = true
	}
}

// Reset resets all open connections.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for s := range p.sessions {
		s.noteEndLocked(endedByFault)
		s.reset()
	}
}

// LossyConnections returns how many connections have lost bytes to a silence so far.
func (p *Proxy) LossyConnections() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lossy
}

// AwaitStall waits until a connection has stalled.
func (p *Proxy) AwaitStall() { p.awaitStalled(func() bool { return p.stalled > 0 }) }

// AwaitStalledEnd waits until the connections that have stalled are closed.
func (p *Proxy) AwaitStalledEnd() { p.awaitStalled(func() bool { return p.stalled == 0 }) }

func (p *Proxy) awaitStalled(reached func() bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for !reached() {
		p.onStall.Wait()
	}
}

func isSilent(f Fault) bool { return f == Silent || f == Unreachable }

// notifyChange wakes up all goroutines that wait for a change. The caller holds p.mu.
func (p *Proxy) notifyChange() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// blockConnections prevents new connections until changed is closed. It fills the listen backlog, so that the kernel
// drops connection attempts.
func (p *Proxy) blockConnections(changed <-chan struct{}) {
	p.setBacklog(backlogFull)
	var fillers []net.Conn
	for range backlogFillers {
		if c, err := net.DialTimeout("tcp", p.Address(), pollInterval); err == nil {
			fillers = append(fillers, c)
		}
	}
	<-changed
	for _, c := range fillers {
		c.Close()
	}
	p.setBacklog(backlogOpen)
}

func (p *Proxy) setBacklog(size int) {
	raw, err := p.listener.SyscallConn()
	if err == nil {
		_ = raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), size) })
	}
}

// currentFault returns the current fault, and a channel that is closed when it changes.
func (p *Proxy) currentFault() (fault Fault, delay time.Duration, changed <-chan struct{}, closed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault, p.delay, p.changed, p.closed
}

func (p *Proxy) accept() {
	for {
		fault, _, changed, closed := p.currentFault()
		if closed {
			return
		}
		if fault == Unreachable {
			p.blockConnections(changed)
			continue
		}
		_ = p.listener.SetDeadline(time.Now().Add(pollInterval)) // to notice a change to Unreachable
		c, err := p.listener.AcceptTCP()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			continue
		}
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(pollInterval) // out of file descriptors, retry
			continue
		}
		fault, delay, _, _ := p.currentFault()
		if fault == Refused {
			_ = c.SetLinger(0)
			c.Close()
			continue
		}
		p.goroutines.Go(func() { p.serve(c, fault == Delayed, delay) })
	}
}

// serve forwards one connection until it ends.
func (p *Proxy) serve(client *net.TCPConn, delayed bool, delay time.Duration) {
	if delayed {
		time.Sleep(delay)
	}
	p.mu.Lock()
	target := p.target
	p.mu.Unlock()
	upstream, err := net.Dial("tcp", target)
	if err != nil {
		_ = client.SetLinger(0)
		client.Close()
		return
	}
	s := &session{proxy: p, client: client, server: upstream.(*net.TCPConn), ended: make(chan struct{})}
	p.mu.Lock()
	if p.closed {
		s.reset()
	}
	if p.fault == Stalled {
		s.bytesBeforeSilence = p.passing
	}
	p.sessions[s] = true
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { s.forward(s.server, s.client, true) })
	both.Go(func() { s.forward(s.client, s.server, false) })
	both.Wait()
	client.Close()
	upstream.Close()
	p.mu.Lock()
	delete(p.sessions, s)
	if s.stalled {
		p.stalled--
		p.onStall.Broadcast()
	}
	p.mu.Unlock()
}

// reset closes both connections with a TCP reset.
func (s *session) reset() {
	s.endOnce.Do(func() { close(s.ended) })
	for _, c := range []*net.TCPConn{s.client, s.server} {
		_ = c.SetLinger(0)
		c.Close()
	}
}

// forward copies one direction until it ends. A silence drops the bytes, and the end of the connection too.
func (s *session) forward(to, from *net.TCPConn, fromClient bool) {
	buffer := make([]byte, bufferBytes)
	out := io.Writer(to)
	requests := &requestTracker{}
	if fromClient {
		buffer = buffer[:s.proxy.readSize]
	} else {
		answers := &answerSpoiler{proxy: s.proxy, session: s, client: to, ended: s.ended}
		defer func() { s.proxy.endAnswer(answers.answer) }()
		out = answers
	}
	for {
		if fromClient {
			s.waitForStallEnd()
		}
		n, err := from.Read(buffer)
		if fromClient {
			requests.feed(buffer[:n], s.proxy.recordRequest)
		}
		if pass := s.countPassing(n, fromClient); pass > 0 {
			if _, err := out.Write(buffer[:pass]); err != nil {
				s.noteEnd(sideOf(!fromClient))
				s.reset()
				return
			}
		}
		if err == nil {
			continue
		}
		s.noteEnd(sideOf(fromClient))
		if s.isSilenced() && !fromClient {
			return // the client must not notice
		}
		s.waitForSilenceEnd()
		if errors.Is(err, io.EOF) {
			_ = to.CloseWrite()
		} else {
			s.reset()
		}
		return
	}
}

func sideOf(client bool) endSide {
	if client {
		return endedByClient
	}
	return endedByServer
}

func (s *session) isSilenced() bool {
	s.proxy.mu.Lock()
	defer s.proxy.mu.Unlock()
	return s.silenced
}

// countPassing returns how many of n bytes are forwarded.
func (s *session) countPassing(n int, fromClient bool) int {
	s.proxy.mu.Lock()
	defer s.proxy.mu.Unlock()
	if s.proxy.fault == Stalled && fromClient {
		s.bytesBeforeSilence = max(0, s.bytesBeforeSilence-n)
	}
	if !isSilent(s.proxy.fault) && !s.silenced {
		return n
	}
	pass := 0
	if fromClient && !s.silenced {
		pass = min(n, s.bytesBeforeSilence)
		s.bytesBeforeSilence -= pass
	}
	if pass < n && !s.lossy {
		s.lossy = true
		s.proxy.lossy++
	}
	return pass
}

// waitForSilenceEnd waits until a silence is over: during it, the end of a connection is not forwarded either.
func (s *session) waitForSilenceEnd() {
	for {
		fault, _, changed, closed := s.proxy.currentFault()
		if closed || !isSilent(fault) {
			return
		}
		<-changed
	}
}

// waitForStallEnd waits while a stall keeps this session from reading.
func (s *session) waitForStallEnd() {
	for {
		s.proxy.mu.Lock()
		stalled := s.proxy.fault == Stalled && s.bytesBeforeSilence == 0 && !s.proxy.closed
		changed := s.proxy.changed
		if stalled && !s.stalled {
			s.stalled = true
			s.proxy.stalled++
			s.proxy.onStall.Broadcast()
		}
		s.proxy.mu.Unlock()
		if !stalled {
			return
		}
		<-changed
	}
}
