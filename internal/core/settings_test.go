package core

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"rowanyard/decide"
)

// changedSettings returns settings with which requests of unsafeClass may be repeated and MaxRetryAfter is set.
func changedSettings() decide.Settings {
	next := settings
	next.Classes = append([]decide.Class(nil), settings.Classes...)
	next.Classes[unsafeClass].Effect = decide.Safe
	next.MaxRetryAfter = 40 * time.Millisecond
	return next
}

// A request whose write is in flight when its class changes from unsafe to safe must still not be repeated; a later request
// of the class may be.
func TestSettingsChangeDuringARequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var c *Core
		s := &scriptedTransport{}
		apply := true
		s.try = func(_ context.Context, a Attempt) Result {
			if a.Read {
				return Result{Status: decide.Read}
			}
			if apply {
				apply = false
				if err := c.Apply(changedSettings()); err != nil {
					t.Error(err)
				}
			}
			return Result{Status: decide.Reset}
		}
		c = newTestCore(t, s, "w", "w2")
		writes := func() (n int) {
			for _, a := range s.tries {
				if !a.Read {
					n++
				}
			}
			return n
		}
		if a := c.Serve(t.Context(), newRequest(unsafeClass, time.Second), s); a.Verdict != Failed || writes() != 1 {
			t.Errorf("got answer %+v after %d writes, the request must not run twice", a, writes())
		}
		waitSettled(t, c)
		c.Serve(t.Context(), newRequest(unsafeClass, time.Second), s)
		waitSettled(t, c)
		if writes() < 3 {
			t.Errorf("%d writes in all, the second request should have been repeated", writes())
		}
		time.Sleep(time.Minute) // until the timers of the module have fired
	})
}

// Settings that the module rejects change nothing, including the settings that the core itself reads.
func TestRejectedSettingsChangeNothing(t *testing.T) {
	c := newTestCore(t, &scriptedTransport{}, "w")
	before := c.Settings()
	next := changedSettings()
	next.Kinds = nil
	var restart *decide.RestartError
	if err := c.Apply(next); !errors.As(err, &restart) || c.Settings() != before {
		t.Errorf("got error %v, want a RestartError; settings are now %+v", err, c.Settings())
	}
	if err := c.Apply(changedSettings()); err != nil || c.BusyRetryAfter() != 40*time.Millisecond {
		t.Errorf("got error %v, busy clients retry after %v", err, c.BusyRetryAfter())
	}
}
