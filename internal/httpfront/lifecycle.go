package httpfront

import (
	"context"
	"net/http"
	"time"

	"rowanyard/internal/core"
)

const (
	shutdownAcceptTime  = 600 * time.Millisecond  // connections still arrive for this long after SIGTERM
	standbyCloseDelay   = 1500 * time.Millisecond // from the start of standby until inactive connections are closed
	closeInactivePeriod = 100 * time.Millisecond  // between two closes of inactive connections
)

// ready reports whether the router accepts new clients. A process that shuts down while another serves at its address is
// ready too, since new connections go to the other one.
func (f *Front) ready() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.clients != nil && !f.standby && (!f.closing || f.successor)
}

// Standby puts the front into standby or takes it out again. In standby it reports that it is not ready, closes each
// connection after its answer, and soon closes those without a request in progress. Requests that arrive are still served.
func (f *Front) Standby(on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closing || f.standby == on {
		return
	}
	f.standby = on
	if f.clients != nil {
		f.clients.closeAfterAnswers(on)
	}
	if on {
		f.scheduleCloseLocked(standbyCloseDelay)
	}
}

// CloseInactive closes the connections without a complete request from now on until Shutdown returns. A request of which a part
// has been read is refused. It is called during Shutdown, when the core takes no more requests.
func (f *Front) CloseInactive() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ending = true
	f.closeInactiveLocked()
}

// scheduleCloseLocked has inactive connections closed after some time, in place of any time that was set before.
func (f *Front) scheduleCloseLocked(after time.Duration) {
	if f.closeTimer != nil {
		f.closeTimer.Stop()
	}
	f.closeAt = time.Now().Add(after)
	f.closeTimer = time.AfterFunc(after, f.closeIfDue)
}

func (f *Front) closeIfDue() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !time.Now().Before(f.closeAt) { // else the timer was for an earlier standby
		f.closeInactiveLocked()
	}
}

// closeInactiveLocked closes the connections without a complete request, repeatedly while the front is in standby or ends.
func (f *Front) closeInactiveLocked() {
	inStandby := f.standby && !f.closing
	if !inStandby && !f.ending {
		return
	}
	if f.clients != nil {
		f.clients.closeInactive()
	}
	f.scheduleCloseLocked(closeInactivePeriod)
}

// closeAdmission is called when the core's admission ends. Requests that come on unused connections from now on would be refused,
// so that these connections are closed, unless streams can be handed over.
func (f *Front) closeAdmission() {
	f.mu.Lock()
	current := f.clients
	f.mu.Unlock()
	canHandOver, closed := f.canHandOver(), 0
	if current != nil && !canHandOver {
		closed = current.closeUnused()
	}
	f.log.Info("admission closed", "late_streams_move", canHandOver, "unused_connections_closed", closed)
}

// canMove reports whether the stream that answers a request can move to the process that takes over. Only a chunked answer can.
func (f *Front) canMove(r *http.Request) bool {
	return r.ProtoAtLeast(1, 1) && f.canHandOver()
}

// canHandOver reports whether another process takes streams over now, from whichever worker they come.
func (f *Front) canHandOver() bool {
	path := f.successorPath.get()
	return path != "" && !f.hasBridgedWorker() && receivesStreams(path)
}

// hasBridgedWorker reports whether a worker is listed that speaks another protocol than HTTP/1.1, whose streams can't be handed over.
func (f *Front) hasBridgedWorker() bool {
	return len(f.Bridges) > 0 && f.core.AnyWorker(func(w core.Worker) bool { return f.Bridges[w.Wire] != nil })
}

// Shutdown ends the front gracefully. It closes idle connections at once, answers the requests that have arrived and those
// that the core still admits, hands over streams (see HandOverAfter), and cuts those that are still running when ctx ends.
// successor is the path at which another process, which by now listens at the same address and gets the new connections,
// takes over streams; it is "" if there is none.
func (f *Front) Shutdown(ctx context.Context, successor string) {
	defer f.stopClosingInactive()
	f.mu.Lock()
	f.closing, f.successor = true, successor != ""
	if f.successor && f.clients != nil {
		f.clients.closeAfterBacklog()
	}
	streamReceiver, current := f.receiver, f.clients
	f.mu.Unlock()
	f.successorPath.set(successor)
	if current != nil {
		current.closeAfterAnswers(true)
	}
	if successor != "" || f.CutStreams {
		defer time.AfterFunc(f.HandOverAfter, f.cutStreams).Stop()
	}
	if end, ok := f.core.AdmissionEnd(); ok {
		defer time.AfterFunc(time.Until(end), f.closeAdmission).Stop()
	}
	select {
	case <-time.After(shutdownAcceptTime):
	case <-ctx.Done():
	}
	if current != nil && !current.shutdown(ctx) {
		f.log.Warn("streams cut at the end", "err", ctx.Err())
		current.ending.Store(true)
	}
	f.server.Close()
	f.keptStreams.running.Wait(ctx)
	if streamReceiver != nil {
		streamReceiver.stop(ctx)
	}
	f.awaitLastAnswers(ctx)
	if successor != "" {
		f.log.Info("streams handed over", "streams", f.handedOver.Load())
	}
}

// awaitLastAnswers waits for connections that are being closed, so that the end of the process resets none whose client has not
// had its last answer.
func (f *Front) awaitLastAnswers(ctx context.Context) {
	ctx, stop := context.WithTimeout(ctx, lastAnswerTimeout)
	defer stop()
	f.Input.Linger.Wait(ctx)
}

func (f *Front) stopClosingInactive() {
	f.mu.Lock()
	f.ending = false
	f.mu.Unlock()
}
