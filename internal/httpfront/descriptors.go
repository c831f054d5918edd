package httpfront

// This file owns what happens where the process has no descriptor left: whoever needs one for the watch, for workers or for
// operators gets that of a client at which no request is at work. It must never close one that is at work.

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"syscall"
)

// freeTries is how often one is freed for one need: another may take it first.
const freeTries = 4

// Descriptors is where a descriptor can be had from. The zero value has none to give.
type Descriptors struct{ free atomic.Pointer[func() bool] }

// From sets what frees one and says whether it could.
func (d *Descriptors) From(free func() bool) { d.free.Store(&free) }

func (d *Descriptors) freed() bool {
	free := d.free.Load()
	return free != nil && (*free)()
}

func outOfDescriptors(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE)
}

// isLocal says that a connection failed for want of something on this machine, which tells nothing of the one it was to.
func isLocal(err error) bool {
	for _, errno := range []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL,
		syscall.EADDRINUSE, syscall.EAGAIN, syscall.EACCES, syscall.EPERM, syscall.EAFNOSUPPORT} {
		if errors.Is(err, errno) {
			return true
		}
	}
	return false
}

type dialFunc = func(ctx context.Context, network, addr string) (net.Conn, error)

// dialing is dial, which frees descriptors where it needs one.
func (d *Descriptors) dialing(dial dialFunc) dialFunc {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		for n := 0; n < freeTries && outOfDescriptors(err) && d.freed(); n++ {
			c, err = dial(ctx, network, addr)
		}
		return c, err
	}
}

// Listener is l, which frees descriptors where it needs one.
func (d *Descriptors) Listener(l net.Listener) net.Listener { return &needing{l, d} }

type needing struct {
	net.Listener
	from *Descriptors
}

// Accept implements net.Listener.
func (l *needing) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	for n := 0; n < freeTries && outOfDescriptors(err) && l.from.freed(); n++ {
		c, err = l.Listener.Accept()
	}
	return c, err
}

// Shed closes the client's connection that goes first, if there is one at which no request is at work.
func (f *Front) Shed() bool {
	f.mu.Lock()
	clients := f.clients
	f.mu.Unlock()
	if clients == nil {
		return false
	}
	made, _ := clients.makeRoom()
	return made
}
