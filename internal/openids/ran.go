package openids

import (
	"errors"
	"log/slog"
	"time"

	"rowanyard/internal/effectlog"
)

const (
	ranRetention = time.Minute // longer than clients try again
	maxRanIDs    = 20_000
)

// ranIDs holds the ids of requests that may have run, must not run again and are over, and tells other processes of them: one
// that takes over must know them when this one has ended, also those of requests that are open as it is killed. Its methods
// must not be called concurrently.
type ranIDs struct {
	queue  []ranID              // the oldest first
	log    *effectlog.Log       // nil: nothing is shared
	others map[string]time.Time // ids that other processes have told, until when
}

// ranID is an id that stays reserved for a while.
type ranID struct {
	id    string
	claim *claim
	until time.Time
}

// add keeps an id from now on.
func (s *ranIDs) add(id string, c *claim) {
	s.queue = append(s.queue, ranID{id, c, time.Now().Add(ranRetention)})
}

// expired removes and returns the ids that are not to be kept any longer.
func (s *ranIDs) expired() (old []ranID) {
	n, now := max(0, len(s.queue)-maxRanIDs), time.Now()
	for n < len(s.queue) && now.After(s.queue[n].until) {
		n++
	}
	old, s.queue = s.queue[:n:n], s.queue[n:]
	return old
}

// join begins to share the ids with processes that call it with the same path.
func (s *ranIDs) join(path string, number int) error {
	s.log, s.others = effectlog.Open(path+".ran", number), make(map[string]time.Time)
	return s.log.Begin(nil)
}

// publish tells other processes of all claimed ids whose requests may run or have run.
func (s *ranIDs) publish(claims map[string]*claim) error {
	if s.log == nil {
		return nil
	}
	var records []effectlog.Record
	for id, c := range claims {
		if c.unsafe {
			records = append(records, effectlog.Record{Request: id, Keep: ranRetention})
		}
	}
	return s.log.Begin(records)
}

// tell tells other processes that the request with an id may run from now on.
func (s *ranIDs) tell(id string, claims map[string]*claim) error {
	if s.log == nil {
		return nil
	}
	err := s.log.Append(effectlog.Record{Request: id, Keep: ranRetention})
	if errors.Is(err, effectlog.ErrFull) {
		err = s.publish(claims) // which includes it
	}
	return err
}

// withdraw tells other processes that the request with an id has not run.
func (s *ranIDs) withdraw(id string, log *slog.Logger) {
	if s.log == nil {
		return
	}
	if err := s.log.Append(effectlog.Record{Request: id}); err != nil {
		log.Warn("other processes take a request for one that may have run", "txn", id, "err", err)
	}
}

// check returns ErrMayHaveRun if another process has told that the request with an id may have run, also one that has ended, and
// ErrUnknown if that can't be told.
func (s *ranIDs) check(id string) error {
	if s.log == nil {
		return nil
	}
	if s.log.IsOpen() {
		if err := s.readOthers(); err != nil {
			return errors.Join(ErrUnknown, err)
		}
	}
	if time.Now().Before(s.others[id]) {
		return ErrMayHaveRun
	}
	return nil
}

// readOthers reads what other processes have told since the last time.
func (s *ranIDs) readOthers() error {
	records, err := s.log.ReadNew()
	now := time.Now()
	for _, r := range records {
		if r.Keep > 0 {
			s.others[r.Request] = now.Add(r.Keep)
		} else {
			delete(s.others, r.Request)
		}
	}
	return err
}

// unpublish stops sharing as the other processes have ended. What they have told is still known.
func (s *ranIDs) unpublish(log *slog.Logger) {
	if s.log == nil {
		return
	}
	if err := s.readOthers(); err != nil {
		log.Error("ids of another process that may have run are lost", "err", err)
	}
	s.log.End()
	for id, until := range s.others {
		if time.Now().After(until) {
			delete(s.others, id)
		}
	}
}
