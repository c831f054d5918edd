package httpfront

// When the process has run out of file descriptors, new connections to discovery, to workers and of operators get the
// descriptor of a client connection that has no complete request in progress. Busy client connections are never
// closed for this.

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"syscall"
)

// maxReclaims bounds the descriptors freed for one connection: another goroutine may take a freed one first.
const maxReclaims = 4

// DescriptorSource frees file descriptors on demand. The zero value frees none.
type DescriptorSource struct{ reclaim atomic.Pointer[func() bool] }

// SetReclaim sets the function that frees a descriptor and reports whether it could.
func (d *DescriptorSource) SetReclaim(reclaim func() bool) { d.reclaim.Store(&reclaim) }

func (d *DescriptorSource) tryReclaim() bool {
	reclaim := d.reclaim.Load()
	return reclaim != nil && (*reclaim)()
}

func outOfDescriptors(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE)
}

// isLocalFailure reports whether a connection failed for lack of a local resource, which is no sign of a fault of the
// peer.
func isLocalFailure(err error) bool {
	for _, errno := range []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL,
		syscall.EADDRINUSE, syscall.EAGAIN, syscall.EACCES, syscall.EPERM, syscall.EAFNOSUPPORT} {
		if errors.Is(err, errno) {
			return true
		}
	}
	return false
}

type dialFunc = func(ctx context.Context, network, addr string) (net.Conn, error)

// wrapDial returns dial extended to free descriptors when there are none left.
func (d *DescriptorSource) wrapDial(dial dialFunc) dialFunc {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		for n := 0; n < maxReclaims && outOfDescriptors(err) && d.tryReclaim(); n++ {
			c, err = dial(ctx, network, addr)
		}
		return c, err
	}
}

// Listener returns l extended to free descriptors when there are none left.
func (d *DescriptorSource) Listener(l net.Listener) net.Listener { return &reclaimingListener{l, d} }

type reclaimingListener struct {
	net.Listener
	source *DescriptorSource
}

// Accept implements net.Listener.
func (l *reclaimingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	for n := 0; n < maxReclaims && outOfDescriptors(err) && l.source.tryReclaim(); n++ {
		c, err = l.Listener.Accept()
	}
	return c, err
}

// CloseIdleClient closes the client connection that is to be evicted first, if there is one without a complete request in
// progress. It reports whether it closed one.
func (f *Front) CloseIdleClient() bool {
	f.mu.Lock()
	clients := f.clients
	f.mu.Unlock()
	if clients == nil {
		return false
	}
	evicted, _ := clients.evictOne()
	return evicted
}
