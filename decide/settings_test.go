package decide

import (
	"errors"
	"testing"
	"time"
)

// An open request keeps the class that it arrived with, whichever way its effect changes; the next one gets the new
// class.
func TestOpenRequestKeepsClassWhenSettingsChange(t *testing.T) {
	for _, effects := range [][2]Effect{{Unsafe, Safe}, {Safe, Unsafe}} {
		cfg := testSettings()
		cfg.Classes[0].Effect = effects[0]
		r, rec := newTestRouter(t, cfg, testServers())
		for i, effect := range effects {
			id := RequestID(i + 1)
			r.Request(0, testRequest(id))
			r.Outcome(50*ms, Outcome{ID: id, Server: rec.lastServer(), Status: Read, Elapsed: 50 * ms})
			if i == 0 { // the write of the first request is in flight
				next := testSettings()
				next.Classes[0].Effect = effects[1]
				if err := r.Apply(60*ms, next); err != nil {
					t.Fatal(err)
				}
			}
			sent := len(rec.sends)
			r.Outcome(100*ms, Outcome{ID: id, Attempt: 1, Server: rec.lastServer(), Status: Reset})
			if repeated := len(rec.sends) > sent; repeated != (effect == Safe) {
				t.Errorf("effects %v, request %d: repeated = %v: %v", effects, id, repeated, rec.calls)
			}
		}
	}
}

// Apply updates what is derived for servers at once: how long they are cold and how much memory a kind has.
func TestApplyUpdatesServers(t *testing.T) {
	cfg := testSettings()
	young := Server{ID: "r00", Kind: 0, Weight: 1, StartedAt: time.Second}
	r, _ := newTestRouter(t, cfg, append(testServers(), young))
	const now = 5 * time.Second
	cfg.WarmUpTime = 2 * time.Second
	cfg.Kinds = []Kind{{Role: Reader, MemoryTokens: 1}, {Role: Writer, MemoryTokens: 3}, {Role: Mixed}}
	if err := r.Apply(now, cfg); err != nil {
		t.Fatal(err)
	}
	if !r.warm(r.servers["r00"]) || len(r.index.Cold(int(Reader), now)) > 0 {
		t.Error("server is still cold after the warm-up time was reduced")
	}
	if fresh, _ := newTestRouter(t, cfg, append(testServers(), young)); r.answerMemory != fresh.answerMemory {
		t.Errorf("memory for answers by role is %v tokens, %v in a router that starts with these settings", r.answerMemory, fresh.answerMemory)
	}
	cfg.WarmUpTime = time.Minute
	if err := r.Apply(now, cfg); err != nil {
		t.Fatal(err)
	}
	if r.warm(r.servers["r00"]) || len(r.index.Cold(int(Reader), now)) != 1 {
		t.Error("server is still warm after the warm-up time was increased")
	}
}

// Invalid settings, and changes to settings that are fixed for the lifetime of the process, leave all old settings in
// force.
func TestApplyRejectsInvalidAndFixedSettings(t *testing.T) {
	for name, c := range map[string]struct {
		change  func(*Settings)
		restart bool
	}{
		"negative limit":         {func(s *Settings) { s.PinLimit = -1 }, false},
		"no routers":             {func(s *Settings) { s.RouterCount = 0 }, false},
		"router index":           {func(s *Settings) { s.RouterIndex = 1 }, true},
		"zone":                   {func(s *Settings) { s.Zone = 1 }, true},
		"clock step":             {func(s *Settings) { s.ClockStep = time.Second }, true},
		"server list on request": {func(s *Settings) { s.PollServerList = true }, true},
		"connect timeout":        {func(s *Settings) { s.ConnectTimeout = time.Second }, true},
		"one more class":         {func(s *Settings) { s.Classes = append(s.Classes, s.Classes[0]) }, true},
		"one more tenant":        {func(s *Settings) { s.Tenants = append(s.Tenants, Tenant{}) }, true},
		"one kind fewer":         {func(s *Settings) { s.Kinds = s.Kinds[:2] }, true},
		"role of a kind":         {func(s *Settings) { s.Kinds[0].Role = Mixed }, true},
	} {
		r, _ := newTestRouter(t, testSettings(), testServers())
		next := testSettings()
		next.MaxAttempts = 1
		c.change(&next)
		err := r.Apply(0, next)
		var restart *RestartError
		if err == nil || errors.As(err, &restart) != c.restart {
			t.Errorf("%s: %v", name, err)
		}
		if r.cfg.MaxAttempts != testSettings().MaxAttempts {
			t.Errorf("%s: part of the rejected settings took effect", name)
		}
	}
}

// After many changes under load every request has had exactly one final answer and all counts are back to zero.
func TestSettingsChangeUnderLoad(t *testing.T) {
	cfg := testSettings()
	r, rec := newTestRouter(t, cfg, testServers())
	now := time.Duration(0)
	for id := RequestID(1); id <= 400; id++ {
		next := testSettings()
		next.RouterCount = 1 + int(id)%300
		next.Classes[0].Effect = Effect(id % 3)
		next.WarmUpTime = time.Duration(id) * 100 * ms
		next.Kinds[1].MemoryTokens = int(id) * 1000
		q := testRequest(id)
		r.Request(now, q)
		if err := r.Apply(now, next); err != nil {
			t.Fatal(err)
		}
		r.Timer(now+10*ms, uint64(id))
		reader := rec.lastServer()
		r.Outcome(now+50*ms, Outcome{ID: id, Server: reader, Status: Read, Elapsed: 50 * ms, CachedTokens: q.PromptLength})
		r.Started(now+80*ms, Started{ID: id, Attempt: 1, Server: rec.lastServer(), Elapsed: 30 * ms})
		r.Outcome(now+500*ms, Outcome{ID: id, Attempt: 1, Server: rec.lastServer(), Status: Served, Final: true, Elapsed: 450 * ms})
		now += 600 * ms
	}
	r.Shutdown(now)
	if len(r.requests) > 0 || r.requestTokens != 0 || r.writeTokens != [Mixed + 1]int{} || r.writesInFlight != [Mixed + 1]int{} {
		t.Errorf("%d open requests, %d request tokens, %v write tokens, %v writes in flight left", len(r.requests), r.requestTokens, r.writeTokens, r.writesInFlight)
	}
	answered := rec.countCalls("refuse ") + rec.countCalls("fail ")
	if served := 400 - answered; served < 300 {
		t.Errorf("%d of 400 served", served)
	}
}
