package httpfront

// Tests of how soon changes from discovery are applied. A scripted discovery, reached over pipes on a virtual clock,
// fails in every way before it becomes reachable. These tests use neither the network nor the real clock.

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"rowanyard/decide"
	"rowanyard/internal/core"
)

// fakeDiscovery is discovery as seen by a router: it goes through its failure phases and is reachable from then on.
type fakeDiscovery struct {
	t           *testing.T
	rng         *rand.Rand
	started     time.Time
	phases      []failurePhase // in order
	reachableAt time.Duration  // since started, reachable and correct from then on
	changedAt   time.Duration  // since started, has the change from then on

	other atomic.Pointer[fakeDiscovery] // reached at the address other:1

	mu    sync.Mutex
	calls []time.Duration
}

// callTimes returns the times of the calls, since started.
func (a *fakeDiscovery) callTimes() []time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Clone(a.calls)
}

type failurePhase struct {
	mode  string
	until time.Duration
}

// failureModes are the ways in which a call can fail. A call keeps the mode of the phase in which it began.
var failureModes = []string{"refuses connections", "connections never come up", "sends nothing", "sends only a head",
	"503", "503 with Retry-After 0", "503 in a second", "503 in 30 s", "503 in an hour", "503 with a date", "429 after 2 s", "truncates a list",
	"resets", "stalls in a list", "sends the list and closes", "sends the list and stalls", "garbage", "null", "an older version",
	"sends a list byte by byte"}

func newFakeDiscovery(t *testing.T, seed uint64) *fakeDiscovery {
	a := &fakeDiscovery{t: t, rng: rand.New(rand.NewPCG(seed, 6)), started: time.Now()}
	for range 1 + a.rng.IntN(6) {
		a.reachableAt += time.Duration(a.rng.Int64N(int64(8 * time.Second)))
		a.phases = append(a.phases, failurePhase{failureModes[a.rng.IntN(len(failureModes))], a.reachableAt})
	}
	a.changedAt = time.Duration(a.rng.Int64N(int64(a.reachableAt + 10*time.Second)))
	return a
}

// mode returns how a call that begins now fails, "" if it does not.
func (a *fakeDiscovery) mode() string {
	now := time.Since(a.started)
	for _, f := range a.phases {
		if now < f.until {
			return f.mode
		}
	}
	return ""
}

// dial takes the place of the network.
func (a *fakeDiscovery) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	if b := a.other.Load(); b != nil && addr == "other:1" {
		return b.dial(ctx, network, addr)
	}
	a.mu.Lock()
	a.calls = append(a.calls, time.Since(a.started))
	a.mu.Unlock()
	mode := a.mode()
	switch mode {
	case "refuses connections":
		return nil, syscall.ECONNREFUSED
	case "connections never come up":
		ctx, stop := context.WithTimeout(ctx, discoveryDialTimeout)
		defer stop()
		<-ctx.Done()
		return nil, ctx.Err()
	case "resets":
		return nil, fmt.Errorf("read: %w", syscall.ECONNRESET)
	}
	ours, theirs := net.Pipe()
	go a.serve(ours, mode)
	return theirs, nil
}

func (a *fakeDiscovery) list(whole bool) string {
	if time.Since(a.started) >= a.changedAt {
		return listJSON(12, whole, "a=draining")
	}
	return listJSON(7, whole, "a")
}

func (a *fakeDiscovery) serve(c net.Conn, mode string) {
	defer c.Close()
	req, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	closed := make(chan struct{})
	go func() { io.Copy(io.Discard, c); close(closed) }()
	const head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	chunk := func(text string) { fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text) }
	status := func(line string) { fmt.Fprintf(c, "HTTP/1.1 %s\r\nContent-Length: 0\r\n\r\n", line) }
	watch := req.URL.Query().Has("watch")
	if delay, ok := strings.CutPrefix(mode, "503 in "); ok {
		status("503 X\r\nRetry-After: " + map[string]string{"a second": "1", "30 s": "30", "an hour": "3600"}[delay])
		return
	}
	switch mode {
	case "sends nothing":
		<-closed
		return
	case "sends only a head":
		io.WriteString(c, head)
		<-closed
		return
	case "503":
		status("503 X")
		return
	case "503 with Retry-After 0":
		status("503 X\r\nRetry-After: 0")
		return
	case "503 with a date":
		status("503 X\r\nRetry-After: Wed, 21 Oct 2099 07:28:00 GMT")
		return
	case "429 after 2 s":
		select {
		case <-closed:
		case <-time.After(2 * time.Second):
			status("429 X\r\nRetry-After: 5")
		}
		return
	case "truncates a list":
		io.WriteString(c, head)
		chunk(a.list(true)[:40])
		return
	case "stalls in a list":
		io.WriteString(c, head)
		chunk(a.list(true)[:40])
		<-closed
		return
	case "garbage":
		io.WriteString(c, head)
		chunk("\x00{{{\n")
		<-closed
		return
	case "null":
		io.WriteString(c, head)
		chunk("null\n")
		<-closed
		return
	case "an older version":
		io.WriteString(c, head)
		chunk(listJSON(3, false, "a=draining"))
		<-closed
		return
	case "sends a list byte by byte":
		io.WriteString(c, head)
		for _, b := range []byte(a.list(true)) {
			select {
			case <-closed:
				return
			case <-time.After(500 * time.Millisecond):
				chunk(string(b))
			}
		}
		<-closed
		return
	}
	io.WriteString(c, head)
	announced := time.Since(a.started) >= a.changedAt
	if !watch || req.URL.Query().Get("after") != "12" && announced || req.URL.Query().Get("after") == "-1" {
		chunk(a.list(true))
	}
	if !watch {
		io.WriteString(c, "0\r\n\r\n")
		return
	}
	for mode != "sends the list and closes" { // a line every 2 s, or as soon as there is a change
		next := time.Since(a.started) + 2*time.Second
		if mode == "sends the list and stalls" {
			<-closed
			return
		}
		if !announced && next > a.changedAt {
			next, announced = max(a.changedAt, time.Since(a.started)), true
		}
		select {
		case <-closed:
			return
		case <-time.After(next - time.Since(a.started)):
		}
		if time.Since(a.started) == a.changedAt {
			chunk(a.list(false))
		} else {
			chunk("\n")
		}
	}
}

// closeAndWait closes d and waits for a dial in progress, which the transport always completes.
func closeAndWait(d *Discovery) {
	d.Close()
	time.Sleep(2 * discoveryDialTimeout)
}

// follow returns a Discovery that follows a, for one of the given number of routers, and its core.
func (a *fakeDiscovery) follow(routers int) (*Discovery, *core.Core) {
	return a.followLogged(routers, discardLogger)
}

// followLogged is follow with a log.
func (a *fakeDiscovery) followLogged(routers int, log *slog.Logger) (*Discovery, *core.Core) {
	c, err := core.New(decide.Settings{RouterCount: routers, Kinds: []decide.Kind{{Role: decide.Reader}}}, 1, nil, discardLogger)
	if err != nil {
		a.t.Fatal(err)
	}
	c.SetWorkers(true, []core.Worker{{Addr: "127.0.0.1:1", Server: decide.Server{ID: "a"}}})
	d := NewDiscovery(Names{Kinds: []string{"m"}, Zones: []string{"a"}}, c, 0, log)
	d.dial = a.dial
	d.Follow("agent:1", 7)
	return d, c
}

// Whatever became of earlier calls, a change is applied within 6 s of the moment from which discovery has it and can be
// reached, with any number of routers. This includes the time for the call and its answer.
func TestChangeIsAppliedWithinSixSeconds(t *testing.T) {
	worst, by := time.Duration(0), ""
	for seed := range uint64(600) {
		synctest.Test(t, func(t *testing.T) {
			a := newFakeDiscovery(t, seed)
			routers := []int{1, 3, 20, 350, 1024}[a.rng.IntN(5)]
			d, c := a.follow(routers)
			defer closeAndWait(d)
			due := max(a.changedAt, a.reachableAt)
			time.Sleep(due)
			took := time.Duration(0)
			for ; took <= changeDeadline; took += 10 * time.Millisecond {
				if w, _ := c.Worker("a"); w.State == decide.Draining {
					break
				}
				time.Sleep(10 * time.Millisecond)
			}
			if took > changeDeadline {
				t.Errorf("seed %d, %d routers: not applied %v after %v; %v", seed, routers, took, due, a.phases)
			}
			if took > worst {
				worst, by = took, fmt.Sprint(seed, a.phases)
			}
		})
	}
	t.Logf("%v at most: %s", worst, by)
	if worst > changeDeadline-300*time.Millisecond || worst < time.Second {
		t.Errorf("%v at most (%s): no margin for a busy machine, or the script makes no call fail", worst, by)
	}
}

// A change of address by SIGHUP takes effect within 4 s, even if the first call to the new address fails.
func TestMoveIsAppliedWithinFourSeconds(t *testing.T) {
	for _, mode := range failureModes {
		synctest.Test(t, func(t *testing.T) {
			a := &fakeDiscovery{t: t, started: time.Now(), changedAt: time.Hour}
			d, c := a.follow(350)
			defer closeAndWait(d)
			time.Sleep(10 * time.Second)
			other := &fakeDiscovery{t: t, started: time.Now(), reachableAt: time.Millisecond, phases: []failurePhase{{mode, time.Millisecond}}}
			a.other.Store(other)
			d.Follow("other:1", 0)
			time.Sleep(moveDeadline - 300*time.Millisecond)
			if w, _ := c.Worker("a"); w.State != decide.Draining {
				t.Errorf("%s: the new address's list was not applied", mode)
			}
		})
	}
}

// Hundreds of routers that are refused or cut off at once retry at different times. The calls in any tenth of a second
// stay within three times those of an even spread over half of the longest wait.
func TestCallsOfManyRoutersAreSpread(t *testing.T) {
	for _, mode := range []string{"503", "503 in an hour", "503 in a second", "503 with Retry-After 0", "resets"} {
		synctest.Test(t, func(t *testing.T) {
			const routers, long = 350, 60 * time.Second
			var all []*fakeDiscovery
			var followers []*Discovery
			for range routers {
				a := &fakeDiscovery{t: t, started: time.Now(), changedAt: time.Hour, reachableAt: long, phases: []failurePhase{{mode, long}}}
				d, _ := a.follow(routers)
				all, followers = append(all, a), append(followers, d)
			}
			time.Sleep(long)
			for _, d := range followers {
				d.Close()
			}
			closeAndWait(followers[0])
			var calls []time.Duration
			for _, a := range all {
				calls = append(calls, a.callTimes()...)
			}
			slices.Sort(calls)
			per := make([]int, long/(100*time.Millisecond)+1)
			for _, at := range calls[routers:] { // each router's first call is made at once
				per[at/(100*time.Millisecond)]++
			}
			even := float64(routers) * 0.1 / ((changeDeadline - answerAllowance) / 2).Seconds()
			if most := slices.Max(per); float64(most) > 3*even || len(calls) > routers*int(long/(2*time.Second)) {
				t.Errorf("%s: %d calls in a tenth of a second, %.0f expected; %d in all", mode, most, even, len(calls))
			}
		})
	}
}

// A watch without any data ends, and the log says why.
func TestSilentWatchIsAborted(t *testing.T) {
	log := &logRecorder{applied: make(chan struct{})}
	synctest.Test(t, func(t *testing.T) {
		a := &fakeDiscovery{t: t, started: time.Now(), reachableAt: time.Hour, changedAt: time.Hour, phases: []failurePhase{{"sends nothing", time.Hour}}}
		d, _ := a.followLogged(3, slog.New(slog.NewTextHandler(log, nil)))
		defer closeAndWait(d)
		time.Sleep(3 * time.Second)
	})
	if text := log.String(); !strings.Contains(text, `msg="watch ended"`) || !strings.Contains(text, "n=1 ") || !strings.Contains(text, `err="discovery is silent"`) {
		t.Errorf("no silent watch was ended: %s", text)
	}
}
