package main

// The incident of docs/incidents/2026-12-02-held-state.md, played with real processes: states that were held at a reader were
// neither taken nor let go in time.

import (
	"fmt"
	"io"
	"net/http"
	"os/exec"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"rowanyard/internal/scale/clockstep"
	"rowanyard/internal/scale/faultproxy"
	"rowanyard/internal/standin"
)

const (
	pinLimit  = 300 * time.Millisecond // of the stand-in's settings
	pinSlack  = 300 * time.Millisecond // that the terms add on the network
	eventWait = 20 * time.Second
)

// heldStates follows how long each state was held.
type heldStates struct {
	mu    sync.Mutex
	since map[string]time.Time
	held  map[string]time.Duration // of those that were taken or let go
	freed chan string
}

func newHeldStates() *heldStates {
	return &heldStates{since: make(map[string]time.Time), held: make(map[string]time.Duration), freed: make(chan string, 100)}
}

// seen is a standin.Options.Seen.
func (h *heldStates) seen(what, id, _, _ string) {
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

// check waits until so many states are free and reports those that were held for too long.
func (h *heldStates) check(t *testing.T, states int) {
	t.Helper()
	for range states {
		select {
		case <-h.freed:
		case <-time.After(eventWait):
			t.Fatalf("states are held for over %v", eventWait)
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for id, held := range h.held {
		t.Logf("%s: held for %v", id, held)
		if held > pinLimit+pinSlack {
			t.Errorf("%s: held for %v, the limit is %v and %v of slack", id, held, pinLimit, pinSlack)
		}
	}
}

// proxies are in front of a deployment's writers.
type proxies struct {
	t   *testing.T
	all []*faultproxy.Proxy
}

// via is a standin.Options.Via.
func (p *proxies) via(host, address string) string {
	if host[0] != 'w' {
		return address
	}
	proxy, err := faultproxy.Start(address)
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

// do plays requests side by side, classes in turn, to the end of their answers.
func do(t *testing.T, p *program, prefix string, requests int) *sync.WaitGroup {
	t.Helper()
	var all sync.WaitGroup
	for i := range requests {
		class := []string{"draft-reply", "send-message"}[i%2]
		all.Go(func() {
			res, err := http.DefaultClient.Do(request(p, fmt.Sprint(prefix, i), class))
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

// Writers take a request's bytes and say nothing, on connections that served before and on new ones: the state that waits at
// the reader must be let go within the limit, whatever the class.
func TestAStateBeforeSilentWritersIsLetGoInTime(t *testing.T) {
	for name, fault := range map[string]faultproxy.Fault{"silent": faultproxy.Silent, "never up": faultproxy.NeverUp} {
		t.Run(name, func(t *testing.T) {
			writers, states := &proxies{t: t}, newHeldStates()
			_, p := up(t, standin.Options{Readers: 2, Writers: 3, Via: writers.via, Seen: states.seen}, "")
			const requests = 8
			do(t, p, "a", requests).Wait() // connections to writers are open then
			writers.set(fault)
			all := do(t, p, "b", requests)
			states.check(t, 2*requests)
			all.Wait()
		})
	}
}

var steppable = sync.OnceValues(func() (string, error) {
	path := filepath.Join(filepath.Dir(binary), "rowanyard-clockstep")
	return path, clockstep.Build(".", path)
})

// A step of the wall clock, either way, holds nothing up: spans are measured on the monotonic clock.
func TestAStepOfTheWallClockHoldsNoState(t *testing.T) {
	path, err := steppable()
	if err != nil {
		t.Fatal(err)
	}
	for name, seconds := range map[string]int{"back": -3600, "forward": 3600} {
		t.Run(name, func(t *testing.T) {
			states := newHeldStates()
			fleet, err := standin.Start(standin.Options{Seen: states.seen})
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(fleet.Close)
			file := filepath.Join(t.TempDir(), "offset")
			cmd := exec.Command("env", clockstep.Variable+"="+file, path)
			p := beginAs(t, cmd, fleet.Config("127.0.0.1:0"), "")
			p.http = "http://" + p.line(t, `msg=serving .*front=http listen=(\S+)`)
			const requests = 4
			do(t, p, "a", requests).Wait()
			if err := clockstep.Write(file, seconds); err != nil {
				t.Fatal(err)
			}
			if err := clockstep.Tell(cmd.Process); err != nil {
				t.Fatal(err)
			}
			for p.stepped(t) < time.Hour/2 {
			}
			do(t, p, "b", requests).Wait()
			states.check(t, 2*requests)
		})
	}
}

// stepped is how far the program's clock is off, as its log shows: a bad request is logged at once.
func (p *program) stepped(t *testing.T) time.Duration {
	t.Helper()
	res, err := http.DefaultClient.Do(request(p, "a b", "draft-reply"))
	if err != nil {
		t.Fatal(err)
	}
	res.Body.Close()
	at, err := time.Parse(time.RFC3339, p.line(t, `time=(\S+) .*msg="bad request"`))
	if err != nil {
		t.Fatal(err)
	}
	return time.Since(at).Abs()
}
