package httpfront

// The end of a worker's stream by its silence has one owner: the goroutine that reads the stream. The timer of a silenceWatch does
// no more than wake it. It reads what has come, and judges then. From an answer's head to its end the read deadline of its connection
// belongs to the watch; none of it stands for the next answer.

import (
	"errors"
	"sync"
	"time"
)

var errAnswerEnded = errors.New("the stream's answer has ended")

// silenceWatch wakes the reader of a stream that is overdue: nothing has come for some time, or no event by its due time.
type silenceWatch struct {
	conn      *workerConn
	nextEvent *eventClock
	timer     *time.Timer

	mu      sync.Mutex
	ended   bool          // the answer has: the connection may carry another one
	reading bool          // the stream is being read
	woken   bool          // the reader, since the read began
	readsOn time.Time     // until when the woken reader reads what has come; zero: it has not begun to
	silence time.Duration // that is allowed
	since   time.Duration // when the read began, since epoch
}

// start prepares a watch on a stream that arrives on conn.
func (w *silenceWatch) start(conn *workerConn, nextEvent *eventClock) {
	w.conn, w.nextEvent = conn, nextEvent
	w.timer = time.AfterFunc(time.Hour, w.wakeIfOverdue)
	conn.silence.Store(w)
}

// begin watches a read that begins now.
func (w *silenceWatch) begin(silence time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended { // what is left of the stream has been received
		return
	}
	w.reading, w.silence, w.since, w.readsOn = true, silence, time.Since(epoch), time.Time{}
	w.timer.Reset(min(silence, w.nextEvent.left()))
}

// end records that the read has ended. The deadline that has woken the reader must not end the next read of the connection.
func (w *silenceWatch) end() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.endReadLocked()
}

func (w *silenceWatch) endReadLocked() {
	w.reading = false
	if w.woken {
		w.clearDeadlineLocked()
	}
	w.timer.Stop()
}

// endAnswer records that the answer has ended. A handover that was requested meanwhile is not needed.
func (w *silenceWatch) endAnswer() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended = true
	if w.conn.handOverRequested.CompareAndSwap(true, false) {
		w.woken = true
	}
	w.endReadLocked()
}

// resume clears the deadline of a handover that has failed.
func (w *silenceWatch) resume() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.clearDeadlineLocked()
}

// clearDeadline lets the woken reader go on: for some time where there is input, and for good where the stream is not overdue any
// more. It returns false if the stream is to end.
func (w *silenceWatch) clearDeadline(hasInput bool) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	if w.readsOn.IsZero() {
		w.readsOn = now.Add(stallRecheck)
	}
	inTime := w.reading && w.leftLocked() > 0
	if !inTime && !(hasInput && now.Before(w.readsOn)) {
		return false
	}
	w.clearDeadlineLocked()
	w.woken = !inTime
	return true
}

// wakeAgain has the reader look at what has come behind the input that it has read, if it was woken.
func (w *silenceWatch) wakeAgain() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.woken && w.reading && !w.conn.handOverRequested.Load() {
		_ = w.conn.Conn.SetReadDeadline(time.Now())
	}
}

func (w *silenceWatch) clearDeadlineLocked() {
	w.woken = false
	if !w.conn.handOverRequested.Load() {
		_ = w.conn.Conn.SetReadDeadline(time.Time{})
	}
}

// requestHandOver wakes the reader, which hands the stream over unless there is input. It fails once the answer has ended.
func (w *silenceWatch) requestHandOver() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended {
		return errAnswerEnded
	}
	w.conn.handOverRequested.Store(true)
	return w.conn.Conn.SetReadDeadline(time.Now())
}

// leftLocked returns the time until the stream is overdue.
func (w *silenceWatch) leftLocked() time.Duration {
	latest := max(w.since, time.Duration(w.conn.receivedAt.Load()))
	return min(w.silence-(time.Since(epoch)-latest), w.nextEvent.left())
}

// wakeIfOverdue wakes the reader if the stream is overdue, and looks again later otherwise.
func (w *silenceWatch) wakeIfOverdue() {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch left := w.leftLocked(); {
	case !w.reading:
	case left > 0:
		w.timer.Reset(left)
	default:
		w.woken = true
		_ = w.conn.Conn.SetReadDeadline(time.Now())
	}
}
