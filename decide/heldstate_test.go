package decide

import (
	"fmt"
	"testing"
	"time"
)

// follow plays the request's timers up to a time.
func (f *recorder) follow(r *Router, id RequestID, until time.Duration) {
	for {
		next := until + 1
		for _, at := range f.timers[uint64(id)] {
			if at > r.now && at < next {
				next = at
			}
		}
		if next > until {
			r.now = until
			return
		}
		r.Timer(next, uint64(id))
	}
}

// pinned is a request of a class with an effect, whose state waits since 100 ms and whose write is out. Servers in reach answer
// probes at once.
func pinned(t *testing.T, effect Effect, change func(set *Settings, q *Request)) (*Router, *recorder) {
	t.Helper()
	set, q := settings(), ask(1)
	set.CanProbe, set.PinLimit, set.Classes[0].Effect = true, 300*ms, effect
	if change != nil {
		change(&set, &q)
	}
	r, f := start(t, set, fleet())
	r.now = ms
	for _, s := range r.listed {
		s.wait.add(0.01, r.now) // no look before the read
	}
	r.Request(ms, q)
	r.Outcome(100*ms, Outcome{ID: 1, Server: f.last(), Status: Read, Took: 99 * ms, Kept: 3000})
	if len(f.sends) != 2 {
		t.Fatalf("no write: %v", f.did)
	}
	return r, f
}

// A write that shows no sign may not have arrived: its state is let go within the limit, whatever the class, and once.
func TestAStateIsLetGoBeforeItsWriteHasShownASign(t *testing.T) {
	for _, effect := range []Effect{Safe, Keyed, Unsafe} {
		r, f := pinned(t, effect, func(set *Settings, _ *Request) { set.CanCancel = false })
		f.follow(r, 1, 399*ms)
		if f.has("release 1") {
			t.Errorf("effect %d: let go early: %v", effect, f.did)
		}
		if f.follow(r, 1, 400*ms); f.count("release 1") != 1 {
			t.Errorf("effect %d: not let go at the limit: %v", effect, f.did)
		}
		if f.follow(r, 1, 2*time.Second); f.count("release 1") != 1 {
			t.Errorf("effect %d: let go again: %v", effect, f.did)
		}
	}
}

// A write with its first token has the state: nothing is let go, nor probed.
func TestAWriteThatHasBegunIsLeftAlone(t *testing.T) {
	r, f := pinned(t, Safe, nil)
	r.Started(150*ms, Started{ID: 1, Attempt: 1, Server: f.last(), Took: 50 * ms})
	if f.follow(r, 1, time.Second); f.has("release 1") || f.count("probe w") > 0 {
		t.Errorf("%v", f.did)
	}
}

// Whose carrier keeps the state by leases lets go of it itself.
func TestALeasedStateIsLeftToItsCarrier(t *testing.T) {
	r, f := pinned(t, Safe, func(_ *Settings, q *Request) { q.Leased = true })
	if f.follow(r, 1, 450*ms); f.has("release 1") || f.count("probe w") > 0 {
		t.Errorf("%v", f.did)
	}
}

// A writer that leaves a probe unanswered is silent: what may be repeated goes to another one while the state may still be
// taken, what may not waits, and neither class's next request goes there.
func TestASilentWriterIsFoundWithinTheLimit(t *testing.T) {
	for effect, again := range map[Effect]bool{Safe: true, Keyed: true, Unsafe: false} {
		r, f := pinned(t, effect, nil)
		silent := f.last()
		f.follow(r, 1, 300*ms)
		if !f.has("probe " + silent) {
			t.Errorf("effect %d: not probed: %v", effect, f.did)
		}
		if f.has("cancel 1 1") != again {
			t.Errorf("effect %d: called off %v: %v", effect, f.has("cancel 1 1"), f.did)
		}
		if again {
			r.Outcome(r.now, Outcome{ID: 1, Attempt: 1, Server: silent, Status: Cancelled, Took: 200 * ms})
			if len(f.sends) != 3 || f.last()[0] != 'w' || f.last() == silent {
				t.Errorf("effect %d: no second writer: %v", effect, f.did)
			}
		}
		if r.trusted(r.servers[silent]) {
			t.Errorf("effect %d: the silent writer is trusted", effect)
		}
		if f.follow(r, 1, 400*ms); !f.has("release 1") { // the time has not begun anew with the second write
			t.Errorf("effect %d: not let go at the limit: %v", effect, f.did)
		}
	}
}

// A writer that answers its probe is busy and keeps its write; where that fails later the state is known to be there still,
// and goes to another writer.
func TestABusyWriterKeepsItsWrite(t *testing.T) {
	r, f := pinned(t, Safe, nil)
	busy := f.last()
	f.follow(r, 1, 100*ms+writeCheckDelay)
	r.Probed(r.now, Probed{Server: busy, Queue: -1, Tokens: -1})
	if f.follow(r, 1, 390*ms); f.has("cancel 1 1") {
		t.Fatalf("called off: %v", f.did)
	}
	f.follow(r, 1, 420*ms)
	r.Outcome(430*ms, Outcome{ID: 1, Attempt: 1, Server: busy, Status: Reset, Took: 330 * ms})
	if len(f.sends) != 3 || f.last()[0] != 'w' {
		t.Errorf("the state was given up: %v", f.did)
	}
	if f.follow(r, 1, 730*ms); f.count("release 1") != 2 {
		t.Errorf("the limit does not count from the end of a write that had arrived: %v", f.did)
	}
}

// Where the network has slack, a state whose writer has answered to anything since stays that much longer, and no other does.
func TestALikelyArrivalHasTheNetworksSlack(t *testing.T) {
	for _, heard := range []bool{true, false} {
		r, f := pinned(t, Unsafe, func(set *Settings, _ *Request) { set.PinSlack = 200 * ms })
		f.follow(r, 1, 100*ms+writeCheckDelay)
		if heard {
			r.Probed(r.now, Probed{Server: f.last(), Queue: -1, Tokens: -1})
		}
		if f.follow(r, 1, 599*ms); f.has("release 1") == heard {
			t.Errorf("heard %v: %v", heard, f.did)
		}
		if f.follow(r, 1, 600*ms); f.count("release 1") != 1 {
			t.Errorf("heard %v: not let go: %v", heard, f.did)
		}
	}
}

// A verified write keeps its state only where its server has answered for some time after it was sent: the silence may have
// begun between an earlier answer and the write.
func TestAnEarlyAnswerDoesNotKeepAState(t *testing.T) {
	for at, kept := range map[time.Duration]bool{10 * ms: false, writeCheckDelay: true} {
		r, f := pinned(t, Unsafe, nil)
		r.Verified(101*ms, 1, 1)
		f.follow(r, 1, 100*ms+at)
		r.Probed(r.now, Probed{Server: f.last(), Queue: -1, Tokens: -1})
		if f.follow(r, 1, 401*ms); f.has("release 1") == kept {
			t.Errorf("answered %v after the write: %v", at, f.did)
		}
	}
}

// Once the state has been let go without a sign of its writer, it is read again, if a write can follow.
func TestAStateThatWasLetGoIsReadAgain(t *testing.T) {
	for most, want := range map[int]string{0: "r", 4: "r", 3: "end"} {
		r, f := pinned(t, Safe, func(set *Settings, _ *Request) { set.MaxAttempts, set.CanCancel = most, false })
		f.follow(r, 1, 450*ms)
		r.Outcome(460*ms, Outcome{ID: 1, Attempt: 1, Server: f.last(), Status: Reset, Took: 360 * ms})
		got := "end"
		if len(f.sends) == 3 {
			got = f.last()[:1]
		}
		if got != want || want == "end" && f.count("refuse 1")+f.count("fail 1") != 1 {
			t.Errorf("%s attempts: %s, want %s: %v", fmt.Sprint(most), got, want, f.did)
		}
	}
}
