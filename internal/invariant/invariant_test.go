package invariant

import (
	"log/slog"
	"strings"
	"testing"
)

func TestGuardCountsByStep(t *testing.T) {
	var text strings.Builder
	g := &Guard{Log: slog.New(slog.NewTextHandler(&text, nil))}
	g.Stopped(Sending, "client gone", "id", 7)
	g.Violated(Closing, "state held", "held_ms", 900)
	g.Violated(Closing, "unanswered")
	if stopped, violated := g.Totals(); stopped != 1 || violated != 2 {
		t.Errorf("totals: %d stopped, %d violated, want 1 and 2", stopped, violated)
	}
	if c := g.Counts()[Closing]; c.Violated != 2 || c.Stopped != 0 {
		t.Errorf("closing: got %+v, want 2 violated", c)
	}
	for _, want := range []string{`msg=stopped step=sending reason="client gone" id=7`, `level=ERROR msg="invariant violated" step=closing`} {
		if !strings.Contains(text.String(), want) {
			t.Errorf("no line with %s in %s", want, text.String())
		}
	}
	(&Guard{}).Violated(Starting, "no logger") // must not panic
}
