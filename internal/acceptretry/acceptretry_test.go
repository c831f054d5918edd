package acceptretry

import (
	"errors"
	"net"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
)

// Errors are those that accept(2) documents for Linux, but for EBADF, EFAULT, EINVAL and ENOTSOCK, which are bugs.
var Errors = []syscall.Errno{syscall.ECONNABORTED, syscall.EINTR, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM,
	syscall.EPROTO, syscall.EPERM, syscall.ENETDOWN, syscall.ENOPROTOOPT, syscall.EHOSTDOWN, syscall.ENONET, syscall.EHOSTUNREACH,
	syscall.EOPNOTSUPP, syscall.ENETUNREACH, syscall.ETIMEDOUT}

// failing is a listener whose Accept returns the given errors and then a connection.
type failing struct {
	net.Listener
	errs []error
}

func (f *failing) Accept() (net.Conn, error) {
	if len(f.errs) == 0 {
		c, _ := net.Pipe()
		return c, nil
	}
	err := f.errs[0]
	f.errs = f.errs[1:]
	return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", err)}
}

func TestAcceptGoesOnAfterEachError(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, errno := range Errors {
			l := Listener(&failing{errs: []error{errno, errno, errno}})
			if c, err := l.Accept(); err != nil || c == nil {
				t.Errorf("%v ends the listener: %v", errno, err)
			}
		}
	})
}

func TestAcceptEndsWithItsListener(t *testing.T) {
	for _, end := range []error{net.ErrClosed, os.ErrDeadlineExceeded} {
		if _, err := Listener(&failing{errs: []error{end}}).Accept(); !errors.Is(err, end) {
			t.Errorf("%v: %v", end, err)
		}
	}
}
