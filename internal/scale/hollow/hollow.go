// Package hollow stands for a large fleet of workers in one process: all of them are addresses of the loopback network
// behind one socket, answer at once and keep no memory for a token. They speak the platform's protocol as far as a
// router uses it, and count what a router sends them, by kind.
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

// Most is how many workers there may be: their addresses are 127.1.0.1 and up.
const Most = 1 << 16

// Kind is what a message is for.
type Kind int

// The kinds of messages between a router and workers.
const (
	Probe   Kind = iota // a worker's load is asked for
	Release             // what is held for a request is let go
	Read                // the first stage of a request: client traffic
	Write               // the second stage, with its stream: client traffic
	Other               // what a worker does not know: there should be none
	kinds
)

var kindNames = [kinds]string{"probe", "release", "read", "write", "other"}

func (k Kind) String() string { return kindNames[k] }

// Count is messages, each with its answer, and their bytes above TCP.
type Count struct{ Messages, In, Out int64 }

// Counts is what a fleet has met up to a moment.
type Counts struct {
	By          [kinds]Count
	Connections int64 // that were opened
	Busiest     int   // probes at the worker that got the most
}

// Options describe a Fleet.
type Options struct {
	Workers   int
	Readers   float64       // the share of workers that read
	Tokens    int           // events of an answer
	TokenTime time.Duration // between two events
}

// Fleet is workers in this process.
type Fleet struct {
	options  Options
	listener net.Listener
	port     string

	counts      [kinds]struct{ messages, in, out atomic.Int64 }
	connections atomic.Int64
	probes      []atomic.Int64 // by worker

	mu    sync.Mutex
	conns map[net.Conn]bool
	done  sync.WaitGroup
}

// Start starts a Fleet.
func Start(o Options) (*Fleet, error) {
	switch {
	case o.Workers < 2 || o.Workers > Most:
		return nil, fmt.Errorf("%d workers: there may be 2 to %d", o.Workers, Most)
	case !(o.Readers > 0 && o.Readers < 1):
		return nil, fmt.Errorf("a share of %v that reads: over 0 and under 1 makes sense", o.Readers)
	}
	o.Tokens = max(1, o.Tokens)
	l, err := net.Listen("tcp", "0.0.0.0:0")
	if err != nil {
		return nil, err
	}
	_, port, _ := net.SplitHostPort(l.Addr().String())
	f := &Fleet{options: o, listener: l, port: port, probes: make([]atomic.Int64, o.Workers), conns: make(map[net.Conn]bool)}
	f.done.Go(f.accept)
	return f, nil
}

// Close ends the Fleet and its connections.
func (f *Fleet) Close() {
	f.listener.Close()
	f.mu.Lock()
	for c := range f.conns {
		c.Close()
	}
	f.mu.Unlock()
	f.done.Wait()
}

// Address is where the worker with a number is reached.
func (f *Fleet) Address(worker int) string {
	return net.JoinHostPort(net.IPv4(127, 1+byte(worker>>16), byte(worker>>8), byte(worker)).String(), f.port)
}

// worker is the number of the worker at an address, -1 for none.
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

// IsReader says whether the worker with a number reads.
func (f *Fleet) IsReader(worker int) bool { return toyserver.IsReader(worker, f.options.Readers) }

// Counts tells what the Fleet has met so far.
func (f *Fleet) Counts() Counts {
	c := Counts{Connections: f.connections.Load()}
	for k := range f.counts {
		at := &f.counts[k]
		c.By[k] = Count{Messages: at.messages.Load(), In: at.in.Load(), Out: at.out.Load()}
	}
	for i := range f.probes {
		c.Busiest = max(c.Busiest, int(f.probes[i].Load()))
	}
	return c
}

// Since is what was met between two Counts. The busiest worker is that of all time.
func (c Counts) Since(before Counts) Counts {
	c.Connections -= before.Connections
	for k := range c.By {
		c.By[k].Messages -= before.By[k].Messages
		c.By[k].In -= before.By[k].In
		c.By[k].Out -= before.By[k].Out
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
			time.Sleep(10 * time.Millisecond) // no descriptor is left for a moment
			continue
		}
		f.connections.Add(1)
		f.mu.Lock()
		f.conns[c] = true
		f.mu.Unlock()
		f.done.Go(func() {
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

// counted counts the bytes of a connection. One goroutine uses it.
type counted struct {
	net.Conn
	in, out int64
}

func (c *counted) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.in += int64(n)
	return n, err
}

func (c *counted) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.out += int64(n)
	return n, err
}

// serve answers one request after the other on a connection.
func (f *Fleet) serve(conn net.Conn) {
	worker := f.worker(conn.LocalAddr())
	if worker < 0 {
		return
	}
	c := &counted{Conn: conn}
	in := bufio.NewReaderSize(c, 4<<10)
	for {
		before := *c
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
		err = f.answer(c, kind)
		at := &f.counts[kind]
		at.messages.Add(1)
		at.in.Add(c.in - before.in)
		at.out.Add(c.out - before.out)
		if err != nil {
			return
		}
	}
}

// kind says what a request to a worker is for.
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

// event is one event of an answer, as long as one that brings a word or two.
const event = `data: {"choices":[{"index":0,"delta":{"content":"oqvh "},"finish_reason":null}]}` + "\n\n"

// answer writes the answer to a request of a kind.
func (f *Fleet) answer(c *counted, kind Kind) error {
	switch kind {
	case Probe:
		return whole(c, http.StatusOK, "cpu_share=0.10,pending=0,x0=0.10,x1=0")
	case Release:
		_, err := io.WriteString(c, "HTTP/1.1 204 No Content\r\n\r\n")
		return err
	case Read:
		return whole(c, http.StatusAccepted, `{"cached_tokens":0}`)
	case Write:
		return f.stream(c)
	}
	return whole(c, http.StatusNotFound, "")
}

func whole(c *counted, code int, text string) error {
	_, err := fmt.Fprintf(c, "HTTP/1.1 %d %s\r\nContent-Length: %d\r\n\r\n%s", code, http.StatusText(code), len(text), text)
	return err
}

// stream writes an answer of as many events as the options say.
func (f *Fleet) stream(c *counted) error {
	chunk := strconv.FormatInt(int64(len(event)), 16) + "\r\n" + event + "\r\n"
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
