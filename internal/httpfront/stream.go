package httpfront

// A worker's stream from its first event on. Two clocks bound it: only events show that its client gets on, and where clients ask
// for the rest of a stream, a silence shows sooner that its worker is gone.

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"
)

const (
	stallGapFactor  = 10                      // a resumable stream has stalled after this multiple of its longest gap ...
	minStallTimeout = 1500 * time.Millisecond // ... but not before this
)

var errNoEvents = errors.New("the stream's worker writes no events")

// stream is a worker's streaming answer from its first event on.
type stream struct {
	res       *http.Response
	conn      *workerConn // the connection that it arrives on
	buffered  []byte      // received but not yet passed on
	events    eventScanner
	silence   silenceWatch
	nextEvent eventClock

	readEnded  time.Time     // when Read last returned
	resume     bool          // Workers.Resume
	lastRead   time.Time     // when data last arrived
	longestGap time.Duration // the longest time between two arrivals
}

// newStream returns a stream that waits for its first event.
func newStream(res *http.Response, conn *workerConn, resume bool) *stream {
	s := &stream{res: res, conn: conn, resume: resume}
	s.nextEvent.stop()
	s.silence.start(conn, &s.nextEvent)
	s.silence.begin(firstEventTimeout)
	return s
}

// Header returns the header of the worker's answer.
func (s *stream) Header() http.Header { return s.res.Header }

// readFirstEvent reads until the first event with valid data is complete.
func (s *stream) readFirstEvent() error {
	buf := make([]byte, 0, 1<<10)
	blockStart := 0 // of blocks without data, such as comments
	for {
		n, err := s.res.Body.Read(buf[len(buf):cap(buf)])
		start := len(buf)
		buf = buf[:start+n]
		_, blank, scanErr := s.events.feed(buf[start:])
		if scanErr != nil {
			return scanErr
		}
		if blank > 0 {
			ok, scanErr := hasDataEvent(buf[blockStart : start+blank])
			if scanErr != nil {
				return scanErr
			}
			if blockStart = start + blank; ok {
				s.buffered = buf
				s.silence.end()
				s.nextEvent.restart(0)
				s.readEnded = time.Now()
				return nil
			}
		}
		switch {
		case err == io.EOF:
			return io.ErrUnexpectedEOF
		case err != nil:
			return err
		case len(buf) >= maxEventBytes:
			return malformed("no event in %d bytes", len(buf))
		}
		if cap(buf)-len(buf) < 256 {
			buf = append(make([]byte, 0, 2*cap(buf)), buf...)
		}
	}
}

// Read passes on what arrives as long as it is well-formed. A worker that completes no event for StreamStallTimeout is treated as
// gone, whatever else it sends: a machine that vanishes leaves its connections open and silent, and the client must not wait for it.
func (s *stream) Read(p []byte) (int, error) {
	if !s.readEnded.IsZero() {
		s.nextEvent.excludeClient(s.readEnded)
	}
	defer func() { s.readEnded = time.Now() }()
	if len(s.buffered) > 0 {
		n := copy(p, s.buffered)
		if s.buffered = s.buffered[n:]; len(s.buffered) == 0 {
			s.buffered = nil
		}
		return n, nil
	}
	s.silence.begin(s.stallTimeout())
	return s.readWatched(p)
}

// readWatched is a Read that silence has begun to watch.
func (s *stream) readWatched(p []byte) (int, error) {
	n, err := s.res.Body.Read(p)
	s.silence.end()
	if now := time.Now(); n > 0 {
		if !s.lastRead.IsZero() {
			s.longestGap = max(s.longestGap, now.Sub(s.lastRead))
		}
		s.lastRead = now
	}
	before := s.events.events
	n, _, scanErr := s.events.feed(p[:n])
	switch {
	case scanErr != nil:
		return n, scanErr
	case s.events.events > before:
		s.nextEvent.restart(0)
	case err == nil && s.nextEvent.left() <= 0, errors.Is(err, os.ErrDeadlineExceeded):
		return n, errNoEvents
	}
	if err == io.EOF {
		if wholeErr := checkWhole(isChunked(s.res), &s.events); wholeErr != nil {
			return n, wholeErr
		}
	}
	return n, err
}

// stallTimeout returns how long the stream may be silent. It is short for resumable streams because a connection to a
// healthy worker can die silently, and each second until the client requests the rest slows the whole answer down.
func (s *stream) stallTimeout() time.Duration {
	if !s.resume || s.longestGap == 0 {
		return StreamStallTimeout
	}
	return min(max(minStallTimeout, stallGapFactor*s.longestGap), StreamStallTimeout)
}

// requestHandOver makes Read return errHandedOver before the next byte that has not arrived yet, unless all of the stream has. It
// returns false for a stream that can't be handed over, as its end is not marked by a last chunk.
func (s *stream) requestHandOver() bool {
	if s.conn == nil || !isChunked(s.res) {
		return false
	}
	err := s.silence.requestHandOver()
	return err == nil || errors.Is(err, errAnswerEnded)
}

// Close stops the stream and closes its connection unless the stream was complete.
func (s *stream) Close() error {
	s.silence.end()
	return s.res.Body.Close()
}
