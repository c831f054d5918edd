package httpfront

// A follower keeps the core's worker list up to date from one address of discovery. While discovery is silent, it makes
// further calls beside those that wait: a call that has waited through an outage may never be answered. Some of them wait
// longer than others, for discovery that is slow. The first call that is answered stays open, and the others end.

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"
)

// callReason is why a call is made.
type callReason string

// The reasons, as the log has them.
const (
	firstCall   callReason = "address"      // at an address
	callEnded   callReason = "call ended"   // the one before, and no other is open
	watchSilent callReason = "watch silent" // the call in use has carried no line for long
	noAnswer    callReason = "no answer"    // to the calls that are open
)

// follower makes the calls to one address. Discovery.mu guards its fields below wake.
type follower struct {
	discovery *Discovery
	addr      string
	client    *http.Client
	ctx       context.Context // ends when no further calls are made
	stop      context.CancelFunc
	wake      chan struct{} // receives a value when the next call may be due earlier

	version   int64            // of the list that the core has; unknownVersion: the full list is requested
	calls     []*discoveryCall // open, the oldest first
	callCount int
	unheard   int       // calls that have begun since discovery was last heard
	failures  int       // calls that have failed since one lasted for changeDeadline
	notBefore time.Time // of the next call
}

func newFollower(d *Discovery, addr string, version int64) *follower {
	f := &follower{discovery: d, addr: addr, version: version, wake: make(chan struct{}, 1),
		client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: d.dial}}}
	f.ctx, f.stop = context.WithCancel(context.Background())
	return f
}

// run makes calls until the follower is stopped.
func (f *follower) run() {
	for f.ctx.Err() == nil {
		next := time.NewTimer(f.startCallIfDue())
		select {
		case <-f.ctx.Done():
		case <-f.wake:
		case <-next.C:
		}
		next.Stop()
	}
}

// retire has the follower make no further calls. A call that was answered goes on, and its lists are applied until end is
// called. retire reports whether there is one.
func (f *follower) retire() bool {
	f.stop()
	for _, c := range slices.Clone(f.calls) {
		if !c.answered {
			f.endCall(c, errAddressChanged)
		}
	}
	return len(f.calls) > 0
}

// end stops the follower and ends its calls. Nothing is applied from them any more.
func (f *follower) end(cause error) {
	for _, c := range slices.Clone(f.calls) {
		f.endCall(c, cause)
	}
	f.stop()
}

// startCallIfDue starts a call if one is due, and returns how long to wait for the next one.
func (f *follower) startCallIfDue() time.Duration {
	f.discovery.mu.Lock()
	defer f.discovery.mu.Unlock()
	now := time.Now()
	if f.ctx.Err() == nil && !now.Before(f.nextCallAt()) {
		reason := f.nextCallReason()
		f.giveUpCalls(now)
		f.startCall(now, reason)
	}
	return f.nextCallAt().Sub(now)
}

// nextCallAt returns when the next call is due.
func (f *follower) nextCallAt() time.Time {
	at := f.notBefore
	for _, c := range f.calls {
		if c.suspectAt.After(at) {
			at = c.suspectAt
		}
	}
	return at
}

// nextCallReason returns why the next call is made.
func (f *follower) nextCallReason() callReason {
	switch {
	case f.callCount == 0:
		return firstCall
	case len(f.calls) == 0:
		return callEnded
	case f.calls[0].answered:
		return watchSilent
	}
	return noAnswer
}

// giveUpCalls ends the calls that have waited for long enough.
func (f *follower) giveUpCalls(now time.Time) {
	for _, c := range slices.Clone(f.calls) {
		if now.Sub(c.lastHeard) >= c.patience {
			f.endCall(c, errSilent)
		}
	}
}

func (f *follower) startCall(now time.Time, reason callReason) {
	pace := f.pace()
	f.callCount++
	c := &discoveryCall{follower: f, number: f.callCount, after: f.version, began: now, lastHeard: now,
		suspectAt: now.Add(pace.answerWait(f.version, f.unheard)), patience: pace.patience(f.unheard), silent: reason == watchSilent || reason == noAnswer}
	f.unheard++
	for _, other := range f.calls {
		other.silent = true
	}
	c.ctx, c.stop = context.WithCancelCause(context.Background())
	f.calls = append(f.calls, c)
	f.discovery.Log.Info("discovery call", "addr", f.addr, "n", c.number, "seq", c.after, "why", reason, "open", len(f.calls))
	go c.run()
}

func (f *follower) pace() callPace { return newCallPace(f.discovery.Core.Settings()) }

// endCall ends a call, from which nothing is applied any more.
func (f *follower) endCall(c *discoveryCall, cause error) {
	c.stop(cause)
	f.calls = slices.DeleteFunc(f.calls, func(open *discoveryCall) bool { return open == c })
}

// recordEnd records and logs the end of a call.
func (f *follower) recordEnd(c *discoveryCall, err error) {
	d := f.discovery
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	fields := []any{"addr", f.addr, "n", c.number, "took_ms", now.Sub(c.began).Milliseconds(), "seq", c.after}
	endedHere := !f.isOpen(c)
	brief := !c.answered && c.patience < firstLineTimeout
	if endedHere && (brief || !errors.Is(err, errSilent)) || f.ctx.Err() != nil {
		f.endCall(c, nil)
		d.Log.Info("discovery call ended", append(fields, "why", err)...)
		return
	}
	if !endedHere {
		f.endCall(c, nil)
		f.notBefore = now.Add(f.pauseAfter(c, now, err))
		f.wakeUp()
	}
	d.Log.Warn("watch ended", append(fields, "again_ms", max(0, f.nextCallAt().Sub(now)).Milliseconds(), "err", err)...)
}

// pauseAfter returns how long to wait after a call that failed with err, and counts the failure.
func (f *follower) pauseAfter(c *discoveryCall, now time.Time, err error) time.Duration {
	end := callEnd{version: f.version, failures: f.failures, age: now.Sub(c.began), silence: now.Sub(c.lastHeard), answered: c.answered, silent: c.silent}
	if end.age > changeDeadline { // the watch lasted for a while
		end.failures = 0
	}
	f.failures = end.failures + 1
	return f.pace().pauseAfter(end, err)
}

// wakeUp has run look at once when the next call is due.
func (f *follower) wakeUp() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// watchBegun notes that discovery serves the watch of a call.
func (f *follower) watchBegun(c *discoveryCall) {
	f.discovery.mu.Lock()
	defer f.discovery.mu.Unlock()
	c.watching = true
	c.suspectAt = time.Now().Add(f.waitFor(c))
}

// partReceived notes that a part of a list has arrived, whose rest follows at once.
func (f *follower) partReceived(c *discoveryCall) {
	f.discovery.mu.Lock()
	defer f.discovery.mu.Unlock()
	c.suspectAt = time.Now().Add(f.pace().answerWait(f.version, f.unheard))
}

// waitFor returns how long a call may stay without a further sign of life.
func (f *follower) waitFor(c *discoveryCall) time.Duration {
	if c.watching {
		return f.pace().lineWait()
	}
	return f.pace().answerWait(f.version, f.unheard)
}

// listUnchanged notes that discovery has confirmed the list.
func (f *follower) listUnchanged(c *discoveryCall) {
	f.discovery.mu.Lock()
	defer f.discovery.mu.Unlock()
	if c.ctx.Err() != nil {
		return
	}
	f.answered(c)
	if f.ctx.Err() == nil { // else the list of another address may be newer
		f.discovery.Core.ListConfirmed()
	}
}

// changeLost notes that a change could not be read, so that the full list is requested next.
func (f *follower) changeLost(c *discoveryCall) {
	f.discovery.mu.Lock()
	defer f.discovery.mu.Unlock()
	if f.isOpen(c) {
		f.version = unknownVersion
	}
}

// isOpen reports whether a call has not been ended by this process.
func (f *follower) isOpen(c *discoveryCall) bool { return slices.Contains(f.calls, c) }

// answered notes that a call has received a line, which ends all other calls.
func (f *follower) answered(c *discoveryCall) {
	for _, other := range slices.Clone(f.calls) {
		if other != c {
			f.endCall(other, errOtherAnswered)
		}
	}
	c.answered, c.silent, c.lastHeard = true, false, time.Now()
	c.suspectAt = c.lastHeard.Add(f.waitFor(c))
	c.patience = f.pace().lineWait() + maxAnswerWait
	f.unheard = 0
}

// apply passes a list that a call has received to the core, unless the call was ended before: a late list must not undo
// what another call, or another address, has sent since.
func (f *follower) apply(c *discoveryCall, l List) error {
	f.discovery.mu.Lock()
	defer f.discovery.mu.Unlock()
	if c.ctx.Err() != nil {
		return context.Cause(c.ctx)
	}
	if err := f.discovery.apply(l); err != nil {
		return err
	}
	f.version = l.Seq
	f.answered(c)
	f.discovery.endPrevious(f)
	f.discovery.Log.Info("worker list", "seq", l.Seq, "whole", l.Whole, "entries", len(l.Hosts), "addr", f.addr, "n", c.number)
	return nil
}
