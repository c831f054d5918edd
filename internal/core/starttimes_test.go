package core

import (
	"testing"
	"time"
)

// A worker's start is told by its own wall clock. Whatever this machine's says, now or later, a worker that has just started
// counts as such, one that started long ago does too, and the time of a start never changes while the process is the same.
func TestStartTimesDoNotRestOnTheWallClock(t *testing.T) {
	const truth = 1_700_000_000 * time.Second // Unix time when the core's clock reads zero
	const now = 1000 * time.Second
	for _, x := range []struct {
		name        string
		off         time.Duration // of this machine's wall clock
		age         time.Duration // of the worker, when its start is listed
		confirmed   time.Duration // how long ago the list was known to be complete, 0 = never
		least, most time.Duration // of the age that is reckoned
	}{
		{"right, at the start", 0, 5 * time.Second, 0, 5 * time.Second, 5 * time.Second},
		{"right, a change", 0, 3 * time.Second, 2 * time.Second, 3 * time.Second, 3 * time.Second},
		{"right, after discovery was down", 0, 50 * time.Second, 60 * time.Second, 50 * time.Second, 50 * time.Second},
		{"back an hour, a change", -time.Hour, 3 * time.Second, 2 * time.Second, 0, 3 * time.Second},
		{"back an hour, at the start", -time.Hour, 3 * time.Second, 0, 0, 3 * time.Second},
		{"ahead an hour, a change", time.Hour, 3 * time.Second, 2 * time.Second, 0, 3 * time.Second},
		{"ahead by seconds, a change", 10 * time.Second, 3 * time.Second, 2 * time.Second, 0, 3 * time.Second},
	} {
		s := newStartTimes()
		if x.confirmed > 0 {
			s.confirm(now - x.confirmed)
		}
		born := truth + now - x.age
		at := s.at(now, truth+now+x.off, "w", born)
		if age := now - at; age < x.least || age > x.most {
			t.Errorf("%s: reckoned as %v old, want %v to %v", x.name, age, x.least, x.most)
		}
		for _, off := range []time.Duration{0, -time.Hour, time.Hour} { // stepped later
			if again := s.at(now+time.Minute, truth+now+time.Minute+off, "w", born); again != at {
				t.Errorf("%s: the start moved from %v to %v", x.name, at, again)
			}
		}
		if next := s.at(now+time.Minute, truth+now+time.Minute+x.off, "w", born+time.Second); next == at {
			t.Errorf("%s: another process has the same start", x.name)
		}
	}
}

// Where this machine's clock is behind, a start that another worker has told of proves the time: what came before is older.
func TestALaterStartProvesTheTime(t *testing.T) {
	s := newStartTimes()
	const now = 10_000 * time.Second
	wall := 1_700_000_000 * time.Second
	s.at(now, wall-time.Hour, "new", wall)
	if at := s.at(now, wall-time.Hour, "old", wall-20*time.Minute); now-at != 20*time.Minute {
		t.Errorf("reckoned as %v old", now-at)
	}
}

func TestLongAgoStaysLongAgo(t *testing.T) {
	s := newStartTimes()
	s.at(time.Second, time.Hour, "w", time.Minute)
	if at := s.at(time.Second, time.Hour, "w", 0); at != 0 || len(s.of) != 0 {
		t.Errorf("started at %v, %d remembered", at, len(s.of))
	}
}
