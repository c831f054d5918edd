package virtualclock

import (
	"slices"
	"testing"
	"time"
)

// Events run in order of time, and those of the same time in the order in which they were added. This includes events
// that are added by other events.
func TestEventOrder(t *testing.T) {
	var c Clock
	var got []string
	note := func(name string) func() { return func() { got = append(got, name) } }
	c.After(2*time.Second, note("c"))
	c.After(time.Second, func() {
		note("a")()
		c.After(time.Second, note("d"))
		c.After(-time.Second, note("b"))
	})
	c.After(3*time.Second, note("late"))
	c.RunUntil(2 * time.Second)
	if want := []string{"a", "b", "c", "d"}; !slices.Equal(got, want) || c.Now != 2*time.Second {
		t.Errorf("%v at %v, want %v", got, c.Now, want)
	}
	c.RunUntil(time.Minute)
	if got[len(got)-1] != "late" || c.Now != 3*time.Second {
		t.Errorf("%v at %v", got, c.Now)
	}
}
