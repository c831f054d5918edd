package core

import (
	"testing"
	"time"
)

// Workers report their starts by their own wall clocks. Whatever this machine's wall clock says, now or later, a worker that
// has just started must count as new, and one that started long ago as old. The start time must not change while the
// worker's process is the same.
func TestStartTimesSurviveWallClockErrors(t *testing.T) {
	const truth = 1_700_000_000 * time.Second // Unix time when the core's clock reads zero
	const now = 1000 * time.Second
	for _, x := range []struct {
		name        string
		off         time.Duration // error of this machine's wall clock
		age         time.Duration // of the worker, when its start is listed
		confirmed   time.Duration // how long ago the list was last known to be complete, 0 = never
		least, most time.Duration // accepted range of the derived age
	}{
		{"clock right, no list yet", 0, 5 * time.Second, 0, 5 * time.Second, 5 * time.Second},
		{"clock right, a change", 0, 3 * time.Second, 2 * time.Second, 3 * time.Second, 3 * time.Second},
		{"clock right, after discovery was down", 0, 50 * time.Second, 60 * time.Second, 50 * time.Second, 50 * time.Second},
		{"an hour behind, a change", -time.Hour, 3 * time.Second, 2 * time.Second, 0, 3 * time.Second},
		{"an hour behind, no list yet", -time.Hour, 3 * time.Second, 0, 0, 3 * time.Second},
		{"an hour ahead, a change", time.Hour, 3 * time.Second, 2 * time.Second, 0, 3 * time.Second},
		{"seconds ahead, a change", 10 * time.Second, 3 * time.Second, 2 * time.Second, 0, 3 * time.Second},
	} {
		s := newStartTimes()
		if x.confirmed > 0 {
			s.confirmComplete(now - x.confirmed)
		}
		unixStart := truth + now - x.age
		startedAt := s.startedAt(now, truth+now+x.off, "w", unixStart)
		if age := now - startedAt; age < x.least || age > x.most {
			t.Errorf("%s: derived age %v, want %v to %v", x.name, age, x.least, x.most)
		}
		for _, off := range []time.Duration{0, -time.Hour, time.Hour} { // the wall clock is stepped later
			if again := s.startedAt(now+time.Minute, truth+now+time.Minute+off, "w", unixStart); again != startedAt {
				t.Errorf("%s: the start moved from %v to %v", x.name, startedAt, again)
			}
		}
		if next := s.startedAt(now+time.Minute, truth+now+time.Minute+x.off, "w", unixStart+time.Second); next == startedAt {
			t.Errorf("%s: a new process has the start time of the old one", x.name)
		}
	}
}

// Where this machine's wall clock is behind, a later start of another worker proves that time is further on, so that an
// earlier start must count as older.
func TestLaterStartCorrectsASlowWallClock(t *testing.T) {
	s := newStartTimes()
	const now = 10_000 * time.Second
	wall := 1_700_000_000 * time.Second
	s.startedAt(now, wall-time.Hour, "new", wall)
	if startedAt := s.startedAt(now, wall-time.Hour, "old", wall-20*time.Minute); now-startedAt != 20*time.Minute {
		t.Errorf("derived age %v, want 20 minutes", now-startedAt)
	}
}

func TestUnknownStartReplacesAKnownOne(t *testing.T) {
	s := newStartTimes()
	s.startedAt(time.Second, time.Hour, "w", time.Minute)
	if startedAt := s.startedAt(time.Second, time.Hour, "w", 0); startedAt != 0 || len(s.byWorker) != 0 {
		t.Errorf("started at %v, %d remembered", startedAt, len(s.byWorker))
	}
}
