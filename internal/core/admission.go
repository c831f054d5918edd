package core

// Admission of requests while the process ends: a stream may be of any length and the time of the kill is not known, so that
// no request may be taken late unless its stream can move to another process.

import (
	"time"

	"rowanyard/internal/invariant"
)

// CloseAdmission is called once, when the process has been told to end. Requests that come after end are late, see Admits.
func (c *Core) CloseAdmission(end time.Time) { c.admissionEnd.Store(&end) }

// AdmissionEnd returns the time after which requests are late. ok is false if the process has not been told to end.
func (c *Core) AdmissionEnd() (end time.Time, ok bool) {
	if stored := c.admissionEnd.Load(); stored != nil {
		return *stored, true
	}
	return time.Time{}, false
}

// Admits reports whether this process may serve the request with the given id, which had come in full at that time. It admits
// a late request only if canMove, which may be nil, reports that its stream can move to the process that takes over.
// The others must be refused: nothing has run, and another router can serve them to their end.
func (c *Core) Admits(id string, came time.Time, canMove func() bool) bool {
	end, closing := c.AdmissionEnd()
	if !closing || !came.After(end) || canMove != nil && canMove() {
		return true
	}
	c.Guard.Stopped(invariant.Starting, "too late before the end of the process", "txn", id)
	return false
}
