package core

// This file converts the wall-clock times at which workers report that they started to the core's own clock. The core's clock
// is monotonic; the wall clock of this machine may be wrong or stepped, and those of the workers may disagree with it.

import (
	"time"
)

// maxListLag bounds how long after a worker's start the worker list names it.
const maxListLag = 6 * time.Second

// startTimes remembers when each listed worker started. All times but the Unix times are on the core's clock.
type startTimes struct {
	byWorker        map[string]startTime
	confirmedAt     time.Duration // when the list was last known to be complete, 0 = never
	latestStart     time.Duration // latest Unix time of a start that has been listed
	latestStartSeen time.Duration // when latestStart was listed first
}

// startTime is the start of one worker's process.
type startTime struct {
	unixStart time.Duration // Unix time by the worker's own clock
	startedAt time.Duration // on the core's clock
}

func newStartTimes() *startTimes { return &startTimes{byWorker: make(map[string]startTime)} }

// confirmComplete notes that the worker list is complete as of now.
func (s *startTimes) confirmComplete(now time.Duration) { s.confirmedAt = now }

// forget drops a worker that is not listed any more.
func (s *startTimes) forget(id string) { delete(s.byWorker, id) }

// startedAt returns when a worker started on the core's clock, 0 if long ago. unixStart is the start as the worker reports it, 0
// if long ago. The result stays the same for as long as unixStart does: another unixStart means another process. now is the
// time on the core's clock, and wall the one on this machine's wall clock.
func (s *startTimes) startedAt(now, wall time.Duration, id string, unixStart time.Duration) time.Duration {
	if unixStart <= 0 {
		delete(s.byWorker, id)
		return 0
	}
	if known, ok := s.byWorker[id]; ok && known.unixStart == unixStart {
		return known.startedAt
	}
	startedAt := max(1, now-s.age(now, wall, unixStart))
	if known, ok := s.byWorker[id]; ok && known.startedAt == startedAt {
		startedAt++ // another process must have another start time
	}
	s.byWorker[id] = startTime{unixStart: unixStart, startedAt: startedAt}
	return startedAt
}

// age returns how long ago a start was that has just been listed. The wall clock is trusted only as far as it agrees with
// the lists: the true time is no earlier than the latest start listed, so that no worker starts in the future, and a start
// that an earlier complete list did not name came after that list, but for maxListLag.
func (s *startTimes) age(now, wall, unixStart time.Duration) time.Duration {
	if unixStart > s.latestStart {
		s.latestStart, s.latestStartSeen = unixStart, now
	}
	wall = max(wall, s.latestStart+now-s.latestStartSeen)
	age := wall - unixStart
	if s.confirmedAt > 0 && age > now-s.confirmedAt+maxListLag { // the wall clock is ahead
		return now - s.confirmedAt
	}
	return age
}
