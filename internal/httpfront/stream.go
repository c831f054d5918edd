package httpfront

// A worker's stream from its first event on. Two clocks bound it: bytes show that its worker is alive, and only events show that
// its client gets on.

import (
	"errors"
	"io"
	"net/http"
	"slices"
	"sync/atomic"
	"time"
)

const (
	stallGapFactor     = 10                      // a resumable stream has stalled after this multiple of its longest gap ...
	minStallTimeout    = 1500 * time.Millisecond // ... but not before this
	StreamStallTimeout = 4 * time.Second         // a stream without any data for this long has stalled
	// maxEventGap is how long a stream may go on without a further event. A client that waits for 5 s has lost its request.
	maxEventGap = 4500 * time.Millisecond
	// stallRecheck is how long a stream that is overdue is given where this process was late itself, to read what has come.
	stallRecheck = 100 * time.Millisecond
	// heldUpTolerance is by how much a timer may be late before this process counts as late.
	heldUpTolerance = 10 * time.Millisecond
	// minClientWait is how long a write to a client must take to count as a wait for that client.
	minClientWait = 10 * time.Millisecond
)

// noEventDue is a time that does not come.
const noEventDue = 1 << 61

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
	eventDue     atomic.Int64 // by when the next event must be complete, since epoch; noEventDue: there is none yet
	overdue      atomic.Bool  // it was overdue as this process was late, and is looked at again

	readEnded  time.Time     // when Read last returned
	resume     bool          // Workers.Resume
	lastRead   time.Time     // when data last arrived
	longestGap time.Duration // the longest time between two arrivals
}

// newStream returns a stream that waits for its first event.
func newStream(res *http.Response, conn *workerConn, resume bool) *stream {
	s := &stream{res: res, conn: conn, resume: resume}
	s.eventDue.Store(noEventDue)
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
				s.eventDue.Store(int64(time.Since(epoch) + maxEventGap))
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

// Read passes on what arrives as long as it is well-formed. A worker that sends nothing for stallTimeout after an event
// is treated as gone: a machine that vanishes leaves its connections open and silent, and the client must not wait for
// it. The same holds for a worker that sends no event for maxEventGap, whatever else it sends.
func (s *stream) Read(p []byte) (int, error) {
	s.excludeClient()
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
	now := time.Since(epoch)
	switch due := time.Duration(s.eventDue.Load()); {
	case scanErr != nil:
		return n, scanErr
	case err == io.EOF && s.events.lineBytes > 0:
		return n, malformed("it ends inside a line")
	case s.events.events > before:
		s.eventDue.Store(int64(now + maxEventGap))
	case err == nil && now > due+stallRecheck:
		return n, errNoEvents
	}
	return n, err
}

// excludeClient keeps the time since the last Read from counting for the worker where the client took no more in it.
func (s *stream) excludeClient() {
	if !s.readEnded.IsZero() {
		s.eventDue.Add(int64(clientWait(s.readEnded)))
	}
}

// clientWait returns the time since began, in which a client was written to, if that was a wait for the client, and 0 otherwise.
func clientWait(began time.Time) time.Duration {
	if took := time.Since(began); took >= minClientWait {
		return took
	}
	return 0
}

// watchFor has the stream closed once nothing has come for the given time, or no event by its due time. A read of the body may
// take longer: it returns whole chunks.
func (s *stream) watchFor(silence time.Duration) {
	s.silence.Store(int64(silence))
	s.watchedSince.Store(int64(time.Since(epoch)))
	s.overdue.Store(false)
	s.stallTimer.Reset(min(silence, s.untilEventDue(time.Since(epoch))))
}

func (s *stream) stopWatching() {
	s.silence.Store(0)
	s.stallTimer.Stop()
}

// untilEventDue returns the time from now, which is since epoch, until the next event must be complete.
func (s *stream) untilEventDue(now time.Duration) time.Duration {
	return time.Duration(s.eventDue.Load()) - now
}

// closeIfStalled closes the stream if nothing has come for as long as watchFor was told, or no event in time, and looks again
// later otherwise.
func (s *stream) closeIfStalled() {
	silence, latest := time.Duration(s.silence.Load()), time.Duration(s.watchedSince.Load())
	if s.conn != nil {
		latest = max(latest, time.Duration(s.conn.receivedAt.Load()))
	}
	now := time.Since(epoch)
	switch left := min(silence-(now-latest), s.untilEventDue(now)); {
	case silence == 0: // not watched any more
	case left > 0:
		s.stallTimer.Reset(left)
	case left < -heldUpTolerance && s.overdue.CompareAndSwap(false, true):
		s.stallTimer.Reset(stallRecheck)
	default:
		s.res.Body.Close()
	}
}

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
	if s.conn == nil || !slices.Contains(s.res.TransferEncoding, "chunked") {
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
