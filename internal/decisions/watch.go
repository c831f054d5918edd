package decisions

import "rowanyard/internal/grant"

// Subscription is a caller's stream of revocations. Opening a newer one for the same caller ends it.
type Subscription struct {
	Seq         uint64        // the stream begins after this sequence number
	Wake        chan struct{} // signals that Next may have something to return
	coordinator *Coordinator
	caller      string
	streamID    uint64
}

// Watch opens a stream of revocations for a caller, replacing any older one.
func (d *Coordinator) Watch(caller string) (*Subscription, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	streamID, seq, err := d.table.Watch(d.now(), caller)
	if err != nil {
		return nil, err
	}
	if old := d.watchers[caller]; old != nil { // wake the older stream so that it notices its end
		select {
		case old <- struct{}{}:
		default:
		}
	}
	w := &Subscription{Seq: seq, Wake: make(chan struct{}, 1), coordinator: d, caller: caller, streamID: streamID}
	d.watchers[caller] = w.Wake
	return w, nil
}

// Next returns the queued revocations and the sequence number that the stream has reached. ended reports that the stream
// has been closed or replaced.
func (w *Subscription) Next() (revocations []grant.Revocation, seq uint64, ended bool) {
	d := w.coordinator
	d.mu.Lock()
	defer d.mu.Unlock()
	revocations, seq, ended = w.coordinator.table.Next(w.caller, w.streamID)
	if d.observer.Revoked != nil {
		for _, r := range revocations {
			d.observer.Revoked(d.now() - r.At)
		}
	}
	return revocations, seq, ended
}

// Close ends the stream.
func (w *Subscription) Close() {
	d := w.coordinator
	d.mu.Lock()
	defer d.mu.Unlock()
	d.table.Unwatch(d.now(), w.caller, w.streamID)
	if d.watchers[w.caller] == w.Wake {
		delete(d.watchers, w.caller)
	}
	if d.table.HasTimers() {
		d.scheduleAdvance()
	}
}
