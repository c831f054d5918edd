package delivery

import (
	"errors"
	"io"
	"net"
	"time"

	"golang.org/x/sys/unix"
)

// bufferedWriteTime is for connections that are no sockets, on which a write may wait.
const bufferedWriteTime = 50 * time.Millisecond

// WriteNow writes as much of p as fits into the send buffer of a connection's socket, without waiting and whatever write deadline
// is set or over: however late this process is, what is owed is tried. It returns what did not fit.
func WriteNow(c net.Conn, p []byte) (rest []byte, err error) {
	if len(p) == 0 {
		return nil, nil
	}
	if _, ok := c.(interface{ CloseWrite() error }); !ok {
		_ = c.SetWriteDeadline(time.Now().Add(bufferedWriteTime))
		_, err := c.Write(p)
		return nil, err
	}
	err = Control(c, func(fd int) error {
		for len(p) > 0 {
			n, err := unix.Write(fd, p)
			p = p[max(0, n):]
			switch {
			case errors.Is(err, unix.EAGAIN):
				return nil
			case err != nil && !errors.Is(err, unix.EINTR):
				return err
			}
		}
		return nil
	})
	return p, err
}

// Write writes p like WriteNow, and then waits up to the given time for a peer that does not take all of it at once.
func Write(c net.Conn, p []byte, wait time.Duration) error {
	rest, err := WriteNow(c, p)
	if err != nil || len(rest) == 0 {
		return err
	}
	_ = c.SetWriteDeadline(time.Now().Add(wait))
	if _, err := c.Write(rest); err != nil {
		return errors.Join(io.ErrShortWrite, err)
	}
	return nil
}
