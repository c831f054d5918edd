package main

import (
	"bytes"
	"context"
	"net"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// run executes the command with the given arguments.
func run(t *testing.T, args ...string) (string, error) {
	t.Helper()
	var out bytes.Buffer
	err := execute(t.Context(), args, &out)
	return out.String(), err
}

// Invalid arguments and runs that cannot start give an error of one line.
func TestInvalidInputIsOneLineError(t *testing.T) {
	busy, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer busy.Close()
	for name, c := range map[string]struct{ args, want string }{
		"nothing":           {"", "expected one of"},
		"unknown command":   {"party", "unexpected argument"},
		"zero workers":      {"router --workers 0", "--workers: 0"},
		"no number":         {"router --workers many", "--workers"},
		"too many workers":  {"router --workers 1000000", "--workers: 1000000"},
		"rate":              {"router --rates -1", "--rates"},
		"a port in use":     {"router --workers 4 --rates 0 --listen " + busy.Addr().String(), "address already in use"},
		"no program":        {"router --workers 4 --rates 0 --program no-such-program", "no-such-program"},
		"no descriptors":    {"router --workers 4 --rates 0 --sockets 100000000", "descriptors are needed"},
		"one watcher":       {"discovery --routers 1", "--routers: 1"},
		"scrapes":           {"router --scrape -1s", "--scrape"},
		"no changes":        {"settings --changes 0", "--changes"},
		"no clients' rate":  {"settings --rate -1", "--rate"},
		"zero servers":      {"fleet --servers 0", "0 servers"},
		"unknown event":     {"fleet --event flood", "flood"},
		"zero routers":      {"fleet --routers 0", "0 routers"},
		"more zones wanted": {"fleet --zones 1", "1 zones in 3 regions"},
	} {
		t.Run(name, func(t *testing.T) {
			out, err := run(t, strings.Fields(c.args)...)
			if err == nil || out != "" || strings.Contains(err.Error(), "\n") || !strings.Contains(err.Error(), c.want) {
				t.Errorf("%q, %v; want %q in one line", out, err, c.want)
			}
		})
	}
}

func TestHelp(t *testing.T) {
	out, err := run(t, "router", "--help")
	if err != nil || !strings.Contains(out, "--workers") {
		t.Errorf("%q %v", out, err)
	}
}

// Each subcommand runs with small sizes, on a router built by the test.
func TestShortRuns(t *testing.T) {
	program := filepath.Join(t.TempDir(), "rowanyard")
	if text, err := exec.CommandContext(context.Background(), "go", "build", "-o", program, "rowanyard/cmd/rowanyard").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, text)
	}
	for name, c := range map[string]struct {
		args string
		want []string
	}{
		"router": {"router --program " + program + " --workers 10,20,30 --rates 0,20 --settle 100ms --window 500ms",
			[]string{"probes/s", "CPU % by worker", "3 points"}},
		"scraped router": {"router --program " + program + " --workers 10 --rates 20 --settle 100ms --window 500ms --scrape 50ms",
			[]string{"scrape B/s"}},
		"discovery": {"discovery --program " + program + " --routers 10 --workers 60 --steady 5 --interval 0s --changes 20 --idle 100ms",
			[]string{"no change", "one by one", "burst", "zone lost", "zone back", "all restart", "10 routers, one of them real"}},
		"settings": {"settings --program " + program + " --workers 20 --rate 20 --changes 4 --interval 50ms --settle 100ms",
			[]string{"4 changes of the settings", "in force after", " 0 refused, 0 failed"}},
		"fleet": {"fleet --routers 5 --servers 24 --rate 40 --tokens 10 --tenants 4 --warm-up 2s --measure 2s --after 16s --event zone",
			[]string{"warm-up", "steady", "0 to 5 s after", "later", "event zone, seed 1"}},
	} {
		t.Run(name, func(t *testing.T) {
			out, err := run(t, strings.Fields(c.args)...)
			if err != nil {
				t.Fatal(err)
			}
			for _, want := range c.want {
				if !strings.Contains(out, want) {
					t.Errorf("no %q in\n%s", want, out)
				}
			}
		})
	}
}
