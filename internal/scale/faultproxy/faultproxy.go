// Package faultproxy is a TCP proxy on loopback that plays network faults between a client and a server: silence, resets,
// refused connections, and connections that come up late or never. Tests put one in front of a server.
package faultproxy

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// Fault is how the network behaves.
type Fault int

// The faults.
const (
	// None passes everything on.
	None Fault = iota
	// Silent passes nothing on. Connections stay open and new ones come up, and the kernel acknowledges what is sent, as
	// for a peer behind a partition that a middlebox hides.
	Silent
	// NeverUp is Silent for open connections; new ones never come up, as for a machine that has vanished.
	NeverUp
	// Refused resets each new connection; open ones are not touched.
	Refused
	// Late has new connections wait before they are served; open ones are not touched.
	Late
)

const (
	backlogOpen   = 256
	backlogClosed = 0 // Linux still queues one connection more than this
	backlogFill   = 2 // so many connections fill the closed backlog
	pollInterval  = 5 * time.Millisecond
	bufferSize    = 32 << 10
)

// Proxy forwards connections to one target.
type Proxy struct {
	target   string
	listener *net.TCPListener

	mu        sync.Mutex
	fault     Fault
	delay     time.Duration // of new connections while the fault is Late
	changed   chan struct{} // closed and replaced with each change of the fault
	sessions  map[*session]bool
	closed    bool
	running   sync.WaitGroup
	swallowed int // connections of which bytes were swallowed so far
}

// session is one client's connection and the one to the target.
type session struct {
	proxy          *Proxy
	client, server *net.TCPConn
	passes         int  // bytes that still pass although the network is silent
	mute           bool // it alone has fallen silent, for good
	swallowed      bool
}

// Start returns a running Proxy in front of target.
func Start(target string) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{target: target, listener: l.(*net.TCPListener), changed: make(chan struct{}), sessions: make(map[*session]bool)}
	p.running.Go(p.accept)
	return p, nil
}

// Address is where clients connect.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Close ends the proxy and all of its connections.
func (p *Proxy) Close() {
	p.mu.Lock()
	p.closed = true
	p.wake()
	p.mu.Unlock()
	p.listener.Close()
	p.Reset()
	p.running.Wait()
}

// Retarget sends new connections to another address.
func (p *Proxy) Retarget(target string) {
	p.mu.Lock()
	p.target = target
	p.mu.Unlock()
}

// Set changes the fault at once.
func (p *Proxy) Set(fault Fault) { p.SetAfter(fault, 0, 0) }

// SetLate delays new connections.
func (p *Proxy) SetLate(delay time.Duration) { p.SetAfter(Late, 0, delay) }

// SetAfter changes the fault; on each open connection so many more bytes of the client pass before a silence begins. When a
// silence ends, the connections of which bytes were swallowed are reset: their peers have long forgotten them.
func (p *Proxy) SetAfter(fault Fault, bytes int, delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return
	}
	p.fault, p.delay = fault, delay
	for s := range p.sessions {
		s.passes = bytes
		if !silent(fault) && s.swallowed {
			s.reset()
		}
	}
	p.wake()
}

// Mute has the connections that are open now fall silent for good, with no error; new ones are not touched.
func (p *Proxy) Mute() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for s := range p.sessions {
		s.mute = true
	}
}

// Reset resets all open connections.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for s := range p.sessions {
		s.reset()
	}
}

// Swallowed is how many connections lost bytes to a silence so far.
func (p *Proxy) Swallowed() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.swallowed
}

func silent(f Fault) bool { return f == Silent || f == NeverUp }

// wake lets those that wait for a change look again. The caller holds the lock.
func (p *Proxy) wake() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// keepShut has no new connection come up until the fault changes: the backlog is full, and the kernel drops what comes.
func (p *Proxy) keepShut(changed <-chan struct{}) {
	p.backlog(backlogClosed)
	var fillers []net.Conn
	for range backlogFill {
		if c, err := net.DialTimeout("tcp", p.Address(), pollInterval); err == nil {
			fillers = append(fillers, c)
		}
	}
	<-changed
	for _, c := range fillers {
		c.Close()
	}
	p.backlog(backlogOpen)
}

func (p *Proxy) backlog(size int) {
	raw, err := p.listener.SyscallConn()
	if err == nil {
		_ = raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), size) })
	}
}

// state is the fault of now and what is closed when it changes.
func (p *Proxy) state() (fault Fault, delay time.Duration, changed <-chan struct{}, closed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault, p.delay, p.changed, p.closed
}

func (p *Proxy) accept() {
	for {
		fault, _, changed, closed := p.state()
		if closed {
			return
		}
		if fault == NeverUp {
			p.keepShut(changed)
			continue
		}
		_ = p.listener.SetDeadline(time.Now().Add(pollInterval)) // so that a change to NeverUp is seen
		c, err := p.listener.AcceptTCP()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			continue
		}
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(pollInterval) // no descriptor is left for a moment
			continue
		}
		fault, delay, _, _ := p.state()
		if fault == Refused {
			_ = c.SetLinger(0)
			c.Close()
			continue
		}
		p.running.Go(func() { p.serve(c, fault == Late, delay) })
	}
}

// serve carries one connection to its end.
func (p *Proxy) serve(client *net.TCPConn, late bool, delay time.Duration) {
	if late {
		time.Sleep(delay)
	}
	p.mu.Lock()
	target := p.target
	p.mu.Unlock()
	up, err := net.Dial("tcp", target)
	if err != nil {
		_ = client.SetLinger(0)
		client.Close()
		return
	}
	s := &session{proxy: p, client: client, server: up.(*net.TCPConn)}
	p.mu.Lock()
	if p.closed {
		s.reset()
	}
	p.sessions[s] = true
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { s.carry(s.server, s.client, true) })
	both.Go(func() { s.carry(s.client, s.server, false) })
	both.Wait()
	client.Close()
	up.Close()
	p.mu.Lock()
	delete(p.sessions, s)
	p.mu.Unlock()
}

// reset ends both sides with a reset.
func (s *session) reset() {
	for _, c := range []*net.TCPConn{s.client, s.server} {
		_ = c.SetLinger(0)
		c.Close()
	}
}

// carry copies one direction until it ends. A silence swallows what comes, and the end too.
func (s *session) carry(to, from *net.TCPConn, fromClient bool) {
	buffer := make([]byte, bufferSize)
	for {
		n, err := from.Read(buffer)
		if pass := s.passing(n, fromClient); pass > 0 {
			if _, err := to.Write(buffer[:pass]); err != nil {
				s.reset()
				return
			}
		}
		if err == nil {
			continue
		}
		if s.isMute() && !fromClient {
			return // its client is not told
		}
		s.awaitNetwork()
		if errors.Is(err, io.EOF) {
			_ = to.CloseWrite()
		} else {
			s.reset()
		}
		return
	}
}

func (s *session) isMute() bool {
	s.proxy.mu.Lock()
	defer s.proxy.mu.Unlock()
	return s.mute
}

// passing is how many of the bytes get through.
func (s *session) passing(n int, fromClient bool) int {
	s.proxy.mu.Lock()
	defer s.proxy.mu.Unlock()
	if !silent(s.proxy.fault) && !s.mute {
		return n
	}
	pass := 0
	if fromClient && !s.mute {
		pass = min(n, s.passes)
		s.passes -= pass
	}
	if pass < n && !s.swallowed {
		s.swallowed = true
		s.proxy.swallowed++
	}
	return pass
}

// awaitNetwork waits until a silence is over: the end of a connection is as silent as its bytes.
func (s *session) awaitNetwork() {
	for {
		fault, _, changed, closed := s.proxy.state()
		if closed || !silent(fault) {
			return
		}
		<-changed
	}
}
