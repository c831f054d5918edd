package core

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"rowanyard/decide"
)

// changed are settings in which a message may be repeated, and other limits hold.
func changed() decide.Settings {
	next := settings
	next.Classes = append([]decide.Class(nil), settings.Classes...)
	next.Classes[message].Effect = decide.Safe
	next.MaxRetryAfter = 40 * time.Millisecond
	return next
}

// A message that is at its writer when its class becomes harmless to repeat is not repeated; one that comes after is.
func TestSettingsChangeUnderARequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var c *Core
		s := &scripted{}
		apply := true
		s.try = func(_ context.Context, a Attempt) Result {
			if a.Read {
				return Result{Status: decide.Read}
			}
			if apply {
				apply = false
				if err := c.Apply(changed()); err != nil {
					t.Error(err)
				}
			}
			return Result{Status: decide.Reset}
		}
		c = started(t, s, "w", "w2")
		writes := func() (n int) {
			for _, a := range s.tries {
				if !a.Read {
					n++
				}
			}
			return n
		}
		if a := c.Serve(t.Context(), ask(message, time.Second), s); a.Verdict != Failed || writes() != 1 {
			t.Errorf("%+v after %d writes, it must not run twice", a, writes())
		}
		settled(t, c)
		c.Serve(t.Context(), ask(message, time.Second), s)
		settled(t, c)
		if writes() < 3 {
			t.Errorf("%d writes in all, the second request may be repeated", writes())
		}
		time.Sleep(time.Minute) // timers of the module
	})
}

// What the module refuses changes nothing, also of what the core reads itself.
func TestSettingsThatAreRefusedChangeNothing(t *testing.T) {
	c := started(t, &scripted{}, "w")
	before := c.Settings()
	next := changed()
	next.Kinds = nil
	var restart *decide.RestartError
	if err := c.Apply(next); !errors.As(err, &restart) || c.Settings() != before {
		t.Errorf("%v, %+v", err, c.Settings())
	}
	if err := c.Apply(changed()); err != nil || c.Busy() != 40*time.Millisecond {
		t.Errorf("%v, busy clients come back after %v", err, c.Busy())
	}
}
