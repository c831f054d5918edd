package httpfront

// This file owns how a front is left by its clients: readiness, standby, and the end of the process.

import (
	"context"
	"time"
)

const (
	shutdownAcceptTime   = 600 * time.Millisecond  // after SIGTERM connections still arrive for so long
	standbyCloseDelay    = 1500 * time.Millisecond // in standby connections without a request end after this ...
	standbyCloseInterval = 100 * time.Millisecond  // ... and are looked for so often
)

// ready says whether new clients are wanted. A process that ends while another serves in its place says so
// too: the router as a whole goes on.
func (f *Front) ready() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.clients != nil && !f.standby && (!f.closing || f.heir)
}

// Standby empties the front: it is not ready any more, each connection ends with its answer, and those at
// which no request is at work end soon. Off puts it back to work. What comes all the same is served.
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
		time.AfterFunc(standbyCloseDelay, f.closeInactiveInStandby)
	}
}

// closeInactiveInStandby closes again and again what holds no request, for as long as the front is in standby.
func (f *Front) closeInactiveInStandby() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.standby || f.closing {
		return
	}
	if f.clients != nil {
		f.clients.closeInactive()
	}
	time.AfterFunc(standbyCloseInterval, f.closeInactiveInStandby)
}

// Shutdown ends the front in good order: it answers what has come and what still comes for a
// while, ends idle connections at once, and cuts the streams that still run when ctx ends. heir is the
// path at which another process takes streams, which listens at the same address by now and gets all that is
// new; "" where there is none.
func (f *Front) Shutdown(ctx context.Context, heir string) {
	f.mu.Lock()
	f.closing, f.heir = true, heir != ""
	if f.heir && f.clients != nil {
		f.clients.closeAfterBacklog()
	}
	streamReceiver, current := f.receiver, f.clients
	f.mu.Unlock()
	f.successorPath.set(heir)
	if current != nil {
		current.closeAfterAnswers(true)
	}
	if f.HandOver > 0 {
		defer time.AfterFunc(f.HandOver, func() {
			f.log.Info("handing streams over")
			f.beginHandOver()
		}).Stop()
	}
	select {
	case <-time.After(shutdownAcceptTime):
	case <-ctx.Done():
	}
	if current != nil && !current.shutdown(ctx) {
		f.log.Warn("streams cut at the end", "err", ctx.Err())
	}
	f.server.Close()
	if streamReceiver != nil {
		streamReceiver.stop(ctx)
	}
}
