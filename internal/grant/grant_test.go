package grant

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"
)

func newTable(t testing.TB, change func(*Config)) *Table {
	t.Helper()
	config := testConfig
	if change != nil {
		change(&config)
	}
	tab, err := New(config, 0, nil)
	if err != nil {
		t.Fatal(err)
	}
	return tab
}

// mustOffer grants a request through Begin and Offer.
func mustOffer(t testing.TB, tab *Table, now time.Duration, a ChooseCall, to string, read bool) *Grant {
	t.Helper()
	if same, pending, err := tab.Begin(now, a); same != nil || pending || err != nil {
		t.Fatalf("%+v: %v %v %v", a, same, pending, err)
	}
	g, err := tab.Offer(now, a.Request, to, read, 2*time.Second)
	if err != nil {
		t.Fatalf("%+v: %v", a, err)
	}
	return g
}

func want(t *testing.T, what string, got, want error) {
	t.Helper()
	if !errors.Is(got, want) || want == nil && got != nil {
		t.Errorf("%s: %v, want %v", what, got, want)
	}
}

func TestInvalidConfigIsRejected(t *testing.T) {
	for name, change := range map[string]func(*Config){
		"delivery uses up the drain grace":      func(x *Config) { x.MaxDelivery = x.DrainGrace },
		"delivery uses up the hold time":        func(x *Config) { x.MaxDelivery = x.HoldTimeout },
		"watch silence exceeds the drain grace": func(x *Config) { x.WatchTimeout = x.DrainGrace },
		"no open grants":                        func(x *Config) { x.MaxOpenRequests = 0 },
		"no room in the ledger":                 func(x *Config) { x.MaxEffects = 0 },
		"effects not remembered":                func(x *Config) { x.EffectRetention = 0 },
		"negative retry delay":                  func(x *Config) { x.MaxRetryAfter = -1 },
		"negative delivery time":                func(x *Config) { x.MaxDelivery = -1 },
	} {
		config := testConfig
		change(&config)
		if _, err := New(config, 0, nil); err == nil {
			t.Errorf("%s: accepted", name)
		}
	}
}

// Steps that the state of a grant does not allow return their specific error and change nothing.
func TestIllegalStepsReturnSpecificErrors(t *testing.T) {
	tab := newTable(t, nil)
	read := ChooseCall{Caller: "a", Request: "q", Class: 1, NonIdempotent: true}
	g := mustOffer(t, tab, 0, read, "r", true)
	begin := func(a ChooseCall) error { _, _, err := tab.Begin(ms, a); return err }
	_, err := tab.Offer(ms, "q", "r", true, time.Second)
	want(t, "offer without a call", err, ErrInvalidState)
	_, err = tab.Offer(ms, "none", "r", true, time.Second)
	want(t, "offer for an unknown request", err, ErrInvalidState)
	want(t, "another caller's request", begin(ChooseCall{Caller: "b", Request: "q"}), ErrOtherCaller)
	want(t, "another class", begin(ChooseCall{Caller: "a", Request: "q", Class: 2}), ErrClassMismatch)
	want(t, "an attempt two ahead", begin(ChooseCall{Caller: "a", Request: "q", Class: 1, Attempt: 2}), ErrAttemptOrder)
	want(t, "the next attempt before the report", begin(ChooseCall{Caller: "a", Request: "q", Class: 1, Attempt: 1}), ErrAttemptPending)
	want(t, "empty id", begin(ChooseCall{Caller: "a"}), ErrInvalidID)
	want(t, "empty caller", begin(ChooseCall{Request: "x"}), ErrInvalidID)
	want(t, "an id that is too long", begin(ChooseCall{Caller: "a", Request: string(make([]byte, 65))}), ErrInvalidID)
	want(t, "a negative attempt", begin(ChooseCall{Caller: "a", Request: "x", Attempt: -1}), ErrInvalidID)
	want(t, "a later attempt of an unknown request", begin(ChooseCall{Caller: "a", Request: "x", Attempt: 1}), ErrAttemptOrder)
	want(t, "taking up another caller's grant", tab.TakeUp(ms, "b", g.ID), ErrOtherCaller)
	want(t, "renewing another caller's grant", tab.Renew(ms, "b", g.ID), ErrOtherCaller)
	want(t, "reporting another caller's grant", tab.Report(ms, "b", g.ID, Read, false), ErrOtherCaller)
	want(t, "an unknown grant", tab.Report(ms, "a", 99, Read, false), ErrUnknownGrant)
	want(t, "a write's fate for a read", tab.Report(ms, "a", g.ID, Begun, false), ErrInvalidState)
	want(t, "an unspecified fate", tab.Report(ms, "a", g.ID, 0, false), ErrInvalidState)
	want(t, "taken up", tab.TakeUp(ms, "a", g.ID), nil)
	want(t, "taken up again", tab.TakeUp(ms, "a", g.ID), nil)
	want(t, "reported", tab.Report(ms, "a", g.ID, Read, false), nil)
	want(t, "reported again", tab.Report(ms, "a", g.ID, Read, false), nil)
	want(t, "reported with another fate", tab.Report(ms, "a", g.ID, Ran, false), ErrInvalidState)
	want(t, "taken up after its report", tab.TakeUp(ms, "a", g.ID), ErrInvalidState)
	read.Attempt = 1
	w := mustOffer(t, tab, 2*ms, read, "w", false)
	want(t, "an older grant", tab.Renew(2*ms, "a", g.ID), ErrUnknownGrant)
	want(t, "a read's fate for a write", tab.Report(2*ms, "a", w.ID, Read, false), ErrInvalidState)
	want(t, "begun", tab.Report(2*ms, "a", w.ID, Begun, false), nil)
	want(t, "a report after the end", tab.Report(2*ms, "a", w.ID, Begun, false), ErrUnknownGrant)
	want(t, "the request again", begin(ChooseCall{Caller: "a", Request: "q", Class: 1}), ErrMayHaveRun)
	want(t, "the request by another caller, of an idempotent class", begin(ChooseCall{Caller: "b", Request: "q"}), ErrMayHaveRun)
}

// A repeated call gets the same grant with less time left; while the choice is pending it waits.
func TestARepeatedCallGetsTheSameAnswer(t *testing.T) {
	tab := newTable(t, nil)
	a := ChooseCall{Caller: "a", Request: "q"}
	if _, _, err := tab.Begin(0, a); err != nil {
		t.Fatal(err)
	}
	if same, pending, err := tab.Begin(ms, a); same != nil || !pending || err != nil {
		t.Errorf("%v %v %v", same, pending, err)
	}
	g, _ := tab.Offer(10*ms, "q", "r", true, 2*time.Second)
	first := g.Valid(0)
	same, _, err := tab.Begin(100*ms, a)
	if same != g || err != nil {
		t.Fatalf("got %v %v, want grant %d again", same, err, g.ID)
	}
	if most := testConfig.DrainGrace - testConfig.MaxDelivery; g.Valid(100*ms) > most || first > most {
		t.Errorf("valid for %v, then %v", first, g.Valid(100*ms))
	}
}

// Once a worker is closed, nothing is granted there, open grants are revoked, watching callers are notified, and an unreported
// grant counts as one that may have run.
func TestClosingAWorkerRevokesGrants(t *testing.T) {
	tab := newTable(t, nil)
	number, seq, err := tab.Watch(0, "a")
	if err != nil || seq != 0 {
		t.Fatal(err, seq)
	}
	offered := mustOffer(t, tab, 0, ChooseCall{Caller: "a", Request: "q1", Class: 1, NonIdempotent: true}, "w", false)
	sending := mustOffer(t, tab, 0, ChooseCall{Caller: "a", Request: "q2"}, "w", false)
	other := mustOffer(t, tab, 0, ChooseCall{Caller: "b", Request: "q3"}, "v", false)
	want(t, "take up", tab.TakeUp(0, "a", sending.ID), nil)
	if got := tab.CloseWorker(10*ms, "w", "drains"); len(got) != 1 || got[0] != offered || offered.State != Revoked {
		t.Errorf("revoked %v, want the offered grant", got)
	}
	if sending.State != TakenUp || other.State != Offered {
		t.Error("a grant that was taken up or is for another worker was revoked")
	}
	revocations, seq, ended := tab.Next("a", number)
	if len(revocations) != 1 || revocations[0].Grant != offered.ID || revocations[0].Seq != 1 || seq != 1 || ended {
		t.Errorf("revocations %v up to %d", revocations, seq)
	}
	if offered.ValidUntil > 10*ms+testConfig.DrainGrace-testConfig.MaxDelivery {
		t.Errorf("the revoked grant is valid until %v", offered.ValidUntil)
	}
	if _, _, err := tab.Begin(20*ms, ChooseCall{Caller: "b", Request: "q4"}); err != nil {
		t.Fatal(err)
	}
	_, err = tab.Offer(20*ms, "q4", "w", true, time.Second)
	want(t, "a grant for a draining worker", err, ErrDraining)
	if _, err := tab.Offer(20*ms, "q4", "v", true, time.Second); err != nil {
		t.Errorf("the choice did not stay pending: %v", err)
	}
	want(t, "taking up a revoked grant", tab.TakeUp(20*ms, "a", offered.ID), ErrInvalidState)
	tab.Advance(2 * time.Second)
	_, _, err = tab.Begin(2*time.Second, ChooseCall{Caller: "a", Request: "q1", Class: 1, NonIdempotent: true})
	want(t, "a request that may have run before the revocation arrived", err, ErrMayHaveRun)
	tab.OpenWorker("w")
	mustOffer(t, tab, 3*time.Second, ChooseCall{Caller: "b", Request: "q5"}, "w", true)
}

// An attempt reported as not sent may be granted again, to the same or another caller.
func TestUnsentAttemptsMayBeGrantedAgain(t *testing.T) {
	tab := newTable(t, nil)
	a := ChooseCall{Caller: "a", Request: "q", NonIdempotent: true}
	g := mustOffer(t, tab, 0, a, "w", false)
	want(t, "report", tab.Report(ms, "a", g.ID, NotSent, false), nil)
	a.Attempt = 1
	g = mustOffer(t, tab, ms, a, "v", false)
	want(t, "report", tab.Report(ms, "a", g.ID, TurnedAway, true), nil)
	mustOffer(t, tab, ms, ChooseCall{Caller: "b", Request: "q", NonIdempotent: true}, "w", false)
}

// A stream that cannot be written to loses revocations, which shows as a gap in the sequence numbers.
func TestASlowStreamShowsAGap(t *testing.T) {
	tab := newTable(t, func(x *Config) { x.FeedDepth = 2 })
	number, _, _ := tab.Watch(0, "a")
	for i := range 5 {
		id := fmt.Sprint(i)
		mustOffer(t, tab, 0, ChooseCall{Caller: "a", Request: id}, id, true)
		tab.CloseWorker(ms, id, "drains")
	}
	revocations, seq, _ := tab.Next("a", number)
	if len(revocations) == 0 || revocations[0].Seq == 1 || revocations[len(revocations)-1].Seq != seq || seq != 5 {
		t.Errorf("revocations %v up to %d: no gap, or the last one is missing", revocations, seq)
	}
	newer, at, err := tab.Watch(0, "a")
	if err != nil || at != 5 || newer == number {
		t.Errorf("a newer stream starts after %d, %v", at, err)
	}
	if _, _, ended := tab.Next("a", number); !ended {
		t.Error("the older stream did not end")
	}
}

// A caller that floods the router cannot take the places of others and gets a retry delay. A full ledger refuses new
// requests instead of forgetting entries.
func TestAFloodLeavesRoomForOthers(t *testing.T) {
	tab := newTable(t, func(x *Config) { x.MaxOpenRequests, x.MaxEffects = 30, 12 })
	flood := 0
	for i := range 100 {
		_, _, err := tab.Begin(0, ChooseCall{Caller: "flood", Request: fmt.Sprint("f", i)})
		var busy *BusyError
		if errors.As(err, &busy) {
			if busy.Err != ErrCallerLimit || busy.RetryAfter <= 0 || busy.RetryAfter > testConfig.MaxRetryAfter {
				t.Fatalf("%+v", busy)
			}
			continue
		}
		want(t, "begin", err, nil)
		flood++
	}
	if flood != 15 {
		t.Errorf("the flooding caller has %d of 30 places", flood)
	}
	for i := range 5 { // each of five other callers gets one place and then another
		for j := range 2 {
			if _, _, err := tab.Begin(0, ChooseCall{Caller: fmt.Sprint("c", i), Request: fmt.Sprint("c", i, j)}); err != nil {
				t.Errorf("caller %d, request %d: %v", i, j, err)
			}
		}
	}
	if _, _, err := tab.Begin(0, ChooseCall{Caller: "c7", Request: "x"}); err != nil {
		t.Errorf("the seventh caller: %v", err)
	}
	if _, _, err := tab.Begin(0, ChooseCall{Caller: "c8", Request: "y"}); err != nil {
		t.Errorf("the eighth caller: %v", err)
	}
	_, _, err := tab.Begin(0, ChooseCall{Caller: "c9", Request: "z"})
	want(t, "one caller too many", err, ErrTooManyCallers)

	tab = newTable(t, func(x *Config) { x.MaxEffects = 3 })
	for i := range 3 {
		g := mustOffer(t, tab, 0, ChooseCall{Caller: "a", Request: fmt.Sprint(i), NonIdempotent: true}, "w", false)
		want(t, "report", tab.Report(0, "a", g.ID, Ran, true), nil)
	}
	_, _, err = tab.Begin(0, ChooseCall{Caller: "a", Request: "q", NonIdempotent: true})
	want(t, "a fourth effect", err, ErrLedgerFull)
	if _, _, err = tab.Begin(0, ChooseCall{Caller: "a", Request: "safe"}); err != nil {
		t.Errorf("an idempotent class needs no ledger: %v", err)
	}
	tab.CancelChoice(0, "safe")
	tab.Advance(testConfig.EffectRetention + time.Second)
	_, _, err = tab.Begin(testConfig.EffectRetention+time.Second, ChooseCall{Caller: "a", Request: "0", NonIdempotent: true})
	want(t, "after the effect retention", err, nil)
}

// A silent caller is abandoned before its held state has to end. Its read, which may still succeed, is released again and
// again until it no longer can.
func TestSilentCallersAreAbandonedAndReadsReleasedAgain(t *testing.T) {
	tab := newTable(t, nil)
	g := mustOffer(t, tab, 0, ChooseCall{Caller: "a", Request: "q"}, "r", true)
	want(t, "take up", tab.TakeUp(0, "a", g.ID), nil)
	var kinds []ActionKind
	for now := time.Duration(0); now < 4*time.Second; now += 5 * ms {
		if now == 100*ms {
			want(t, "renew", tab.Renew(now, "a", g.ID), nil)
		}
		for _, a := range tab.Advance(now) {
			if len(kinds) == 0 && (a.Kind != AbandonRequest || now < 200*ms || now > 400*ms) {
				t.Errorf("%v at %v", a.Kind, now)
			}
			kinds = append(kinds, a.Kind)
		}
	}
	if n := len(kinds); n < 10 || n > 20 || kinds[n-1] != ReleaseLeftover {
		t.Errorf("actions %v: want a release every 150 ms until the read's deadline", kinds)
	}
	if c := tab.Count(); c.Requests+c.Callers+tab.releasing+tab.wheel.Len() != 0 {
		t.Errorf("left over: %+v, %d timers", c, tab.wheel.Len())
	}
	g = mustOffer(t, tab, 5*time.Second, ChooseCall{Caller: "a", Request: "attached"}, "w", false)
	tab.Attach("attached")
	want(t, "take up", tab.TakeUp(5*time.Second, "a", g.ID), nil)
	if acts := tab.Advance(6 * time.Second); len(acts) > 0 {
		t.Errorf("actions %v although the caller is attached", acts)
	}
	tab.Detach(6*time.Second, "attached")
	if acts := tab.Advance(6*time.Second + testConfig.HoldTimeout); len(acts) != 1 || acts[0].Kind != AbandonRequest {
		t.Errorf("actions %v after the caller left", acts)
	}
}

// Any sequence of steps with any ids keeps the Table consistent: no panic, counts agree, limits hold, and an effect that
// may have happened is remembered.
func FuzzSteps(f *testing.F) {
	rng := rand.New(rand.NewPCG(5, 5))
	for range 30 {
		text := make([]byte, 3*rng.IntN(200))
		for i := range text {
			text[i] = byte(rng.Uint32())
		}
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		tab := newTable(t, func(x *Config) { x.MaxOpenRequests, x.MaxCallers, x.MaxEffects, x.FeedDepth = 8, 3, 6, 2 })
		now, streams := time.Duration(0), map[string]uint64{}
		ran := map[string]time.Duration{}
		for ; len(text) >= 3; text = text[3:] {
			v := binary.LittleEndian.Uint16(text[1:])
			who, id, n := fmt.Sprint("c", v%4), fmt.Sprint("q", v>>2%16), int(v>>6%4)
			to, num := fmt.Sprint("w", v%3), uint64(v%40)
			switch text[0] % 12 {
			case 0, 1:
				same, _, err := tab.Begin(now, ChooseCall{Caller: who, Request: id, Attempt: n, NonIdempotent: v&0x200 != 0})
				if at, ok := ran[id]; ok && now < at && err == nil && same == nil && tab.requests[id].nonIdempotent {
					t.Fatalf("%s runs again", id)
				}
			case 2, 3:
				g, err := tab.Offer(now, id, to, v&1 == 0, time.Duration(v)*ms)
				if err == nil && (g.ValidUntil <= now || g.ValidUntil > now+time.Duration(v)*ms) {
					t.Fatalf("offered at %v until %v", now, g.ValidUntil)
				}
			case 4:
				tab.TakeUp(now, who, num)
			case 5:
				tab.Renew(now, who, num)
			case 6:
				g := tab.grants[num]
				if tab.Report(now, who, num, Fate(v%7), v&0x100 != 0) == nil && g != nil && g.req.nonIdempotent && !g.Read && !g.Fate.excludesEffect() {
					ran[g.req.id] = now + testConfig.EffectRetention
				}
			case 7:
				tab.CloseWorker(now, to, "drains")
			case 8:
				tab.OpenWorker(to)
			case 9:
				if n, _, err := tab.Watch(now, who); err == nil {
					streams[who] = n
				}
				tab.Next(who, streams[who])
			case 10:
				if v&1 == 0 {
					tab.Unwatch(now, who, streams[who])
				} else {
					tab.Detach(now, id)
				}
			case 11:
				now += time.Duration(v) * ms / 8
				tab.Advance(now)
			}
			open := 0
			for _, c := range tab.callers {
				open += c.open
			}
			at := 0
			for _, w := range tab.workers {
				for g := w.firstGrant; g != nil; g = g.next {
					if at++; !g.open() {
						t.Fatalf("%+v is not open", g)
					}
				}
			}
			c := tab.Count()
			if open != c.Requests || c.Requests+tab.releasing > 8 || c.Callers > 3 || c.Effects > 6 ||
				at != c.States[Offered]+c.States[TakenUp]+c.States[Revoked] || tab.wheel.Len() > c.Requests+tab.releasing {
				t.Fatalf("%+v, %d open at callers, %d at workers, %d timers", c, open, at, tab.wheel.Len())
			}
		}
	})
}

// Measures the cost of one grant from its call to its report beside n open ones, and the memory of each open grant.
func BenchmarkGrants(b *testing.B) {
	for _, n := range []int{1_000, 10_000, 100_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			heap := func() uint64 {
				var m runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&m)
				return m.HeapAlloc
			}
			names := make([]string, n)
			for i := range names {
				names[i] = fmt.Sprintf("9b1f03aa%08x", i)
			}
			before := heap()
			tab := newTable(b, func(x *Config) { x.MaxOpenRequests, x.MaxEffects = 4*n, 4*n })
			for i, id := range names {
				mustOffer(b, tab, 0, ChooseCall{Caller: "c", Request: id, NonIdempotent: i%2 == 0}, fmt.Sprint("w", i%100), false)
			}
			each := float64(heap()-before) / float64(n)
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				id := fmt.Sprint("x", i)
				g := mustOffer(b, tab, 0, ChooseCall{Caller: "d", Request: id}, "w", false)
				tab.TakeUp(0, "d", g.ID)
				tab.Report(0, "d", g.ID, Begun, true)
				i++
			}
			b.ReportMetric(each, "bytes/open")
			runtime.KeepAlive(names)
		})
	}
}
