// Package hollow simulates a large fleet of workers in one process. All workers share one listening socket and differ
// by their loopback address. They respond at once, hold no memory per token, speak the part of the platform's protocol
// that a router uses, and count what a router sends them, by kind.
package hollow

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"rowanyard/internal/scale/toyserver"
)

// MaxWorkers is the maximum number of workers. Their addresses start at 127.1.0.1.
const MaxWorkers = 1 << 16

// Kind is the purpose of a message.
type Kind int

// The kinds of messages between a router and workers.
const (
	Probe   Kind = iota // asks a worker for its load
	Release             // releases the state held for a request
	Read                // the first stage of a request: client traffic
	Write               // the second stage, with its stream: client traffic
	Other               // unknown to a worker: there should be none
	kindCount
)

var kindNames = [kindCount]string{"probe", "release", "read", "write", "other"}

// String returns the name of the kind.
func (k Kind) String() string { return kindNames[k] }

// Count counts messages, each including its response, and their bytes above TCP.
type Count struct{ Messages, In, Out int64 }

// Counts holds what a fleet has received and sent since its start.
type Counts struct {
	ByKind      [kindCount]Count
	Connections int64 // connections accepted
	MaxProbes   int   // probes at the worker that received the most
}

// atomicCount is a Count that several goroutines update.
type atomicCount struct{ messages, in, out atomic.Int64 }

// Options configures a Fleet.
type Options struct {
	Workers   int
	Readers   float64       // share of the workers that are readers
	Tokens    int           // events of a response
	TokenTime time.Duration // between two events
}

// Fleet is a set of simulated workers.
type Fleet struct {
	options  Options
	listener net.Listener
	port     string

	counts      [kindCount]atomicCount
	connections atomic.Int64
	probes      []atomic.Int64 // by worker

	mu         sync.Mutex
	conns      map[net.Conn]bool
	goroutines sync.WaitGroup
}

// Start starts a Fleet on a port that the kernel chooses.
func Start(o Options) (*Fleet, error) {
	switch {
	case o.Workers < 2 || o.Workers > MaxWorkers:
		return nil, fmt.Errorf("%d workers: must be between 2 and %d", o.Workers, MaxWorkers)
	case !(o.Readers > 0 && o.Readers < 1):
		return nil, fmt.Errorf("share of readers %v: must be greater than 0 and less than 1", o.Readers)
	}
	o.Tokens = max(1, o.Tokens)
	l, err := net.Listen("tcp", "0.0.0.0:0")
	if err != nil {
		return nil, err
	}
	_, port, _ := net.SplitHostPort(l.Addr().String())
	f := &Fleet{options: o, listener: l, port: port, probes: make([]atomic.Int64, o.Workers), conns: make(map[net.Conn]bool)}
	f.goroutines.Go(f.accept)
	return f, nil
}

// Close closes the listener and all connections, and waits until their goroutines have ended.
func (f *Fleet) Close() {
	f.listener.Close()
	f.mu.Lock()
	for c := range f.conns {
		c.Close()
	}
	f.mu.Unlock()
	f.goroutines.Wait()
}

// Address returns the address of the worker with the given number.
func (f *Fleet) Address(worker int) string {
	return net.JoinHostPort(net.IPv4(127, 1+byte(worker>>16), byte(worker>>8), byte(worker)).String(), f.port)
}

// worker returns the number of the worker at an address, or -1 if there is none.
func (f *Fleet) worker(at net.Addr) int {
	tcp, ok := at.(*net.TCPAddr)
	if !ok {
		return -1
	}
	ip := tcp.IP.To4()
	if ip == nil || ip[0] != 127 {
		return -1
	}
	n := int(ip[1]-1)<<16 | int(ip[2])<<8 | int(ip[3])
	if n < 0 || n >= f.options.Workers {
		return -1
	}
	return n
}

// IsReader reports whether the worker with the given number is a reader.
func (f *Fleet) IsReader(worker int) bool { return toyserver.IsReader(worker, f.options.Readers) }

// Counts returns the counts since the start. Whoever has received a response finds it counted in full.
func (f *Fleet) Counts() Counts {
	c := Counts{Connections: f.connections.Load()}
	for k := range f.counts {
		count := &f.counts[k]
		c.ByKind[k] = Count{Messages: count.messages.Load(), In: count.in.Load(), Out: count.out.Load()}
	}
	for i := range f.probes {
		c.MaxProbes = max(c.MaxProbes, int(f.probes[i].Load()))
	}
	return c
}

// Since returns the counts between two snapshots, except MaxProbes, which covers the time since the start.
func (c Counts) Since(before Counts) Counts {
	c.Connections -= before.Connections
	for k := range c.ByKind {
		c.ByKind[k].Messages -= before.ByKind[k].Messages
		c.ByKind[k].In -= before.ByKind[k].In
		c.ByKind[k].Out -= before.ByKind[k].Out
	}
	return c
}

func (f *Fleet) accept() {
	for {
		c, err := f.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(10 * time.Millisecond) // out of file descriptors, retry
			continue
		}
		f.connections.Add(1)
		f.mu.Lock()
		f.conns[c] = true
		f.mu.Unlock()
		f.goroutines.Go(func() {
			defer func() {
				c.Close()
				f.mu.Lock()
				delete(f.conns, c)
				f.mu.Unlock()
			}()
			f.serve(c)
		})
	}
}

// countingConn counts the bytes of a connection. It is used by one goroutine only.
type countingConn struct {
	net.Conn
	in      int64        // bytes read
	message *atomicCount // of the message being answered
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.in += int64(n)
	return n, err
}

// Write counts the bytes before the peer can receive them.
func (c *countingConn) Write(p []byte) (int, error) {
	c.message.out.Add(int64(len(p)))
	n, err := c.Conn.Write(p)
	c.message.out.Add(int64(n - len(p)))
	return n, err
}

// serve handles the requests of a connection one after the other.
func (f *Fleet) serve(conn net.Conn) {
	worker := f.worker(conn.LocalAddr())
	if worker < 0 {
		return
	}
	c := &countingConn{Conn: conn}
	in := bufio.NewReaderSize(c, 4<<10)
	for {
		inBefore := c.in
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		kind := f.kind(r, worker)
		if kind == Probe {
			f.probes[worker].Add(1)
		}
		c.message = &f.counts[kind]
		c.message.messages.Add(1)
		c.message.in.Add(c.in - inBefore)
		if f.respond(c, kind) != nil {
			return
		}
	}
}

// kind returns the purpose of a request to a worker.
func (f *Fleet) kind(r *http.Request, worker int) Kind {
	switch {
	case r.Method == http.MethodGet && r.URL.Path == "/stats":
		return Probe
	case r.Method == http.MethodDelete && strings.HasPrefix(r.URL.Path, "/v1/holds/"):
		return Release
	case r.Method != http.MethodPost:
		return Other
	case f.IsReader(worker):
		return Read
	}
	return Write
}

// streamEvent is one event of a response, of the length of an event that carries a word or two.
const streamEvent = `data: {"choices":[{"index":0,"delta":{"content":"oqvh "},"finish_reason":null}]}` + "\n\n"

// respond writes the response to a request of the given kind.
func (f *Fleet) respond(c *countingConn, kind Kind) error {
	switch kind {
	case Probe:
		return writeResponse(c, http.StatusOK, "cpu_share=0.10,pending=0,x0=0.10,x1=0")
	case Release:
		_, err := io.WriteString(c, "HTTP/1.1 204 No Content\r\n\r\n")
		return err
	case Read:
		return writeResponse(c, http.StatusAccepted, `{"cached_tokens":0}`)
	case Write:
		return f.stream(c)
	}
	return writeResponse(c, http.StatusNotFound, "")
}

func writeResponse(c *countingConn, code int, text string) error {
	_, err := fmt.Fprintf(c, "HTTP/1.1 %d %s\r\nContent-Length: %d\r\n\r\n%s", code, http.StatusText(code), len(text), text)
	return err
}

// stream writes a response of Options.Tokens events.
func (f *Fleet) stream(c *countingConn) error {
	chunk := strconv.FormatInt(int64(len(streamEvent)), 16) + "\r\n" + streamEvent + "\r\n"
	const done = "data: [DONE]\n\n"
	if _, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"+chunk); err != nil {
		return err
	}
	for range f.options.Tokens - 1 {
		if f.options.TokenTime > 0 {
			time.Sleep(f.options.TokenTime)
		}
		if _, err := io.WriteString(c, chunk); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(c, "%x\r\n%s\r\n0\r\n\r\n", len(done), done)
	return err
}
