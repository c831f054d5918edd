package decide

import (
	"fmt"
	"slices"
	"time"
)

// Settings that are replaced while requests are under way. Nothing is decided here: see decide.go.

// RestartError says that settings differ from those in force in something that holds for as long as the process runs.
type RestartError struct {
	What string // the setting
}

// Error implements error.
func (e *RestartError) Error() string { return e.What + ": a change needs a restart" }

// Apply puts other settings in force, unless they make no sense or need a restart: then the old ones hold, all of them.
// Requests under way keep the class that they came with, their deadline, and what was learned stays; what holds for servers
// and for all requests together changes at once.
func (r *Router) Apply(now time.Duration, cfg Settings) error {
	if err := check(cfg); err != nil {
		return fmt.Errorf("decide: %w", err)
	}
	if err := r.cfg.needsRestart(cfg); err != nil {
		return err
	}
	r.now, r.cfg = now, cfg
	r.maxValue = highestValue(cfg.Classes)
	for _, s := range r.servers {
		s.warmAt = cfg.warmAt(s.Since)
	}
	r.rebuildIndex()
	return nil
}

// needsRestart names the first difference that can't be taken while the process runs: the numbers of classes, tenants and
// kinds stand for names that fronts have given out, the role of a kind and the clock's step for what is under way.
func (s Settings) needsRestart(next Settings) error {
	sameRole := func(a, b Kind) bool { return a.Role == b.Role }
	for _, fixed := range []struct {
		name string
		same bool
	}{
		{"the router's number", s.Front == next.Front},
		{"zone", s.Zone == next.Zone},
		{"clock step", s.Tick == next.Tick},
		{"how servers are listed", s.MustAsk == next.MustAsk},
		{"connect timeout", s.ConnectTimeout == next.ConnectTimeout},
		{"number of classes", len(s.Classes) == len(next.Classes)},
		{"number of tenants", len(s.Tenants) == len(next.Tenants)},
		{"kinds and their roles", slices.EqualFunc(s.Kinds, next.Kinds, sameRole)},
	} {
		if !fixed.same {
			return &RestartError{fixed.name}
		}
	}
	return nil
}
