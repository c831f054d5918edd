package httpfront

import (
	"context"
	"time"
)

const (
	shutdownAcceptTime   = 600 * time.Millisecond  // connections still arrive for this long after SIGTERM
	standbyCloseDelay    = 1500 * time.Millisecond // from the start of standby until inactive connections are closed ...
	standbyCloseInterval = 100 * time.Millisecond  // ... and from then on at this interval
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
		time.AfterFunc(standbyCloseDelay, f.closeInactiveInStandby)
	}
}

// closeInactiveInStandby closes the connections without a request in progress, repeatedly while the front is in standby.
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

// Shutdown ends the front gracefully. It closes idle connections at once, answers the requests that have arrived and those
// that still arrive for a short while, hands over streams (see HandOverAfter), and cuts those that are still running when
// ctx ends. successor is the path at which another process, which by now listens at the same address and gets the new
// connections, takes over streams; it is "" if there is none.
func (f *Front) Shutdown(ctx context.Context, successor string) {
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
	select {
	case <-time.After(shutdownAcceptTime):
	case <-ctx.Done():
	}
	if current != nil && !current.shutdown(ctx) {
		f.log.Warn("streams cut at the end", "err", ctx.Err())
	}
	f.server.Close()
	f.keptStreams.running.Wait(ctx)
	if streamReceiver != nil {
		streamReceiver.stop(ctx)
	}
	if successor != "" {
		f.log.Info("streams handed over", "streams", f.handedOver.Load())
	}
}
