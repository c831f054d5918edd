// Package delivery knows what has become of the bytes that this process writes to TCP sockets: whether the peer's system has
// them, and what can still be taken back. Outbound accounts for the requests on one connection to a worker, from the first byte
// to the end of the answer or the end of the request; Write and WriteNow write the last answers that a client is owed.
package delivery

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// unsentLimit is how many bytes the system takes beyond those that it has sent. What it has not taken when a request ends has
// certainly not arrived.
const unsentLimit = 4 << 10

// LimitUnsent bounds the unsent bytes in a socket's send buffer. A write waits while there are more. It suits net.Dialer.Control.
func LimitUnsent(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_NOTSENT_LOWAT, unsentLimit) // without it more is unknown
	})
}

// Unacknowledged returns how many bytes of what was written to c its peer's system has not acknowledged. ok is false where the
// system does not tell.
func Unacknowledged(c net.Conn) (bytes int, ok bool) { return outputQueue(c, unix.SIOCOUTQ) }

// unsent returns how many bytes of what was written to c have not left this machine.
func unsent(c net.Conn) (bytes int, ok bool) { return outputQueue(c, unix.SIOCOUTQNSD) }

// outputQueue asks for the size of a part of a socket's send buffer.
func outputQueue(c net.Conn, request uint) (bytes int, ok bool) {
	err := Control(c, func(fd int) (err error) {
		bytes, err = unix.IoctlGetInt(fd, request)
		return err
	})
	return bytes, err == nil
}

// SinceInput returns how long ago the last input of a socket reached this machine, whether it has been read or not. It is 0 where the
// system does not tell.
func SinceInput(fd int) time.Duration {
	info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil {
		return 0
	}
	return time.Duration(info.Last_data_recv) * time.Millisecond
}

// setResetOnClose sets whether the end of the connection, by a close or by the end of this process, discards what the peer has
// not acknowledged and resets the connection.
func setResetOnClose(c net.Conn, on bool) error {
	return Control(c, func(fd int) error {
		linger := unix.Linger{Onoff: 0, Linger: 0}
		if on {
			linger.Onoff = 1
		}
		return unix.SetsockoptLinger(fd, unix.SOL_SOCKET, unix.SO_LINGER, &linger)
	})
}

// CloseByReset closes a connection and discards what its peer has not acknowledged. The reset tells the peer that it has not got
// everything.
func CloseByReset(c net.Conn) error {
	_ = setResetOnClose(c, true) // without it the connection is closed all the same
	return c.Close()
}

// ErrNotASocket is returned for connections without a descriptor.
var ErrNotASocket = errors.New("not a socket")

// Control runs call with the descriptor of a connection's socket, and returns its error.
func Control(c net.Conn, call func(fd int) error) error {
	s, ok := c.(syscall.Conn)
	if !ok {
		return ErrNotASocket
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return err
	}
	controlErr := raw.Control(func(fd uintptr) { err = call(int(fd)) })
	if controlErr != nil {
		return controlErr
	}
	return err
}
