package httpfront

// When news of discovery is had, on a virtual clock: a scripted agent that is reached over pipes fails in every way before
// it can be reached again. It must never use the network or the real clock.

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
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

// agent is discovery as a router meets it: it fails in one way after the other until it can be reached for good.
type agent struct {
	t       *testing.T
	rng     *rand.Rand
	begun   time.Time
	fails   []failing     // in order, each until a time
	up      time.Duration // it can be reached and answers from then on
	changed time.Duration // it has the change from then on

	other atomic.Pointer[agent] // at the address other:1

	mu    sync.Mutex
	calls []time.Duration
}

// called is when it was called.
func (a *agent) called() []time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Clone(a.calls)
}

type failing struct {
	way   string
	until time.Duration
}

// ways are how calls can fail. A call that fails once stays so, whatever the agent does later.
var ways = []string{"refuses connections", "connections never come up", "says nothing", "gives a head and no more",
	"503", "503 at once again", "503 in a second", "503 in 30 s", "503 in an hour", "503 some time", "429 after 2 s", "cut in a list",
	"resets", "begins a list and stops", "tells the list and goes", "tells the list and falls silent", "garbage", "null", "an older version",
	"a list by drops"}

func newAgent(t *testing.T, seed uint64) *agent {
	a := &agent{t: t, rng: rand.New(rand.NewPCG(seed, 6)), begun: time.Now()}
	for range 1 + a.rng.IntN(6) {
		a.up += time.Duration(a.rng.Int64N(int64(8 * time.Second)))
		a.fails = append(a.fails, failing{ways[a.rng.IntN(len(ways))], a.up})
	}
	a.changed = time.Duration(a.rng.Int64N(int64(a.up + 10*time.Second)))
	return a
}

// way is how a call that begins now fails, "" where it does not.
func (a *agent) way() string {
	now := time.Since(a.begun)
	for _, f := range a.fails {
		if now < f.until {
			return f.way
		}
	}
	return ""
}

// dial is the network.
func (a *agent) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	if b := a.other.Load(); b != nil && addr == "other:1" {
		return b.dial(ctx, network, addr)
	}
	a.mu.Lock()
	a.calls = append(a.calls, time.Since(a.begun))
	a.mu.Unlock()
	way := a.way()
	switch way {
	case "refuses connections":
		return nil, syscall.ECONNREFUSED
	case "connections never come up":
		ctx, stop := context.WithTimeout(ctx, discoveryDial)
		defer stop()
		<-ctx.Done()
		return nil, ctx.Err()
	case "resets":
		return nil, fmt.Errorf("read: %w", syscall.ECONNRESET)
	}
	ours, theirs := net.Pipe()
	go a.serve(ours, way)
	return theirs, nil
}

func (a *agent) list(whole bool) string {
	if time.Since(a.begun) >= a.changed {
		return listed(12, whole, "a=draining")
	}
	return listed(7, whole, "a")
}

func (a *agent) serve(c net.Conn, way string) {
	defer c.Close()
	req, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	gone := make(chan struct{})
	go func() { io.Copy(io.Discard, c); close(gone) }()
	const head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	chunk := func(text string) { fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text) }
	status := func(line string) { fmt.Fprintf(c, "HTTP/1.1 %s\r\nContent-Length: 0\r\n\r\n", line) }
	watch := req.URL.Query().Has("watch")
	if said, ok := strings.CutPrefix(way, "503 in "); ok {
		status("503 X\r\nRetry-After: " + map[string]string{"a second": "1", "30 s": "30", "an hour": "3600"}[said])
		return
	}
	switch way {
	case "says nothing":
		<-gone
		return
	case "gives a head and no more":
		io.WriteString(c, head)
		<-gone
		return
	case "503":
		status("503 X")
		return
	case "503 at once again":
		status("503 X\r\nRetry-After: 0")
		return
	case "503 some time":
		status("503 X\r\nRetry-After: Wed, 21 Oct 2099 07:28:00 GMT")
		return
	case "429 after 2 s":
		select {
		case <-gone:
		case <-time.After(2 * time.Second):
			status("429 X\r\nRetry-After: 5")
		}
		return
	case "cut in a list":
		io.WriteString(c, head)
		chunk(a.list(true)[:40])
		return
	case "begins a list and stops":
		io.WriteString(c, head)
		chunk(a.list(true)[:40])
		<-gone
		return
	case "garbage":
		io.WriteString(c, head)
		chunk("\x00{{{\n")
		<-gone
		return
	case "null":
		io.WriteString(c, head)
		chunk("null\n")
		<-gone
		return
	case "an older version":
		io.WriteString(c, head)
		chunk(listed(3, false, "a=draining"))
		<-gone
		return
	case "a list by drops":
		io.WriteString(c, head)
		for _, b := range []byte(a.list(true)) {
			select {
			case <-gone:
				return
			case <-time.After(500 * time.Millisecond):
				chunk(string(b))
			}
		}
		<-gone
		return
	}
	io.WriteString(c, head)
	told := time.Since(a.begun) >= a.changed
	if !watch || req.URL.Query().Get("after") != "12" && told || req.URL.Query().Get("after") == "-1" {
		chunk(a.list(true))
	}
	if !watch {
		io.WriteString(c, "0\r\n\r\n")
		return
	}
	for way != "tells the list and goes" { // a line each 2 s, or as soon as there is news
		next := time.Since(a.begun) + 2*time.Second
		if way == "tells the list and falls silent" {
			<-gone
			return
		}
		if !told && next > a.changed {
			next, told = max(a.changed, time.Since(a.begun)), true
		}
		select {
		case <-gone:
			return
		case <-time.After(next - time.Since(a.begun)):
		}
		if time.Since(a.begun) == a.changed {
			chunk(a.list(false))
		} else {
			chunk("\n")
		}
	}
}

// ends ends what follows it, and waits for a dial that may still be out: the transport sees it through.
func ends(d *Discovery) {
	d.Close()
	time.Sleep(2 * discoveryDial)
}

// follows is a Discovery of one of so many routers that follows the agent.
func (a *agent) follows(fronts int) (*Discovery, *core.Core) {
	c, err := core.New(decide.Settings{Fronts: fronts, Kinds: []decide.Kind{{Role: decide.Reader}}}, 1, nil, quiet)
	if err != nil {
		a.t.Fatal(err)
	}
	c.SetWorkers(true, []core.Worker{{Addr: "127.0.0.1:1", Server: decide.Server{ID: "a"}}})
	d := NewDiscovery(Names{Kinds: []string{"m"}, Zones: []string{"a"}}, c, 0, quiet)
	d.dial = a.dial
	d.Follow("agent:1", 7)
	return d, c
}

// Whatever became of the calls before, a change is acted on within 6 s of the moment from which discovery has it and can
// be reached, the time for the call and its answer included, with any number of routers.
func TestAChangeIsHadWithinSixSeconds(t *testing.T) {
	worst, by := time.Duration(0), ""
	for seed := range uint64(600) {
		synctest.Test(t, func(t *testing.T) {
			a := newAgent(t, seed)
			fronts := []int{1, 3, 20, 350, 1024}[a.rng.IntN(5)]
			d, c := a.follows(fronts)
			defer ends(d)
			due := max(a.changed, a.up)
			time.Sleep(due)
			took := time.Duration(0)
			for ; took <= newsDue; took += 10 * time.Millisecond {
				if w, _ := c.Worker("a"); w.State == decide.Draining {
					break
				}
				time.Sleep(10 * time.Millisecond)
			}
			if took > newsDue {
				t.Errorf("seed %d, %d routers: not had %v after %v; %v", seed, fronts, took, due, a.fails)
			}
			if took > worst {
				worst, by = took, fmt.Sprint(seed, a.fails)
			}
		})
	}
	t.Logf("%v at most: %s", worst, by)
	if worst > newsDue-300*time.Millisecond || worst < time.Second {
		t.Errorf("%v at most (%s): that leaves no room for a busy machine, or the script finds no fault", worst, by)
	}
}

// A move by SIGHUP counts after 4 s, also where the first call to the new address fails.
func TestAMoveIsHadWithinFourSeconds(t *testing.T) {
	for _, way := range ways {
		synctest.Test(t, func(t *testing.T) {
			a := &agent{t: t, begun: time.Now(), changed: time.Hour}
			d, c := a.follows(350)
			defer ends(d)
			time.Sleep(10 * time.Second)
			other := &agent{t: t, begun: time.Now(), up: time.Millisecond, fails: []failing{{way, time.Millisecond}}}
			a.other.Store(other)
			d.Follow("other:1", 0)
			time.Sleep(newsMoved - 300*time.Millisecond)
			if w, _ := c.Worker("a"); w.State != decide.Draining {
				t.Errorf("%s: what the new address has was not had", way)
			}
		})
	}
}

// Hundreds of routers that are refused, or cut off, at one time ask again each at its own: discovery gets no more in any
// tenth of a second than an even spread over half of the longest wait lets expect.
func TestCallsOfAllRoutersStayPaced(t *testing.T) {
	for _, way := range []string{"503", "503 in an hour", "503 in a second", "503 at once again", "resets"} {
		synctest.Test(t, func(t *testing.T) {
			const fronts, long = 350, 60 * time.Second
			var all []*agent
			var followers []*Discovery
			for range fronts {
				a := &agent{t: t, begun: time.Now(), changed: time.Hour, up: long, fails: []failing{{way, long}}}
				d, _ := a.follows(fronts)
				all, followers = append(all, a), append(followers, d)
			}
			time.Sleep(long)
			for _, d := range followers {
				d.Close()
			}
			ends(followers[0])
			var calls []time.Duration
			for _, a := range all {
				calls = append(calls, a.called()...)
			}
			slices.Sort(calls)
			per := make([]int, long/(100*time.Millisecond)+1)
			for _, at := range calls[fronts:] { // the first of each is made at once
				per[at/(100*time.Millisecond)]++
			}
			even := float64(fronts) * 0.1 / ((newsDue - newsSpare) / 2).Seconds()
			if most := slices.Max(per); float64(most) > 3*even || len(calls) > fronts*int(long/(2*time.Second)) {
				t.Errorf("%s: %d calls in a tenth of a second, %.0f expected; %d in all", way, most, even, len(calls))
			}
		})
	}
}

// What never comes in time ends with its own reason.
func TestASilentWatchIsGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := &agent{t: t, begun: time.Now(), up: time.Hour, changed: time.Hour, fails: []failing{{"says nothing", time.Hour}}}
		d, _ := a.follows(3)
		defer ends(d)
		after, word := int64(7), time.Now()
		err := d.watchOnce(t.Context(), &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: a.dial}}, "agent:1", &after, &word)
		if err == nil || errors.Is(err, io.ErrUnexpectedEOF) || !strings.Contains(err.Error(), "silent") {
			t.Errorf("ended with %v", err)
		}
	})
}
