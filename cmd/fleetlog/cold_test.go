package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// The sends of all routers to a worker that has started are counted together, in the window with most of them, and only
// those since its start. Sends of a router that hasn't learned of the start lower Told.
func TestColdWindowsOfAllRouters(t *testing.T) {
	dir := t.TempDir()
	at := func(s float64) string {
		return fmt.Sprintf("%.3f time=%s", s, time.Date(2026, 12, 1, 0, 0, 0, int(s*1e9), time.UTC).Format(time.RFC3339Nano))
	}
	send := func(s float64, router, worker string, up int) string {
		return fmt.Sprintf("%s level=DEBUG msg=send router=%s id=1 n=0 worker=%s kind=1 read=false up_ms=%d\n", at(s), router, worker, up)
	}
	var one, two strings.Builder
	for i := range 12 { // 10 a second: the load of a warm worker
		one.WriteString(send(0.1*float64(i), "n1", "s-warm", 0))
	}
	one.WriteString(send(1.5, "n1", "s-cold", 0)) // before its start at 2 s
	for i := range 6 {
		one.WriteString(send(3+0.1*float64(i), "n1", "s-cold", 1000+100*i))
		two.WriteString(send(3+0.1*float64(i), "n2", "s-cold", 0)) // no up_ms: the router hasn't learned of the start
	}
	one.WriteString(send(9, "n1", "s-cold", 7000))
	os.WriteFile(filepath.Join(dir, "n1.log"), []byte(one.String()), 0o600)
	os.WriteFile(filepath.Join(dir, "n2.log"), []byte(two.String()), 0o600)
	f := newFleetStats(time.Second)
	f.cold.budget = budget{Window: 2 * time.Second, Multiple: 2.5, From: 0.4, Ramp: 10 * time.Second}
	if err := f.readAll([]string{dir}); err != nil {
		t.Fatal(err)
	}
	windows := f.cold.windows(5)
	if len(windows) != 1 {
		t.Fatalf("%d workers with a start, want 1: %+v", len(windows), windows)
	}
	r := windows[0]
	if r.Worker != "s-cold" || r.Most != 12 || r.All != 13 || r.Routers != 2 || r.Told < 49 || r.Told > 55 || r.Allowed != 12 {
		t.Errorf("%+v", r)
	}
	var out strings.Builder
	if err := f.print(&out, 5); err != nil || !strings.Contains(out.String(), "12 sends   1.00 of 12.0") {
		t.Errorf("%v in\n%s", err, out.String())
	}
}
