package core

// This file turns the wall-clock times at which workers say that they started into times of the core's own clock. That clock is
// monotonic; the wall clock of this machine may be off or stepped, and the workers' need not agree with it.

import (
	"time"
)

// listLag is how late a list may know of a start.
const listLag = 6 * time.Second

// startTimes remembers when each listed worker started.
type startTimes struct {
	of        map[string]startTime
	confirmed time.Duration // the list was last known to be complete, 0 = never
	newest    time.Duration // the latest start, by the workers' wall clock, that has been listed ...
	newestAt  time.Duration // ... and when that was seen first
}

// startTime is one worker's.
type startTime struct {
	born time.Duration // Unix time, as told
	at   time.Duration // by the core's clock
}

func newStartTimes() *startTimes { return &startTimes{of: make(map[string]startTime)} }

// confirm notes that the list holds everything up to now.
func (s *startTimes) confirm(now time.Duration) { s.confirmed = now }

// forget drops a worker that is gone.
func (s *startTimes) forget(id string) { delete(s.of, id) }

// at is when a worker that was born at the given Unix time started, 0 for one that started long ago. It stays the same for as
// long as born does: another start time is another process. now is the core's clock and wall this machine's wall clock.
func (s *startTimes) at(now, wall time.Duration, id string, born time.Duration) time.Duration {
	if born <= 0 {
		delete(s.of, id)
		return 0
	}
	if known, ok := s.of[id]; ok && known.born == born {
		return known.at
	}
	at := max(1, now-s.age(now, wall, born))
	if known, ok := s.of[id]; ok && known.at == at {
		at++ // another process
	}
	s.of[id] = startTime{born: born, at: at}
	return at
}

// age is how long ago a start that has just been listed was. The wall clock is believed as far as it agrees with the lists: no
// worker starts in the future, none before the list that did not name the start (but for the list's lag), and the true time is
// no earlier than the latest start that has been listed.
func (s *startTimes) age(now, wall, born time.Duration) time.Duration {
	if born > s.newest {
		s.newest, s.newestAt = born, now
	}
	wall = max(wall, s.newest+now-s.newestAt)
	age := wall - born
	if s.confirmed > 0 && age > now-s.confirmed+listLag { // the wall clock is ahead
		return now - s.confirmed
	}
	return age
}
