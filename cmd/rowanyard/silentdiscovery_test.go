package main

// Reproduces the incident of docs/incidents/2026-12-05-silent-discovery.md with real processes: new work was sent to a draining
// worker after the grace, as discovery had been silent.

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"rowanyard/internal/scale/registry"
	"rowanyard/internal/standin"
)

const drainGrace = 550 * time.Millisecond // by the settings of the standin package, and 0.05 s for sockets

// arrivals records when attempts arrive at each worker.
type arrivals struct {
	mu       sync.Mutex
	byWorker map[string][]time.Time
}

// record implements standin.Options.OnEvent.
func (a *arrivals) record(what, _, _, host string) {
	if what != "out" {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.byWorker == nil {
		a.byWorker = make(map[string][]time.Time)
	}
	a.byWorker[host] = append(a.byWorker[host], time.Now())
}

// latest returns when the last attempt arrived at a worker.
func (a *arrivals) latest(host string) time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	all := a.byWorker[host]
	if len(all) == 0 {
		return time.Time{}
	}
	return all[len(all)-1]
}

// sendFor sends requests one after the other for the given time.
func sendFor(t *testing.T, p *program, prefix string, span time.Duration) {
	t.Helper()
	for n, began := 0, time.Now(); time.Since(began) < span; n++ {
		res, err := http.DefaultClient.Do(newRequest(p, fmt.Sprint(prefix, n), "draft-reply"))
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, res.Body)
		res.Body.Close()
	}
}

// moveDiscovery has the router follow another agent.
func moveDiscovery(t *testing.T, p *program, fleet *standin.Fleet, to *registry.Endpoint) {
	t.Helper()
	config := bytes.ReplaceAll(fleet.Config("127.0.0.1:0"), []byte(fleet.DiscoveryAddress), []byte(to.Address))
	if err := os.WriteFile(p.configFile, config, 0o600); err != nil {
		t.Fatal(err)
	}
	if err := p.cmd.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
}

// SIGHUP names an agent that is silent. It returns with a drain at a moment at which no call waits for it, if there is one: no
// attempt may arrive at the draining worker later than the grace after that.
func TestNoNewWorkAfterDrainAtTheReturnOfSilentAgent(t *testing.T) {
	const failedCalls, mostCalls = 4, 16
	for _, silence := range []registry.Silence{{}, {AnswersWaiting: true}} {
		t.Run(fmt.Sprintf("%+v", silence), func(t *testing.T) {
			var attempts arrivals
			fleet, p := startRouter(t, standin.Options{Readers: 1, Writers: 2, OnEvent: attempts.record}, "")
			agent, err := fleet.AddDiscovery()
			if err != nil {
				t.Fatal(err)
			}
			agent.BeginSilence(silence)
			var once sync.Once
			unheard := make(chan struct{})
			agent.OnCall(func(calls registry.CallCounts) {
				if calls.Total >= failedCalls && calls.Open == 0 || calls.Total >= mostCalls {
					once.Do(func() { close(unheard) })
				}
			})
			moveDiscovery(t, p, fleet, agent)
			select {
			case <-unheard:
			case <-time.After(time.Minute):
				t.Fatal("the agent was not called again")
			}
			fleet.SetHealth("writer-1", "draining")
			agent.EndSilence()
			told := time.Now()
			sendFor(t, p, "a", 3*drainGrace)
			if late := attempts.latest("writer-1").Sub(told); late > drainGrace {
				t.Errorf("an attempt arrived %v after the agent had the drain", late)
			}
			if attempts.latest("writer-2").Before(told) {
				t.Error("no attempt arrived at the other writer")
			}
		})
	}
}
