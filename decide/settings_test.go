package decide

import (
	"errors"
	"testing"
	"time"
)

// A request under way keeps the class that it came with, whichever way its effect changes; the next one has the new class.
func TestARequestKeepsItsClassWhenSettingsChange(t *testing.T) {
	for _, effects := range [][2]Effect{{Unsafe, Safe}, {Safe, Unsafe}} {
		set := settings()
		set.Classes[0].Effect = effects[0]
		r, f := start(t, set, fleet())
		for i, effect := range effects {
			id := RequestID(i + 1)
			r.Request(0, ask(id))
			r.Outcome(50*ms, Outcome{ID: id, Server: f.last(), Status: Read, Took: 50 * ms})
			if i == 0 { // the first is at its writer
				next := settings()
				next.Classes[0].Effect = effects[1]
				if err := r.Apply(60*ms, next); err != nil {
					t.Fatal(err)
				}
			}
			sent := len(f.sends)
			r.Outcome(100*ms, Outcome{ID: id, Attempt: 1, Server: f.last(), Status: Reset})
			if again := len(f.sends) > sent; again != (effect == Safe) {
				t.Errorf("effects %v, request %d: sent again %v: %v", effects, id, again, f.did)
			}
		}
	}
}

// What holds for servers changes at once: how long they are cold, and how much memory a kind has.
func TestServersFollowNewSettings(t *testing.T) {
	set := settings()
	young := Server{ID: "r00", Kind: 0, Weight: 1, Since: time.Second}
	r, _ := start(t, set, append(fleet(), young))
	const now = 5 * time.Second
	set.ColdFor = 2 * time.Second
	set.Kinds = []Kind{{Role: Reader, MemoryTokens: 1}, {Role: Writer, MemoryTokens: 3}, {Role: Mixed}}
	if err := r.Apply(now, set); err != nil {
		t.Fatal(err)
	}
	if !r.warm(r.servers["r00"]) || len(r.index.Cold(int(Reader), now)) > 0 {
		t.Error("a server is cold for longer than the settings say now")
	}
	if fresh, _ := start(t, set, append(fleet(), young)); r.answerMemory != fresh.answerMemory {
		t.Errorf("there is room for %v tokens by role, for a router that starts with these settings %v", r.answerMemory, fresh.answerMemory)
	}
	set.ColdFor = time.Minute
	if err := r.Apply(now, set); err != nil {
		t.Fatal(err)
	}
	if r.warm(r.servers["r00"]) || len(r.index.Cold(int(Reader), now)) != 1 {
		t.Error("a server is warm that the settings call cold now")
	}
}

// What makes no sense, or would change what names and clocks stand for, leaves the old settings in force, whole.
func TestSettingsThatCanNotBeTaken(t *testing.T) {
	for name, c := range map[string]struct {
		change  func(*Settings)
		restart bool
	}{
		"a negative limit":    {func(s *Settings) { s.PinLimit = -1 }, false},
		"no routers":          {func(s *Settings) { s.Fronts = 0 }, false},
		"another number":      {func(s *Settings) { s.Front = 1 }, true},
		"another zone":        {func(s *Settings) { s.Zone = 1 }, true},
		"another clock step":  {func(s *Settings) { s.Tick = time.Second }, true},
		"lists are asked for": {func(s *Settings) { s.MustAsk = true }, true},
		"connect timeout":     {func(s *Settings) { s.ConnectTimeout = time.Second }, true},
		"a class more":        {func(s *Settings) { s.Classes = append(s.Classes, s.Classes[0]) }, true},
		"a tenant more":       {func(s *Settings) { s.Tenants = append(s.Tenants, Tenant{}) }, true},
		"a kind less":         {func(s *Settings) { s.Kinds = s.Kinds[:2] }, true},
		"another role":        {func(s *Settings) { s.Kinds[0].Role = Mixed }, true},
	} {
		r, _ := start(t, settings(), fleet())
		next := settings()
		next.MaxAttempts = 1
		c.change(&next)
		err := r.Apply(0, next)
		var restart *RestartError
		if err == nil || errors.As(err, &restart) != c.restart {
			t.Errorf("%s: %v", name, err)
		}
		if r.cfg.MaxAttempts != settings().MaxAttempts {
			t.Errorf("%s: a part of the settings was taken", name)
		}
	}
}

// Many changes under load: every request gets its one final answer, and what was booked is given back.
func TestSettingsChangeUnderLoad(t *testing.T) {
	set := settings()
	r, f := start(t, set, fleet())
	now := time.Duration(0)
	for id := RequestID(1); id <= 400; id++ {
		next := settings()
		next.Fronts = 1 + int(id)%300
		next.Classes[0].Effect = Effect(id % 3)
		next.ColdFor = time.Duration(id) * 100 * ms
		next.Kinds[1].MemoryTokens = int(id) * 1000
		q := ask(id)
		r.Request(now, q)
		if err := r.Apply(now, next); err != nil {
			t.Fatal(err)
		}
		r.Timer(now+10*ms, uint64(id))
		reader := f.last()
		r.Outcome(now+50*ms, Outcome{ID: id, Server: reader, Status: Read, Took: 50 * ms, Kept: q.Prompt})
		r.Started(now+80*ms, Started{ID: id, Attempt: 1, Server: f.last(), Took: 30 * ms})
		r.Outcome(now+500*ms, Outcome{ID: id, Attempt: 1, Server: f.last(), Status: Served, Final: true, Took: 450 * ms})
		now += 600 * ms
	}
	r.End(now)
	if len(r.requests) > 0 || r.requestTokens != 0 || r.writeTokens != [Mixed + 1]int{} || r.streams != [Mixed + 1]int{} {
		t.Errorf("%d requests open, %d tokens, %v held, %v streams", len(r.requests), r.requestTokens, r.writeTokens, r.streams)
	}
	answered := f.count("refuse ") + f.count("fail ")
	if served := 400 - answered; served < 300 {
		t.Errorf("%d of 400 served", served)
	}
}
