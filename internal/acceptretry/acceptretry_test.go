package acceptretry

import (
	"errors"
	"net"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
)

// transientErrors are the errors that accept(2) documents for Linux, except EBADF, EFAULT, EINVAL and ENOTSOCK, which are
// bugs of the caller.
var transientErrors = []syscall.Errno{syscall.ECONNABORTED, syscall.EINTR, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM,
	syscall.EPROTO, syscall.EPERM, syscall.ENETDOWN, syscall.ENOPROTOOPT, syscall.EHOSTDOWN, syscall.ENONET, syscall.EHOSTUNREACH,
	syscall.EOPNOTSUPP, syscall.ENETUNREACH, syscall.ETIMEDOUT}

// failingListener is a listener whose Accept returns the given errors and then a connection.
type failingListener struct {
	net.Listener
	errs []error
}

func (f *failingListener) Accept() (net.Conn, error) {
	if len(f.errs) == 0 {
		c, _ := net.Pipe()
		return c, nil
	}
	err := f.errs[0]
	f.errs = f.errs[1:]
	return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", err)}
}

func TestAcceptRetriesTransientErrors(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, errno := range transientErrors {
			l := Listener(&failingListener{errs: []error{errno, errno, errno}})
			if c, err := l.Accept(); err != nil || c == nil {
				t.Errorf("%v was not retried: %v", errno, err)
			}
		}
	})
}

func TestAcceptReturnsTerminalErrors(t *testing.T) {
	for _, end := range []error{net.ErrClosed, os.ErrDeadlineExceeded} {
		if _, err := Listener(&failingListener{errs: []error{end}}).Accept(); !errors.Is(err, end) {
			t.Errorf("want error %v, got %v", end, err)
		}
	}
}
