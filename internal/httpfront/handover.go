package httpfront

// Running streams move from one process of a router to its successor, unnoticed by client and worker: both sockets
// are sent over a Unix socket, together with the position in the stream. At no time may two processes write to one
// client, and a stream whose position is not known exactly must not be continued.

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"rowanyard/internal/delivery"
)

const (
	handOverTimeout  = 300 * time.Millisecond // to connect to the other process, and for the exchange that follows
	maxPositionBytes = 4 << 10                // of an encoded streamPosition
	handOverSockets  = 2                      // the client's and the worker's
	handOverDeclined = "-"                    // the answer no of a process that is asked whether it takes streams over
)

var (
	errHandedOver  = errors.New("handed over to the process that takes over")
	errNoSuccessor = errors.New("no process takes over")
)

// streamPosition describes the state of a stream between two bytes from its worker. It is sent to the other process as JSON.
type streamPosition struct {
	Chunk  chunkState `json:"chunk"`
	Left   int64      `json:"left"`   // bytes left of the current chunk
	Count  int        `json:"count"`  // bytes read of the current chunk's size line, or of a trailer line
	Line   []byte     `json:"line"`   // start of the current line of events, up to the longest field name
	Length int        `json:"length"` // bytes read of that line
	Fine   bool       `json:"fine"`   // its field name is a valid one
	Note   bool       `json:"note"`   // it is a comment
	Data   bool       `json:"data"`   // the current event has a line of data; false from a process of an older version
	Waited int64      `json:"waited"` // milliseconds since the latest event; 0 from a process of an older version
	Behind int        `json:"behind"` // requests that were read behind the one being answered
	ID     string     `json:"id"`     // the request's id; empty from a process of an older version
}

// streamPositionOf returns the position that the scanners of a stream have reached.
func streamPositionOf(c chunkScanner, e eventScanner) streamPosition {
	return streamPosition{Chunk: c.state, Left: c.bytesLeft, Count: c.lineBytes, Line: e.namePrefix, Length: e.lineBytes, Fine: e.validName,
		Note: e.isComment, Data: e.hasData}
}

// scanners returns scanners for the rest of the stream, or an error if the position is not a valid one.
func (h streamPosition) scanners() (chunkScanner, eventScanner, error) {
	if h.Chunk < chunkSize || h.Chunk > trailerLF || h.Left < 0 || h.Left > maxChunkBytes || h.Count < 0 || h.Length < 0 || len(h.Line) > h.Length ||
		h.Behind < 0 || h.Behind > maxReadAhead || h.Waited < 0 {
		return chunkScanner{}, eventScanner{}, fmt.Errorf("invalid stream position: %+v", h)
	}
	return chunkScanner{state: h.Chunk, bytesLeft: h.Left, lineBytes: h.Count},
		eventScanner{namePrefix: h.Line, lineBytes: h.Length, validName: h.Fine, isComment: h.Note, hasData: h.Data}, nil
}

// handOverStream hands a stream over to the process that takes over. The sockets stay open in this process.
func (f *Front) handOverStream(position streamPosition, client, worker int) error {
	path := f.successorPath.get()
	if path == "" {
		return errNoSuccessor
	}
	f.core.OpenIDs.PrepareHandOver(position.ID)
	err := sendStream(path, position, client, worker)
	if err != nil {
		f.log.Warn("a stream was not handed on", "txn", position.ID, "err", err)
		return err
	}
	f.handedOver.Add(1)
	f.log.Debug("a stream was handed on", "txn", position.ID)
	return nil
}

// dialReceiver connects to the process that receives streams at path. The exchange that follows must end within handOverTimeout.
func dialReceiver(path string) (*net.UnixConn, error) {
	conn, err := net.DialTimeout("unixpacket", path, handOverTimeout)
	if err != nil {
		return nil, err
	}
	_ = conn.SetDeadline(time.Now().Add(handOverTimeout))
	return conn.(*net.UnixConn), nil
}

// sendStream sends a stream's position and its sockets to the process that listens at path, and returns once that process
// has accepted them. After an error it has not and never will. The sockets stay open in this process.
func sendStream(path string, position streamPosition, client, worker int) error {
	text, err := json.Marshal(position)
	if err != nil {
		return err
	}
	c, err := dialReceiver(path)
	if err != nil {
		return err
	}
	defer c.Close()
	if _, _, err := c.WriteMsgUnix(text, syscall.UnixRights(client, worker), nil); err != nil {
		return err
	}
	return awaitAccepted(c)
}

// receivesStreams asks the process that listens at path whether it takes streams over. It sends no stream and waits until that
// process closes the connection, which means yes, or declines.
func receivesStreams(path string) bool {
	c, err := dialReceiver(path)
	if err != nil {
		return false
	}
	defer c.Close()
	if err := c.CloseWrite(); err != nil {
		return false
	}
	_, err = c.Read(make([]byte, 1))
	return errors.Is(err, io.EOF)
}

// awaitAccepted waits until the other process confirms that it has accepted a stream. If that takes too long, it makes sure
// that the other process can't confirm any more, on which that one drops the stream.
func awaitAccepted(c *net.UnixConn) error {
	confirmation := make([]byte, 1)
	_, err := c.Read(confirmation)
	if err == nil {
		return nil
	}
	if closeErr := c.CloseRead(); closeErr != nil {
		return errors.Join(err, closeErr)
	}
	_ = c.SetReadDeadline(time.Now().Add(handOverTimeout))
	if n, _ := c.Read(confirmation); n > 0 { // it came in between
		return nil
	}
	return err
}

// dup duplicates the descriptor of a connection's socket.
func dup(c net.Conn) (fd int, err error) {
	fd = -1
	err = delivery.Control(c, func(of int) (err error) {
		syscall.ForkLock.RLock()
		defer syscall.ForkLock.RUnlock()
		if fd, err = syscall.Dup(of); err == nil {
			syscall.CloseOnExec(fd)
		}
		return err
	})
	return fd, err
}

// shutDown ends a connection, whichever processes have its socket open.
func shutDown(c net.Conn) {
	_ = delivery.Control(c, func(fd int) error { return syscall.Shutdown(fd, syscall.SHUT_RDWR) })
}

// successor holds the path at which the process that takes over receives streams, or "" if there is none.
type successor struct {
	mu   sync.Mutex
	path string
}

func (h *successor) set(path string) { h.mu.Lock(); h.path = path; h.mu.Unlock() }
func (h *successor) get() string     { h.mu.Lock(); defer h.mu.Unlock(); return h.path }
