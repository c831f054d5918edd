package main

// Requests that end while they are on their way to workers, with real processes.

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"

	"rowanyard/internal/scale/faultproxy"
	"rowanyard/internal/standin"
)

const (
	largeRequest = 100_000 // bytes of a prompt, more than a stalled reader's system holds
	beforeStall  = 600     // bytes that a stalled worker takes of a request
)

// arrivedRequests records the ids of the requests that reached a worker whole.
type arrivedRequests struct {
	mu  sync.Mutex
	ids map[string]bool
}

// record implements standin.Options.OnEvent.
func (a *arrivedRequests) record(what, id, _, _ string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if what == "out" {
		a.ids[id] = true
	}
}

func (a *arrivedRequests) has(id string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.ids[id]
}

// newLargeRequest returns a request with a long prompt.
func newLargeRequest(p *program, id, class string) *http.Request {
	r := newRequest(p, id, class)
	body := `{"messages":[{"role":"user","content":"` + strings.Repeat("x", largeRequest) + `"}]}`
	r.Body, r.ContentLength = io.NopCloser(strings.NewReader(body)), int64(len(body))
	return r
}

// A reader stops in the middle of a request and goes on after the request's end, whether the client's time ended, the client left
// or the router was killed. The request must not have reached it whole then.
func TestRequestDoesNotReachWorkerAfterItsEnd(t *testing.T) {
	for name, x := range map[string]struct {
		class, remainingMs string
		end                func(p *program, leave func())
		status             int // 0: none
	}{
		"client leaves":          {"draft-reply", "4000", func(_ *program, leave func()) { leave() }, 0},
		"message, client leaves": {"send-message", "4000", func(_ *program, leave func()) { leave() }, 0},
		"time ends":              {"draft-reply", "400", nil, http.StatusServiceUnavailable},
		"message, time ends":     {"send-message", "400", nil, http.StatusServiceUnavailable},
		"router killed":          {"draft-reply", "4000", func(p *program, _ func()) { p.cmd.Process.Signal(syscall.SIGKILL) }, 0},
	} {
		t.Run(name, func(t *testing.T) {
			arrived := &arrivedRequests{ids: make(map[string]bool)}
			readers := &proxies{t: t, role: "reader", start: faultproxy.StartSmall}
			_, p := startRouter(t, standin.Options{OnEvent: arrived.record, ListedAddress: readers.wrap}, "")
			reader := readers.all[0]
			reader.SetAfter(faultproxy.Stalled, beforeStall, 0)
			request := newLargeRequest(p, "x", x.class)
			request.Header.Set("X-Remaining-Ms", x.remainingMs)
			ctx, leave := context.WithCancel(t.Context())
			defer leave()
			status := make(chan int, 1)
			go func() {
				res, err := http.DefaultClient.Do(request.WithContext(ctx))
				if err != nil {
					status <- 0
					return
				}
				res.Body.Close()
				status <- res.StatusCode
			}()
			reader.AwaitStall()
			if x.end != nil {
				x.end(p, leave)
			}
			if got := <-status; got != x.status {
				t.Errorf("status %d, want %d: nothing reached a worker whole", got, x.status)
			}
			if name != "router killed" {
				p.waitLog(t, "msg=attempt .*txn=x")
			} else {
				p.cmd.Wait()
			}
			reader.Set(faultproxy.None)
			reader.AwaitStalledEnd()
			if arrived.has("x") {
				t.Error("the request reached its worker whole after its end")
			}
		})
	}
}
