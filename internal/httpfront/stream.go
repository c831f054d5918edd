package httpfront

// A worker's stream from its first event on. Two clocks bound it: only events show that its client gets on, and where clients ask
// for the rest of a stream, a silence shows sooner that its worker is gone.

import (
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	stallGapFactor  = 10                      // a resumable stream has stalled after this multiple of its longest gap ...
	minStallTimeout = 1500 * time.Millisecond // ... but not before this
)

var errNoEvents = errors.New("the stream's worker writes no events")

// stream is a worker's streaming answer from its first event on.
type stream struct {
	res        *http.Response
	conn       *workerConn // the connection that it arrives on
	buffered   []byte      // received but not yet passed on
	events     eventScanner
	stallTimer *time.Timer

	silence      atomic.Int64 // after which stallTimer closes the stream, 0: it does not
	watchedSince atomic.Int64 // since epoch
	nextEvent    eventClock
	overdue      atomic.Bool // it was overdue as this process was late, and is looked at again

	readEnded  time.Time     // when Read last returned
	resume     bool          // Workers.Resume
	lastRead   time.Time     // when data last arrived
	longestGap time.Duration // the longest time between two arrivals
}

// newStream returns a stream that waits for its first event.
func newStream(res *http.Response, conn *workerConn, resume bool) *stream {
	s := &stream{res: res, conn: conn, resume: resume}
	s.nextEvent.stop()
	s.stallTimer = time.AfterFunc(time.Hour, s.closeIfStalled)
	s.watchFor(firstEventTimeout)
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
				s.stopWatching()
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
	s.watchFor(s.stallTimeout())
	n, err := s.res.Body.Read(p)
	s.stopWatching()
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
	case err == nil && s.nextEvent.left() < -stallRecheck:
		return n, errNoEvents
	}
	if err == io.EOF {
		if wholeErr := checkWhole(isChunked(s.res), &s.events); wholeErr != nil {
			return n, wholeErr
		}
	}
	return n, err
}

// watchFor has the stream closed once nothing has come for the given time, or no event by its due time.
func (s *stream) watchFor(silence time.Duration) {
	s.silence.Store(int64(silence))
	s.watchedSince.Store(int64(time.Since(epoch)))
	s.overdue.Store(false)
	s.stallTimer.Reset(min(silence, s.nextEvent.left()))
}

func (s *stream) stopWatching() {
	s.silence.Store(0)
	s.stallTimer.Stop()
}

// closeIfStalled closes the stream if nothing has come for as long as watchFor was told, or no event in time, and looks again
// later otherwise.
func (s *stream) closeIfStalled() {
	silence, latest := time.Duration(s.silence.Load()), time.Duration(s.watchedSince.Load())
	if s.conn != nil {
		latest = max(latest, time.Duration(s.conn.receivedAt.Load()))
	}
	switch left := min(silence-(time.Since(epoch)-latest), s.nextEvent.left()); {
	case silence == 0: // not watched any more
	case left > 0:
		s.stallTimer.Reset(left)
	case left < -heldUpTolerance && s.hasUnreadInput() && s.overdue.CompareAndSwap(false, true):
		s.stallTimer.Reset(stallRecheck)
	default:
		s.res.Body.Close()
	}
}

// hasUnreadInput reports whether more has come than was read.
func (s *stream) hasUnreadInput() bool { return s.conn != nil && hasUnreadInput(s.conn.Conn) }

// stallTimeout returns how long the stream may be silent. It is short for resumable streams because a connection to a
// healthy worker can die silently, and each second until the client requests the rest slows the whole answer down.
func (s *stream) stallTimeout() time.Duration {
	if !s.resume || s.longestGap == 0 {
		return StreamStallTimeout
	}
	return min(max(minStallTimeout, stallGapFactor*s.longestGap), StreamStallTimeout)
}

// requestHandOver makes Read return errHandedOver before the next byte that has not arrived yet. It returns false for a stream
// that can't be handed over, as its end is not marked by a last chunk.
func (s *stream) requestHandOver() bool {
	if s.conn == nil || !isChunked(s.res) {
		return false
	}
	s.conn.handOverRequested.Store(true)
	return s.conn.Conn.SetReadDeadline(time.Now()) == nil
}

// Close stops the stream and closes its connection unless the stream was complete.
func (s *stream) Close() error {
	s.stopWatching()
	return s.res.Body.Close()
}
