package httpfront

// Tests of how soon a drain is applied that discovery has when it returns from a silence. Scripted agents are reached over
// pipes on a virtual clock.

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"rowanyard/decide"
	"rowanyard/internal/core"
)

const (
	drainGrace  = 500 * time.Millisecond // by the settings, from when a drain counts as told
	heldUpSlack = 150 * time.Millisecond // a router may be held up for this long between its clock and a write
)

// agentScript is how a silentAgent behaves. Times are counted from its start.
type agentScript struct {
	silentFrom, returnsAt time.Duration // it sends nothing in between, and lists the drain from returnsAt on
	answersWaiting        bool          // calls that came in the silence are answered at its end, else never
	watchesSurvive        bool          // watches from before the silence go on after it
	resetsWatches         bool          // they are reset as it begins
	delaysHead            bool          // the head of an answer comes with its first line
	latency               time.Duration // of each answer
}

// silentAgent is an agent of discovery that falls silent once.
type silentAgent struct {
	agentScript
	started time.Time

	mu           sync.Mutex
	open         int // calls that are open, and the most that were at once
	mostOpen     int
	calls        int
	wholeAnswers int // whole lists sent
}

func (a *silentAgent) elapsed() time.Duration { return time.Since(a.started) }

func (a *silentAgent) isSilent() bool {
	return a.elapsed() >= a.silentFrom && a.elapsed() < a.returnsAt
}

func (a *silentAgent) countOpen(change int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.open += change
	a.mostOpen = max(a.mostOpen, a.open)
	a.calls += max(change, 0)
}

func (a *silentAgent) dial() net.Conn {
	ours, theirs := net.Pipe()
	go func() {
		defer ours.Close()
		a.countOpen(1)
		defer a.countOpen(-1)
		a.serve(ours)
	}()
	return theirs
}

// serve answers the call on a connection. It ends once the caller has gone.
func (a *silentAgent) serve(c net.Conn) {
	req, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	closed := make(chan struct{})
	go func() { io.Copy(io.Discard, c); close(closed) }()
	pause := func(d time.Duration) bool {
		if d <= 0 {
			return true
		}
		select {
		case <-closed:
			return false
		case <-time.After(d):
			return true
		}
	}
	// endSilence waits for the end of the silence, if there is one. It returns false if the call is not answered.
	endSilence := func(answered bool) bool {
		if !a.isSilent() {
			return true
		}
		if !answered {
			<-closed
			return false
		}
		return pause(a.returnsAt - a.elapsed())
	}
	if !endSilence(a.answersWaiting) || !pause(a.latency) || !endSilence(a.answersWaiting) {
		return
	}
	watch, after := req.URL.Query().Has("watch"), req.URL.Query().Get("after")
	const head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	pending := head
	if !a.delaysHead {
		io.WriteString(c, head)
		pending = ""
	}
	chunk := func(text string) {
		fmt.Fprintf(c, "%s%x\r\n%s\r\n", pending, len(text), text)
		pending = ""
	}
	told := a.elapsed() >= a.returnsAt
	version, host := 7, "a"
	if told {
		version, host = 12, "a=draining"
	}
	if !watch || after != fmt.Sprint(version) {
		chunk(listJSON(version, true, host))
		a.mu.Lock()
		a.wholeAnswers++
		a.mu.Unlock()
	}
	if !watch {
		io.WriteString(c, "0\r\n\r\n")
		return
	}
	for {
		untilLine := 2 * time.Second
		for _, event := range []time.Duration{a.silentFrom, a.returnsAt} {
			if ahead := event - a.elapsed(); ahead > 0 {
				untilLine = min(untilLine, ahead)
			}
		}
		if !pause(untilLine) {
			return
		}
		if a.isSilent() && a.resetsWatches {
			return // net/http sees an unexpected end
		}
		if !endSilence(a.watchesSurvive) {
			return
		}
		if !told && a.elapsed() >= a.returnsAt {
			told = true
			chunk(listJSON(12, false, "a=draining"))
			continue
		}
		chunk("\n")
	}
}

// silentFleet is a router whose discovery is played by silentAgents.
type silentFleet struct {
	discovery *Discovery
	core      *core.Core
	agents    sync.Map // address to *silentAgent

	mu    sync.Mutex
	conns []*resettableConn
}

// resettableConn is a connection that a test can reset.
type resettableConn struct {
	net.Conn
	isReset atomic.Bool
}

// Read implements net.Conn.
func (c *resettableConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != nil && c.isReset.Load() {
		err = syscall.ECONNRESET
	}
	return n, err
}

// resetConnections resets all connections to discovery.
func (f *silentFleet) resetConnections() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range f.conns {
		c.isReset.Store(true)
		c.Conn.Close()
	}
	f.conns = nil
}

func newSilentFleet(t *testing.T, settings decide.Settings) *silentFleet {
	settings.Kinds = []decide.Kind{{Role: decide.Reader}}
	c, err := core.New(settings, 1, nil, discardLogger)
	if err != nil {
		t.Fatal(err)
	}
	c.SetWorkers(true, []core.Worker{{Addr: "127.0.0.1:1", Server: decide.Server{ID: "a"}}})
	f := &silentFleet{core: c, discovery: NewDiscovery(Names{Kinds: []string{"m"}, Zones: []string{"a"}}, c, 0, discardLogger)}
	f.discovery.dial = func(_ context.Context, _, addr string) (net.Conn, error) {
		a, _ := f.agents.Load(addr)
		c := &resettableConn{Conn: a.(*silentAgent).dial()}
		f.mu.Lock()
		f.conns = append(f.conns, c)
		f.mu.Unlock()
		return c, nil
	}
	return f
}

// follow starts an agent and has the router follow it.
func (f *silentFleet) follow(addr string, script agentScript) *silentAgent {
	a := &silentAgent{agentScript: script, started: time.Now()}
	f.agents.Store(addr, a)
	f.discovery.Follow(addr, 7)
	return a
}

// untilDrainApplied waits until the drain is applied, for at most limit, and returns how long that took.
func (f *silentFleet) untilDrainApplied(limit time.Duration) time.Duration {
	const step = 5 * time.Millisecond
	for waited := time.Duration(0); ; waited += step {
		if w, _ := f.core.Worker("a"); w.State == decide.Draining || waited > limit {
			return waited
		}
		time.Sleep(step)
	}
}

const quietTime = 5 * time.Second // before the silence, where there is one

// silences are the ways to come upon a silent agent. Each starts the router, and returns the agent that the router follows
// at the end, which returns after a silence of the given length.
var silences = map[string]func(f *silentFleet, silence time.Duration, script agentScript) *silentAgent{
	"at the start": func(f *silentFleet, silence time.Duration, script agentScript) *silentAgent {
		script.returnsAt = silence
		return f.follow("agent:1", script)
	},
	"of a followed agent": func(f *silentFleet, silence time.Duration, script agentScript) *silentAgent {
		script.silentFrom, script.returnsAt = quietTime, quietTime+silence
		return f.follow("agent:1", script)
	},
	"of a followed agent, its watches go on": func(f *silentFleet, silence time.Duration, script agentScript) *silentAgent {
		script.silentFrom, script.returnsAt, script.watchesSurvive = quietTime, quietTime+silence, true
		return f.follow("agent:1", script)
	},
	"of an agent that has reset its watches": func(f *silentFleet, silence time.Duration, script agentScript) *silentAgent {
		script.silentFrom, script.returnsAt, script.resetsWatches = quietTime, quietTime+silence, true
		return f.follow("agent:1", script)
	},
	"after a move": func(f *silentFleet, silence time.Duration, script agentScript) *silentAgent {
		f.follow("agent:1", agentScript{silentFrom: time.Hour, returnsAt: time.Hour})
		time.Sleep(quietTime)
		script.returnsAt = silence
		return f.follow("agent:2", script)
	},
	"after a move during an outage": func(f *silentFleet, silence time.Duration, script agentScript) *silentAgent {
		f.follow("agent:1", agentScript{silentFrom: quietTime, returnsAt: time.Hour})
		time.Sleep(quietTime + 3100*time.Millisecond)
		script.returnsAt = silence
		return f.follow("agent:2", script)
	},
	"after a second move": func(f *silentFleet, silence time.Duration, script agentScript) *silentAgent {
		f.follow("agent:1", agentScript{silentFrom: time.Hour, returnsAt: time.Hour})
		time.Sleep(quietTime)
		f.follow("agent:2", agentScript{returnsAt: time.Hour})
		time.Sleep(1700 * time.Millisecond)
		script.returnsAt = silence
		return f.follow("agent:3", script)
	},
}

// A drain that discovery has at its return counts as told at once where lists are pushed: it is applied within the grace,
// whatever the router was waiting for in the silence. A silence of a followed agent lasts longer than two of its lines are
// apart, so that it can be told from a quiet time.
func TestDrainAtTheReturnOfSilentDiscoveryIsAppliedWithinGrace(t *testing.T) {
	const shortest = 3 * time.Second
	for name, begin := range silences {
		const runs = 60
		late, worst := 0, time.Duration(0)
		for seed := range uint64(runs) {
			random := rand.New(rand.NewPCG(seed, 3))
			silence := shortest + time.Duration(random.Int64N(int64(9*time.Second)))
			script := agentScript{answersWaiting: random.IntN(2) == 0, delaysHead: random.IntN(2) == 0,
				latency: time.Duration(random.Int64N(int64(20 * time.Millisecond)))}
			synctest.Test(t, func(t *testing.T) {
				f := newSilentFleet(t, decide.Settings{RouterCount: 4})
				defer closeAndWait(f.discovery)
				agent := begin(f, silence, script)
				time.Sleep(agent.returnsAt - agent.elapsed())
				took := f.untilDrainApplied(changeDeadline)
				worst = max(worst, took)
				if took > drainGrace-heldUpSlack {
					late++
				}
			})
		}
		t.Logf("silence %s: applied %v after the return at the latest", name, worst)
		if late > 0 {
			t.Errorf("silence %s: too late in %d of %d runs", name, late, runs)
		}
	}
}

// A watch that falls silent for good misses changes. They count as told 6 s after it fell silent at the latest.
func TestChangeMissedBySilentWatchIsAppliedInTime(t *testing.T) {
	worst := time.Duration(0)
	for silence := 100 * time.Millisecond; silence < 6*time.Second; silence += 100 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			f := newSilentFleet(t, decide.Settings{RouterCount: 300})
			defer closeAndWait(f.discovery)
			f.follow("agent:1", agentScript{silentFrom: quietTime, returnsAt: quietTime + silence})
			time.Sleep(quietTime)
			allowed := max(changeDeadline, silence+drainGrace) - heldUpSlack
			worst = max(worst, f.untilDrainApplied(2*changeDeadline)-allowed)
		})
	}
	if worst > 0 {
		t.Errorf("applied %v too late", worst)
	}
}

// Discovery that takes seconds to answer each call is heard all the same: no call is given up for a new one that fares no
// better.
func TestSlowDiscoveryIsHeard(t *testing.T) {
	for _, latency := range []time.Duration{300 * time.Millisecond, 1300 * time.Millisecond, 2 * time.Second, 2700 * time.Millisecond} {
		for _, polled := range []bool{false, true} {
			took := time.Duration(0)
			synctest.Test(t, func(t *testing.T) {
				f := newSilentFleet(t, decide.Settings{RouterCount: 4, PollServerList: polled})
				defer closeAndWait(f.discovery)
				f.follow("agent:1", agentScript{silentFrom: time.Hour, returnsAt: time.Hour})
				time.Sleep(quietTime)
				f.follow("agent:2", agentScript{latency: latency})
				took = f.untilDrainApplied(20 * time.Second)
			})
			if took > changeDeadline {
				t.Errorf("answers after %v, lists on request %v: the list of the new address was applied after %v", latency, polled, took)
			}
		}
	}
}

// An agent that returns from a silence and is slow from then on is heard soon: the calls that have waited for it are never
// answered, and later ones wait for long enough.
func TestAgentThatReturnsSlowIsHeard(t *testing.T) {
	for _, latency := range []time.Duration{300 * time.Millisecond, 800 * time.Millisecond, 1300 * time.Millisecond, 2 * time.Second} {
		worst := time.Duration(0)
		for seed := range uint64(20) {
			random := rand.New(rand.NewPCG(seed, 4))
			synctest.Test(t, func(t *testing.T) {
				f := newSilentFleet(t, decide.Settings{RouterCount: 4})
				defer closeAndWait(f.discovery)
				f.follow("agent:1", agentScript{silentFrom: time.Hour, returnsAt: time.Hour})
				time.Sleep(quietTime)
				silence := time.Duration(random.Int64N(int64(10 * time.Second)))
				f.follow("agent:2", agentScript{returnsAt: silence, latency: latency})
				time.Sleep(silence)
				worst = max(worst, f.untilDrainApplied(20*time.Second))
			})
		}
		t.Logf("answers after %v: applied %v after the return at the latest", latency, worst)
		if worst > 2*latency+drainGrace {
			t.Errorf("answers after %v: applied %v after the return", latency, worst)
		}
	}
}

// The old agent's news is applied until the new one has sent a list, and not after that.
func TestOldAgentIsHeardUntilTheNewOneHasSpoken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSilentFleet(t, decide.Settings{RouterCount: 4})
		defer closeAndWait(f.discovery)
		old := f.follow("agent:1", agentScript{silentFrom: quietTime, returnsAt: quietTime, watchesSurvive: true})
		time.Sleep(quietTime - 100*time.Millisecond)
		f.follow("agent:2", agentScript{returnsAt: 10 * time.Second})
		if took := f.untilDrainApplied(time.Second); took > 200*time.Millisecond {
			t.Errorf("what the old agent sent 100 ms after the move was applied after %v", took)
		}
		time.Sleep(11 * time.Second)
		old.mu.Lock()
		defer old.mu.Unlock()
		if old.open != 0 || old.calls != 1 {
			t.Errorf("%d calls of the old agent are open after the new one has sent its list, %d were made", old.open, old.calls)
		}
	})
}

// However long discovery is silent, few calls wait for it at once, and its return is answered by few lists.
func TestCallsToSilentDiscoveryAreBounded(t *testing.T) {
	const silence, most, perSecond = time.Minute, 7, 6
	for _, polled := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			f := newSilentFleet(t, decide.Settings{RouterCount: 300, PollServerList: polled})
			defer closeAndWait(f.discovery)
			f.follow("agent:1", agentScript{silentFrom: time.Hour, returnsAt: time.Hour})
			time.Sleep(quietTime)
			a := f.follow("agent:2", agentScript{returnsAt: silence, answersWaiting: true})
			time.Sleep(silence + 5*time.Second)
			limit := int(perSecond * silence.Seconds())
			if polled { // discovery may be shared by all routers
				limit = int(silence.Seconds())
			}
			a.mu.Lock()
			defer a.mu.Unlock()
			if a.mostOpen > most || a.calls > limit || a.wholeAnswers > most {
				t.Errorf("lists on request %v: %d calls at once, %d in all, %d whole lists at the return", polled, a.mostOpen, a.calls, a.wholeAnswers)
			}
			if w, _ := f.core.Worker("a"); w.State != decide.Draining {
				t.Error("the list was not applied")
			}
		})
	}
}

// A watch that has lasted and is reset is opened again within the grace. Resets by discovery that has no room stay backed off
// (TestCallsOfManyRoutersAreSpread).
func TestDrainAfterAResetWatchIsAppliedWithinGrace(t *testing.T) {
	worst := time.Duration(0)
	for range 20 {
		synctest.Test(t, func(t *testing.T) {
			f := newSilentFleet(t, decide.Settings{RouterCount: 300})
			defer closeAndWait(f.discovery)
			f.follow("agent:1", agentScript{silentFrom: time.Hour, returnsAt: time.Hour})
			time.Sleep(3 * time.Second)
			f.agents.Store("agent:1", &silentAgent{started: time.Now()})
			f.resetConnections()
			worst = max(worst, f.untilDrainApplied(changeDeadline))
		})
	}
	if worst > drainGrace-heldUpSlack {
		t.Errorf("applied %v after the reset", worst)
	}
}

// A machine that returns resets the calls that have waited for it. That is no refusal: the drain that it has is applied within the
// grace, also by one of many routers.
func TestDrainAfterResetOfWaitingCallsIsAppliedWithinGrace(t *testing.T) {
	worst := time.Duration(0)
	for seed := range uint64(40) {
		random := rand.New(rand.NewPCG(seed, 5))
		synctest.Test(t, func(t *testing.T) {
			f := newSilentFleet(t, decide.Settings{RouterCount: 300})
			defer closeAndWait(f.discovery)
			f.follow("agent:1", agentScript{silentFrom: time.Hour, returnsAt: time.Hour})
			time.Sleep(quietTime)
			f.follow("agent:2", agentScript{returnsAt: time.Hour})
			time.Sleep(time.Second + time.Duration(random.Int64N(int64(6*time.Second))))
			f.agents.Store("agent:2", &silentAgent{started: time.Now()})
			f.resetConnections()
			worst = max(worst, f.untilDrainApplied(changeDeadline))
		})
	}
	if worst > drainGrace-heldUpSlack {
		t.Errorf("applied %v after the reset", worst)
	}
}
