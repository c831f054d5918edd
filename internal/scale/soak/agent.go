package soak

// The agents of discovery that the routers follow, and their faults.

import (
	"math/rand/v2"
	"syscall"
	"time"

	"rowanyard/internal/scale/faultproxy"
	"rowanyard/internal/scale/registry"
)

const (
	retiredAgentTime    = 1500 * time.Millisecond // after SIGHUP the agent before closes its connections
	secondMoveShare     = 0.4                     // of a silence, until the second SIGHUP
	drainingWorkerShare = 0.3                     // of all workers
)

// discoveryAgent is an agent of discovery, and the network between it and its router.
type discoveryAgent struct {
	endpoint *registry.Endpoint
	proxy    *faultproxy.Proxy
}

// startAgent starts an agent.
func (d *deployment) startAgent() (*discoveryAgent, error) {
	endpoint, err := d.registry.AddEndpoint()
	if err != nil {
		return nil, err
	}
	proxy, err := faultproxy.Start(endpoint.Address)
	if err != nil {
		return nil, err
	}
	return &discoveryAgent{endpoint, proxy}, nil
}

// agent returns the agent that the router's configuration names.
func (r *router) agent() *discoveryAgent {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.agents[len(r.agents)-1]
}

func (r *router) addAgent(a *discoveryAgent) {
	r.mu.Lock()
	r.agents = append(r.agents, a)
	r.mu.Unlock()
}

// closeAgents closes the connections of all agents of the router.
func (r *router) closeAgents() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, a := range r.agents {
		a.proxy.Close()
	}
}

// injectIntoAgent has the agent that a router follows, or another one that it is moved to, fall silent and return with drains.
func (d *deployment) injectIntoAgent(f Fault, r *router) {
	random := rand.New(rand.NewPCG(f.Choice, 3))
	silence := registry.Silence{AnswersWaiting: random.IntN(2) == 0, KeepsWatches: random.IntN(2) == 0}
	moves := map[FaultKind]int{AgentMoved: 1, AgentMovedTwice: 2}[f.Kind]
	from, movedAt := time.Now(), time.Time{}
	agent := r.agent()
	if moves == 0 {
		agent.endpoint.BeginSilence(silence)
	}
	for move := range moves {
		next, err := d.startAgent()
		if err != nil {
			return
		}
		next.endpoint.BeginSilence(silence)
		r.addAgent(next)
		if r.writeConfig(d.plan.Routers) != nil {
			return
		}
		r.awaitReloadable()
		r.signal(syscall.SIGHUP)
		movedAt = time.Now()
		agent.endpoint.Retire(retiredAgentTime)
		agent = next
		if move+1 < moves {
			time.Sleep(time.Duration(secondMoveShare * float64(f.Duration)))
		}
	}
	time.Sleep(f.Duration)
	var draining []*worker
	for _, w := range d.workers {
		if random.Float64() < drainingWorkerShare {
			draining = append(draining, w)
		}
	}
	d.changeEntries(draining, func(w *worker) { w.health = "draining" })
	delay := time.Duration(f.Amount) * time.Millisecond
	agent.endpoint.SetLatency(delay)
	agent.endpoint.EndSilence()
	d.mu.Lock()
	d.agentSilences = append(d.agentSilences, agentSilence{router: r.number, from: from, movedAt: movedAt, to: time.Now(), delay: delay})
	d.mu.Unlock()
	time.Sleep(drainTime)
	agent.endpoint.SetLatency(0)
	d.changeEntries(draining, func(w *worker) { w.health = "up" })
}

// agentSilence is a period in which a router's agent sent nothing. What the agent gets in it counts as told at its end.
type agentSilence struct {
	router   int
	from, to time.Time
	movedAt  time.Time     // when SIGHUP named the agent; zero: it did not
	delay    time.Duration // of each answer after it
}

// toldAfter returns when a change that discovery had at the given time counts as told to the router.
func (s agentSilence) toldAfter(changedAt time.Time) time.Time {
	if changedAt.Before(s.from) || changedAt.After(s.to.Add(drainTime)) {
		return changedAt
	}
	told := later(changedAt, s.to)
	if !s.movedAt.IsZero() {
		told = later(told, s.movedAt.Add(moveTime))
	}
	if s.delay > 0 { // it has told what it has once it has answered, and the change may be behind its first answer
		told = later(told, s.to.Add(2*s.delay))
	}
	return told
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
