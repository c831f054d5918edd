package main

// Reproduces the incidents of docs/incidents/2026-12-02-held-state.md and 2026-12-05-silent-discovery.md with real processes:
// states held at a reader were neither fetched by a writer nor released in time.

import (
	"cmp"
	"fmt"
	"io"
	"net/http"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"rowanyard/internal/scale/clockstep"
	"rowanyard/internal/scale/faultproxy"
	"rowanyard/internal/standin"
)

const (
	pinLimit       = 300 * time.Millisecond // as in the settings of the standin package
	pinSlack       = 300 * time.Millisecond // that docs/terms.md allows for the network
	releaseTimeout = 20 * time.Second
)

// heldStates records how long each state was held.
type heldStates struct {
	mu    sync.Mutex
	since map[string]time.Time
	held  map[string]time.Duration // states that were fetched or released
	freed chan string
}

func newHeldStates() *heldStates {
	return &heldStates{since: make(map[string]time.Time), held: make(map[string]time.Duration), freed: make(chan string, 100)}
}

// record implements standin.Options.OnEvent.
func (h *heldStates) record(what, id, _, _ string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch what {
	case "held":
		h.since[id] = time.Now()
	case "freed":
		h.held[id] = time.Since(h.since[id])
		h.freed <- id
	}
}

// checkHoldTimes waits until the given number of states has been freed and fails for those that were held for too long.
func (h *heldStates) checkHoldTimes(t *testing.T, states int) {
	t.Helper()
	for range states {
		select {
		case <-h.freed:
		case <-time.After(releaseTimeout):
			t.Fatalf("states are still held after %v", releaseTimeout)
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for id, held := range h.held {
		t.Logf("%s: held for %v", id, held)
		if held > pinLimit+pinSlack {
			t.Errorf("%s: held for %v, the limit is %v plus %v", id, held, pinLimit, pinSlack)
		}
	}
}

// proxies are fault-injecting proxies in front of the workers of one role of a deployment, the writers if none is named.
type proxies struct {
	t     *testing.T
	role  string                                          // the start of the workers' names
	start func(address string) (*faultproxy.Proxy, error) // nil: faultproxy.Start
	all   []*faultproxy.Proxy
}

// wrap implements standin.Options.ListedAddress.
func (p *proxies) wrap(host, address string) string {
	if !strings.HasPrefix(host, cmp.Or(p.role, "writer")) {
		return address
	}
	start := p.start
	if start == nil {
		start = faultproxy.Start
	}
	proxy, err := start(address)
	if err != nil {
		p.t.Fatal(err)
	}
	p.t.Cleanup(proxy.Close)
	p.all = append(p.all, proxy)
	return proxy.Address()
}

func (p *proxies) set(fault faultproxy.Fault) {
	for _, proxy := range p.all {
		proxy.Set(fault)
	}
}

// startRequests sends concurrent requests of alternating classes and reads their answers to the end.
func startRequests(t *testing.T, p *program, prefix string, requests int) *sync.WaitGroup {
	t.Helper()
	var all sync.WaitGroup
	for i := range requests {
		class := []string{"draft-reply", "send-message"}[i%2]
		all.Go(func() {
			res, err := http.DefaultClient.Do(newRequest(p, fmt.Sprint(prefix, i), class))
			if err != nil {
				t.Errorf("%s%d: no answer: %v", prefix, i, err)
				return
			}
			defer res.Body.Close()
			_, _ = io.Copy(io.Discard, res.Body)
		})
	}
	return &all
}

// Writers accept a request's bytes and never answer, on used and on new connections: the state held at the reader must be
// released within the limit, for every class.
func TestStateIsReleasedInTimeWhenWritersAreSilent(t *testing.T) {
	for name, fault := range map[string]faultproxy.Fault{"silent": faultproxy.Silent, "never up": faultproxy.Unreachable} {
		t.Run(name, func(t *testing.T) {
			writers, states := &proxies{t: t}, newHeldStates()
			_, p := startRouter(t, standin.Options{Readers: 2, Writers: 3, ListedAddress: writers.wrap, OnEvent: states.record}, "")
			const requests = 8
			startRequests(t, p, "a", requests).Wait() // opens connections to the writers
			writers.set(fault)
			all := startRequests(t, p, "b", requests)
			states.checkHoldTimes(t, 2*requests)
			all.Wait()
		})
	}
}

var buildSteppable = sync.OnceValues(func() (string, error) {
	path := filepath.Join(filepath.Dir(binary), "rowanyard-clockstep")
	return path, clockstep.Build(".", path)
})

// A step of the wall clock in either direction delays no release: durations are measured on the monotonic clock.
func TestClockStepDoesNotDelayRelease(t *testing.T) {
	path, err := buildSteppable()
	if err != nil {
		t.Fatal(err)
	}
	for name, seconds := range map[string]int{"back": -3600, "forward": 3600} {
		t.Run(name, func(t *testing.T) {
			states := newHeldStates()
			fleet, err := standin.Start(standin.Options{OnEvent: states.record})
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(fleet.Close)
			file := filepath.Join(t.TempDir(), "offset")
			cmd := exec.Command("env", clockstep.FileVariable+"="+file, path)
			p := startCommand(t, cmd, fleet.Config("127.0.0.1:0"), "")
			p.http = "http://" + p.waitLog(t, `msg=serving .*front=http listen=(\S+)`)
			const requests = 4
			startRequests(t, p, "a", requests).Wait()
			if err := clockstep.WriteOffset(file, seconds); err != nil {
				t.Fatal(err)
			}
			if err := clockstep.Reload(cmd.Process); err != nil {
				t.Fatal(err)
			}
			for p.clockOffset(t) < time.Hour/2 {
			}
			startRequests(t, p, "b", requests).Wait()
			states.checkHoldTimes(t, 2*requests)
		})
	}
}

// clockOffset returns the offset of the program's clock, from the log line that a bad request causes immediately.
func (p *program) clockOffset(t *testing.T) time.Duration {
	t.Helper()
	res, err := http.DefaultClient.Do(newRequest(p, "a b", "draft-reply"))
	if err != nil {
		t.Fatal(err)
	}
	res.Body.Close()
	at, err := time.Parse(time.RFC3339, p.waitLog(t, `time=(\S+) .*msg="bad request"`))
	if err != nil {
		t.Fatal(err)
	}
	return time.Since(at).Abs()
}

// A writer replies on the connection that a write is to use, takes nothing of the write that follows and goes on answering
// probes: that does not show that the write has arrived. The state must be released within the limit, for every class.
func TestStateIsReleasedInTimeWhenWriterTakesNoWrite(t *testing.T) {
	states := newHeldStates()
	_, p := startRouter(t, standin.Options{Readers: 2, Writers: 3, ReadDuration: 30 * time.Millisecond, OnEvent: states.record,
		FaultFor: func(stage, _ string, _ int) standin.Fault {
			if stage == "write" {
				return standin.Hang
			}
			return standin.None
		}}, "")
	const requests = 8
	all := startRequests(t, p, "a", requests)
	states.checkHoldTimes(t, requests)
	all.Wait()
}

// A read's connection breaks as the read is done, and the next read does not arrive at a reader that answers probes. The state
// that the first one left must be released within the limit.
func TestStateOfBrokenReadIsReleasedInTimeWhenNextReadIsNotTaken(t *testing.T) {
	states := newHeldStates()
	_, p := startRouter(t, standin.Options{Readers: 3, Writers: 2, ReadDuration: 30 * time.Millisecond, OnEvent: states.record,
		FaultFor: func(stage, _ string, n int) standin.Fault {
			switch {
			case stage == "write":
				return standin.None
			case n == 0:
				return standin.ResetBeforeFirstToken
			}
			return standin.Hang
		}}, "")
	const requests = 8
	all := startRequests(t, p, "a", requests)
	states.checkHoldTimes(t, requests)
	all.Wait()
}
