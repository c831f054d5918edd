// Package acceptretry keeps listeners accepting. Linux has accept(2) fail for many reasons that say nothing about the listener:
// a client that has left, a network error that waits on the new connection, no descriptors or memory for a moment, a firewall's
// rule. Servers that take any of them for the end stop serving for good.
package acceptretry

import (
	"errors"
	"net"
	"os"
	"time"
)

const (
	pauseLeast = time.Millisecond
	pauseMost  = 100 * time.Millisecond
)

// Ends says whether an error of Accept means that there is nothing more to accept: the listener was closed, or its owner
// has set a deadline.
func Ends(err error) bool {
	return errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded)
}

// Pause grows with failures in a row. The zero value is ready.
type Pause struct{ next time.Duration }

// Wait waits after a failure.
func (p *Pause) Wait() {
	time.Sleep(max(p.next, pauseLeast))
	p.next = min(max(2*p.next, pauseLeast), pauseMost)
}

// Listener is l, but Accept fails only where l has ended.
func Listener(l net.Listener) net.Listener { return &listener{l} }

type listener struct{ net.Listener }

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) { return Do(l.Listener.Accept) }

// Do calls accept until it returns a connection or an error that ends its listener.
func Do[C any](accept func() (C, error)) (C, error) {
	var pause Pause
	for {
		c, err := accept()
		if err == nil || Ends(err) {
			return c, err
		}
		pause.Wait()
	}
}
