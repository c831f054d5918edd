// Package acceptretry keeps listeners accepting after transient errors. On Linux accept(2) fails for many reasons that say
// nothing about the listener: a client that has left, a network error pending on the new connection, a momentary lack of
// descriptors or memory, a firewall rule. A server that takes any of them for the end of its listener stops serving for good.
package acceptretry

import (
	"errors"
	"net"
	"os"
	"time"
)

// Bounds of the pause between two calls of Accept.
const (
	minPause = time.Millisecond
	maxPause = 100 * time.Millisecond
)

// IsTerminal reports whether an error of Accept means that there is nothing more to accept: the listener was closed, or a
// deadline that its owner set has passed.
func IsTerminal(err error) bool {
	return errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded)
}

// Backoff is an exponential backoff between failed calls of Accept. The zero value is ready to use. It does not reset: after
// a success, the next failure needs a new one.
type Backoff struct{ next time.Duration }

// Wait sleeps after a failure, twice as long each time up to a bound.
func (p *Backoff) Wait() {
	time.Sleep(max(p.next, minPause))
	p.next = min(max(2*p.next, minPause), maxPause)
}

// Listener returns a listener that accepts from l and retries after transient errors: Accept fails only with errors for
// which IsTerminal is true.
func Listener(l net.Listener) net.Listener { return &listener{l} }

type listener struct{ net.Listener }

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) { return Do(l.Listener.Accept) }

// Do calls accept until it succeeds or returns an error for which IsTerminal is true. It backs off between the calls.
func Do[C any](accept func() (C, error)) (C, error) {
	var pause Backoff
	for {
		c, err := accept()
		if err == nil || IsTerminal(err) {
			return c, err
		}
		pause.Wait()
	}
}
