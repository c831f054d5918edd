package inbound

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"rowanyard/internal/delivery"
)

// ErrNothingYet is what a Reader's ReadOnce returns if nothing can be read now.
const ErrNothingYet = syscall.EAGAIN

// errPeerClosed is returned for input that had to wait, and whose sender has closed the connection meanwhile.
var errPeerClosed = errors.New("the client has closed the connection")

// Reader reads a connection's socket in turns. A client is not asked for more than its silence: while input waits for a turn
// no time counts against the connection's read deadline.
type Reader struct {
	// ReadOnce reads from a socket without blocking. It fails with ErrNothingYet if there is nothing to read.
	ReadOnce func(fd int, p []byte) (int, error)
	// Extend gives what is read the given time from now. Unless it is set the connection's read deadline is.
	Extend func(by time.Duration)

	conn   net.Conn
	raw    syscall.RawConn // nil: not a socket
	client *Client
	waited time.Duration // for turns, and not yet added to the deadline

	deferredBytes int // limit on a read that had to wait for its turn, 0: none
}

// NewReader returns a Reader of a connection whose turns are those of client, which may be nil.
func NewReader(c net.Conn, client *Client) *Reader {
	r := &Reader{conn: c, client: client, ReadOnce: ReadOnce}
	r.Extend = func(by time.Duration) { _ = c.SetReadDeadline(time.Now().Add(by)) }
	if s, ok := c.(syscall.Conn); ok {
		r.raw, _ = s.SyscallConn()
	}
	return r
}

// ReadOnce reads from a socket without blocking. It is what a Reader does unless told otherwise.
func ReadOnce(fd int, p []byte) (int, error) {
	for {
		n, err := syscall.Read(fd, p)
		if !errors.Is(err, syscall.EINTR) {
			return max(0, n), err
		}
	}
}

// Read implements io.Reader.
func (r *Reader) Read(p []byte) (int, error) {
	n, _, err := r.Next(p, true)
	return n, err
}

// Next reads what has come, and waits until something comes. If ends is set, the client's turn goes on after that, and ends while
// nothing comes, also one that it had before. Otherwise a turn is taken for the read alone, unless the client has one. seenAt
// is when input was seen that had to wait for a turn, zero if it did not.
func (r *Reader) Next(p []byte, ends bool) (n int, seenAt time.Time, err error) {
	if r.raw == nil {
		n, err = r.conn.Read(p)
		return n, seenAt, err
	}
	for {
		var deferred bool
		n, deferred, err = r.await(p, ends)
		if deferred {
			if seenAt.IsZero() {
				seenAt = time.Now()
			}
			if n, err = r.readInTurn(p, ends); errors.Is(err, ErrNothingYet) {
				continue
			}
		}
		if err != nil || n == 0 {
			r.client.End()
		}
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded) && ends && r.waited > 0 && !r.client.Interrupted():
			r.Extend(r.waited)
			r.waited = 0
			continue
		case err == nil && n == 0 && len(p) > 0:
			return 0, seenAt, io.EOF
		}
		var errno syscall.Errno
		if errors.As(err, &errno) {
			err = &net.OpError{Op: "read", Net: "tcp", Err: os.NewSyscallError("read", errno)}
		}
		return n, seenAt, err
	}
}

// await waits until something comes and reads it, unless it has to wait for a turn, which deferred reports.
func (r *Reader) await(p []byte, ends bool) (n int, deferred bool, err error) {
	var readErr error
	err = r.raw.Read(func(fd uintptr) (done bool) {
		began, ok := r.client.TryBegin()
		if !ok {
			switch inputOf(int(fd)) {
			case noInput:
				return false
			case someInput:
				deferred = true
				return true
			case inputEnded: // to notice the end costs nothing
			}
		}
		n, readErr = r.ReadOnce(int(fd), p)
		nothing := errors.Is(readErr, ErrNothingYet)
		if began && !ends || nothing && ends {
			r.client.End()
		}
		return !nothing
	})
	if err == nil {
		err = readErr
	}
	return n, deferred, err
}

// readInTurn waits for a turn and reads what has come. The connection's deadline is not looked at: the input came before it.
func (r *Reader) readInTurn(p []byte, ends bool) (n int, err error) {
	if r.deferredBytes > 0 {
		p = p[:min(len(p), r.deferredBytes)]
	}
	began := r.begin()
	if !began && r.client.Interrupted() {
		return 0, os.ErrDeadlineExceeded
	}
	controlErr := r.raw.Control(func(fd uintptr) {
		if peerClosed(int(fd)) { // nobody waits for an answer to what it has sent
			err = errPeerClosed
			return
		}
		n, err = r.ReadOnce(int(fd), p)
	})
	if err == nil {
		err = controlErr
	}
	if began && (!ends || errors.Is(err, ErrNothingYet)) {
		r.client.End()
	}
	return n, err
}

// BeginTurn begins the client's turn for input that was read before.
func (r *Reader) BeginTurn() {
	if _, ok := r.client.TryBegin(); ok {
		return
	}
	r.begin()
}

// begin waits for a turn, and adds the time to what does not count against the deadline.
func (r *Reader) begin() (began bool) {
	waitsSince := time.Now()
	began = r.client.Begin()
	r.waited += time.Since(waitsSince)
	return began
}

// RequestRead is called when a request was read in full: what it had to wait for turns is no matter any more.
func (r *Reader) RequestRead() { r.waited = 0 }

// inputState is what a socket has to be read.
type inputState int

const (
	noInput    inputState = iota
	someInput             // bytes
	inputEnded            // the end of the input, or an error
)

// inputOf looks at a socket without reading from it.
func inputOf(fd int) inputState {
	var b [1]byte
	for {
		n, _, err := syscall.Recvfrom(fd, b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case errors.Is(err, syscall.EINTR):
		case errors.Is(err, syscall.EAGAIN):
			return noInput
		case err == nil && n > 0:
			return someInput
		default:
			return inputEnded
		}
	}
}

// peerClosed reports whether the peer has closed its connection or it is broken, also while there is unread input.
func peerClosed(fd int) bool {
	poll := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	for {
		n, err := unix.Poll(poll, 0)
		if !errors.Is(err, unix.EINTR) {
			return err == nil && n > 0 && poll[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
		}
	}
}

// PeerClosed reports whether the peer has closed a connection or it is broken, also while there is unread input. It is false
// where the connection is no socket.
func PeerClosed(c net.Conn) (closed bool) {
	_ = delivery.Control(c, func(fd int) error {
		closed = peerClosed(fd)
		return nil
	})
	return closed
}
