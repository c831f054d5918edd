package inbound

import (
	"net"
	"runtime"
)

// How much is read in one turn of a connection that carries the requests of many clients: it may be hundreds of them.
const (
	sharedReadBytes   = 8 << 10
	deferredReadBytes = 1 << 10 // if it had to wait for its turn
)

// Listener returns a listener whose connections are read in turns. It is for servers that read a connection in one goroutine and
// handle what they have read before they read on, such as those of gRPC: the turn goes on until then.
func (b *Budgets) Listener(l net.Listener) net.Listener { return &listener{l, b} }

type listener struct {
	net.Listener
	budgets *Budgets
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	client := l.budgets.NewClient()
	client.Shared = true
	reader := NewReader(c, client)
	reader.deferredBytes = deferredReadBytes
	return &sharedConn{Conn: c, client: client, reader: reader}, nil
}

// sharedConn is a connection that carries the requests of many clients.
type sharedConn struct {
	net.Conn
	client   *Client
	reader   *Reader
	deferred bool // the last read had to wait for its turn
}

// Read implements net.Conn.
func (c *sharedConn) Read(p []byte) (int, error) {
	if c.deferred { // what was read before is handled by other goroutines, as a part of the turn
		runtime.Gosched()
	}
	c.client.End()
	n, seenAt, err := c.reader.Next(p[:min(len(p), sharedReadBytes)], true)
	c.deferred = !seenAt.IsZero()
	return n, err
}

// Close implements net.Conn.
func (c *sharedConn) Close() error {
	c.client.Close()
	return c.Conn.Close()
}
