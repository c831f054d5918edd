package decide

import (
	"fmt"
	"slices"
	"time"
)

// Replacement of the settings of a running Router. The decisions are in decide.go.

// RestartError reports a change to a setting that is fixed for the lifetime of the process.
type RestartError struct {
	Setting string // name of the setting
}

// Error implements error.
func (e *RestartError) Error() string { return e.Setting + ": a change needs a restart" }

// Apply replaces the settings. If they are invalid or need a restart it returns an error, which is a *RestartError in
// the second case, and the old settings stay in force as a whole. Open requests keep their class and their deadline,
// and learned estimates are kept; all other changes take effect at once.
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
		s.warmAt = cfg.warmAt(s.StartedAt)
	}
	r.rebuildIndex()
	return nil
}

// needsRestart returns a RestartError for the first difference that cannot be applied to a running process. Classes,
// tenants and kinds are known to callers by their indices, and requests in flight depend on the roles of the kinds
// and on the clock step.
func (s Settings) needsRestart(next Settings) error {
	sameRole := func(a, b Kind) bool { return a.Role == b.Role }
	for _, fixed := range []struct {
		name string
		same bool
	}{
		{"the router's number", s.RouterIndex == next.RouterIndex},
		{"zone", s.Zone == next.Zone},
		{"clock step", s.ClockStep == next.ClockStep},
		{"how servers are listed", s.PollServerList == next.PollServerList},
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
