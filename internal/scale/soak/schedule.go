// Package soak injects random, overlapping faults into real router and worker processes under load, and checks afterwards
// that the router's invariants held. The same seed gives the same schedule of faults and requests.
//
// schedule.go draws the faults, deployment.go and router.go run the processes, worker.go is the code of a worker process,
// client.go holds the clients, ledger.go records what workers received and did, and checks.go checks these records.
package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"rowanyard/internal/scale/faultproxy"
	"rowanyard/internal/scale/flood"
)

// FaultKind is a kind of fault.
type FaultKind string

// The faults.
const (
	WorkerSilent      FaultKind = "worker silent"       // its connections, old and new, stay open and carry nothing
	WorkerUnreachable FaultKind = "worker unreachable"  // as WorkerSilent, but new connections are never established
	WorkerRefuses     FaultKind = "worker refuses"      // new connections are reset
	WorkerDelayed     FaultKind = "worker delayed"      // new connections are served after a delay
	WorkerOpenSilent  FaultKind = "worker open silent"  // open connections carry nothing any more; new ones work
	WorkerResets      FaultKind = "worker resets"       // open connections are reset
	WorkerStopped     FaultKind = "worker stopped"      // SIGSTOP, then SIGCONT
	WorkerKilled      FaultKind = "worker killed"       // SIGKILL, then a new process
	WorkerDrains      FaultKind = "worker drains"       // listed as draining, then as up again
	WorkersStopped    FaultKind = "workers stopped"     // many at once: SIGSTOP, then SIGCONT
	WorkersDeaf       FaultKind = "workers deaf"        // many at once answer probes and releases, and take no attempts
	ReadsBroken       FaultKind = "reads broken"        // some readers reset each read's connection as the read is done, the others are deaf
	WorkersStandStill FaultKind = "workers stand still" // all are stopped, and the writers are deaf before and after that
	DiscoverySilent   FaultKind = "discovery silent"    // to one router: its connections stay open and carry nothing
	AgentSilent       FaultKind = "agent silent"        // of one router: sends nothing, and returns with drains
	AgentMoved        FaultKind = "agent moved"         // SIGHUP names another agent, which is silent, then slow, and returns with drains
	AgentMovedTwice   FaultKind = "agent moved twice"   // the same with a second SIGHUP, to a third agent, in the silence
	DiscoveryResets   FaultKind = "discovery resets"    // to one router: its connections are reset
	RouterTerminated  FaultKind = "router terminated"   // SIGTERM, SIGKILL at the earliest time allowed, and a new process
	RouterKilled      FaultKind = "router killed"       // SIGKILL, and a new process
	RouterReloads     FaultKind = "router reloads"      // a series of SIGHUP
	ClockStepped      FaultKind = "wall clock stepped"  // of one router
	IdleConnections   FaultKind = "crowd"               // many idle connections to one router
	Flood             FaultKind = "flood"               // clients of one router send at full speed
	SlowCrowd         FaultKind = "slow crowd"          // many clients of one router are slow
	WorkersStall      FaultKind = "workers stall"       // many at once read no more in the middle of requests, with small receive buffers
	AnswersSpoilt     FaultKind = "answers spoilt"      // some answers of all workers come twice, have no end, or end in unusual ways
	AnswersStartLate  FaultKind = "answers start late"  // many workers answer no probe, and attempts about when routers give them up
	RouterHeldUp      FaultKind = "router held up"      // SIGSTOP and SIGCONT, again and again
)

// Fault is one fault of a schedule. It begins at At, counted from the start of the workload, and lasts for Duration.
type Fault struct {
	Kind     FaultKind
	At       time.Duration
	Duration time.Duration
	Target   int    // number of the worker or router
	Amount   int    // by kind: bytes that still pass, milliseconds of delay, seconds of a clock step, number of signals or connections
	Choice   uint64 // by kind: seeds the choice of many workers and the behavior of an agent
}

// String returns the fault on one line: when it begins in seconds, its kind, target, duration and amount.
func (f Fault) String() string {
	if f.Kind == Flood || f.Kind == SlowCrowd {
		return fmt.Sprintf("%6.3f %s %d for %v: %d x %s", f.At.Seconds(), f.Kind, f.Target, f.Duration, f.Amount, f.clientKind())
	}
	return fmt.Sprintf("%6.3f %s %d for %v amount %d choice %x", f.At.Seconds(), f.Kind, f.Target, f.Duration, f.Amount, f.Choice)
}

// Plan describes a run: the size of the deployment, and how many faults are injected into it.
type Plan struct {
	Seed             uint64
	Routers          int
	Readers, Writers int
	Length           time.Duration // the period in which faults begin
	Faults           int
	Clients          int // at each router
}

// lateEvery is how many seeds there are to one whose routers are all held up, from the first fault to the last.
const lateEvery = 5

// smallEvery is how many seeds there are to one whose run has a handful of processes, with as many clients.
const smallEvery = 4

// DefaultPlan returns the plan of a run of some seconds with a few dozen processes or, for some seeds, a handful.
func DefaultPlan(seed uint64) Plan {
	if seed%smallEvery == 0 {
		return Plan{Seed: seed, Routers: 2, Readers: 3, Writers: 2, Length: 9 * time.Second, Faults: 10, Clients: 16}
	}
	return Plan{Seed: seed, Routers: 4, Readers: 10, Writers: 14, Length: 9 * time.Second, Faults: 26, Clients: 8}
}

// Limits of the faults that are drawn.
const (
	faultFreeStart        = 600 * time.Millisecond // no fault begins before this
	minFaultDuration      = 100 * time.Millisecond
	maxFaultDuration      = 3 * time.Second
	maxConnectDelay       = time.Second
	maxBytesBeforeSilence = 600             // a connection may fall silent in the middle of a request
	minAgentSilence       = 3 * time.Second // longer than a watch that has fallen silent may go unnoticed
	maxAgentSilence       = 6 * time.Second
	maxAgentDelay         = 1500 * time.Millisecond
	drainTime             = 2500 * time.Millisecond // of the workers with whose drains an agent returns
	minShare, maxShare    = 20, 60                  // percent of a role's workers
	maxFloodConnections   = 60
	maxCrowdConnections   = 150
	hourSeconds           = 3600
	faultsOfEnds          = 2 // of each kind, in each schedule
	minSpoiltShare        = 5 // percent of the answers
	maxSpoiltShare        = 40
	endlessOneIn          = 6 // spoilt answers have no end
	secondOneIn           = 2 // of the others come twice, and the rest end in unusual ways
	maxEndByteDelay       = 200 * time.Millisecond
	minChunkEventDelay    = 100 * time.Millisecond
	minEventDelay         = 4550 * time.Millisecond
	maxEventDelay         = 4750 * time.Millisecond
	minSecondAnswerDelay  = 3 * time.Millisecond
	maxSecondAnswerDelay  = 20 * time.Millisecond
	minBytesBeforeStall   = 100
	maxBytesBeforeStall   = 4000
	maxSignalsAtEnd       = 4
	minHeldUp             = 20 * time.Millisecond // for which a router is held up at once ...
	maxHeldUp             = 140 * time.Millisecond
	minHeldUpPause        = 20 * time.Millisecond // ... and between two such times
	maxHeldUpPause        = 220 * time.Millisecond
	minCrossingTime       = 2 * time.Second
	maxCrossingTime       = 6 * time.Second
	startLateShare        = 80                     // percent of the answers
	minWriteDelay         = 140 * time.Millisecond // of an answer to a write: routers give up silent writers after 180 ms
	maxWriteDelay         = 260 * time.Millisecond
	minReadDelay          = 350 * time.Millisecond // of an answer to a read: routers give up silent readers after 420 ms and more
	maxReadDelay          = 900 * time.Millisecond
)

var workerFaults = []FaultKind{WorkerSilent, WorkerSilent, WorkerUnreachable, WorkerUnreachable, WorkerRefuses, WorkerDelayed,
	WorkerOpenSilent, WorkerOpenSilent,
	WorkerResets, WorkerStopped, WorkerStopped, WorkerKilled, WorkerDrains}

var routerFaults = []FaultKind{DiscoverySilent, DiscoveryResets, RouterTerminated, RouterTerminated, RouterKilled, RouterReloads,
	ClockStepped, ClockStepped}

// Each schedule has one fault of each of these lists.
var (
	agentFaults = []FaultKind{AgentSilent, AgentMoved, AgentMoved, AgentMovedTwice}
	groupFaults = []FaultKind{WorkersStopped, WorkersStopped, WorkersDeaf, ReadsBroken, ReadsBroken, WorkersStandStill}
)

// Schedule returns the faults of the plan, ordered by their time. They depend on nothing but the plan.
func (p Plan) Schedule() []Fault {
	random := rand.New(rand.NewPCG(p.Seed, 1))
	var faults []Fault
	busyUntil := make(map[string]time.Duration) // faults with the same key do not overlap
	drawn := []Fault{p.randomAgentFault(random), p.randomGroupFault(random)}
	for _, kind := range []FaultKind{Flood, SlowCrowd} {
		drawn = append(drawn, p.randomClientFault(kind))
	}
	for n := range faultsOfEnds {
		drawn = append(drawn, p.randomFaultOfEnds(WorkersStall, n), p.randomFaultOfEnds(AnswersSpoilt, n))
	}
	for n := range faultsOfEnds {
		drawn = append(drawn, p.randomCrossingFault(AnswersStartLate, n), p.randomCrossingFault(RouterHeldUp, n))
	}
	for range p.Faults {
		drawn = append(drawn, p.randomFault(random))
	}
	for _, f := range drawn {
		if key := f.exclusiveKey(); key != "" {
			if f.At < busyUntil[key] {
				continue
			}
			busyUntil[key] = f.At + f.Duration + maxRestartTime
		}
		faults = append(faults, f)
	}
	if p.Seed%3 == 0 {
		faults = append(faults, Fault{Kind: IdleConnections, At: faultFreeStart, Duration: p.Length, Target: int(p.Seed) % p.Routers, Amount: 400})
	}
	if p.Seed%lateEvery == 0 {
		for i := range p.Routers {
			faults = append(faults, Fault{Kind: RouterHeldUp, At: faultFreeStart, Duration: p.Length - faultFreeStart, Target: i, Choice: p.Seed})
		}
	}
	slices.SortStableFunc(faults, func(a, b Fault) int { return int(a.At - b.At) })
	return faults
}

// maxRestartTime is how long a schedule allows from the end of a fault until the affected process is ready again.
const maxRestartTime = 6 * time.Second

// randomFault draws one fault.
func (p Plan) randomFault(random *rand.Rand) Fault {
	f := Fault{At: faultFreeStart + time.Duration(random.Int64N(int64(p.Length-faultFreeStart))),
		Duration: minFaultDuration + time.Duration(random.Int64N(int64(maxFaultDuration-minFaultDuration)))}
	if random.IntN(3) > 0 {
		f.Kind, f.Target = workerFaults[random.IntN(len(workerFaults))], random.IntN(p.Readers+p.Writers)
	} else {
		f.Kind, f.Target = routerFaults[random.IntN(len(routerFaults))], random.IntN(p.Routers)
	}
	switch f.Kind {
	case WorkerSilent, WorkerUnreachable:
		f.Amount = random.IntN(maxBytesBeforeSilence)
	case WorkerDelayed:
		f.Amount = int(time.Duration(random.Int64N(int64(maxConnectDelay))).Milliseconds())
	case RouterReloads:
		f.Amount = 1 + random.IntN(5)
	case RouterTerminated:
		f.Amount = random.IntN(maxSignalsAtEnd)
	case ClockStepped:
		f.Amount = []int{-hourSeconds, hourSeconds, -5, 5, -1, 1}[random.IntN(6)]
	}
	return f
}

// randomAgentFault draws a fault of one router's agent of discovery.
func (p Plan) randomAgentFault(random *rand.Rand) Fault {
	f := Fault{Kind: agentFaults[random.IntN(len(agentFaults))], Target: random.IntN(p.Routers), Choice: random.Uint64(),
		Duration: minAgentSilence + time.Duration(random.Int64N(int64(maxAgentSilence-minAgentSilence)))}
	f.At = faultFreeStart + time.Duration(random.Int64N(int64(p.Length-faultFreeStart)))/2
	if random.IntN(2) == 0 {
		f.Amount = int(time.Duration(random.Int64N(int64(maxAgentDelay))).Milliseconds())
	}
	return f
}

// randomGroupFault draws a fault of many workers at once.
func (p Plan) randomGroupFault(random *rand.Rand) Fault {
	f := Fault{Kind: groupFaults[random.IntN(len(groupFaults))], Choice: random.Uint64(), Amount: minShare + random.IntN(maxShare-minShare),
		Duration: minFaultDuration + time.Duration(random.Int64N(int64(maxFaultDuration-minFaultDuration)))}
	f.At = faultFreeStart + time.Duration(random.Int64N(int64(p.Length-faultFreeStart)))
	return f
}

// randomClientFault draws a flood or a crowd at one router. It has a source of its own, so that the other faults of a seed are the
// same without it.
func (p Plan) randomClientFault(kind FaultKind) Fault {
	random := rand.New(rand.NewPCG(p.Seed, uint64(len(kind))))
	f := Fault{Kind: kind, Target: random.IntN(p.Routers), Choice: random.Uint64(), Amount: 1 + random.IntN(maxFloodConnections),
		Duration: minFaultDuration + time.Duration(random.Int64N(int64(maxFaultDuration-minFaultDuration)))}
	if kind == SlowCrowd {
		f.Amount = 1 + random.IntN(maxCrowdConnections)
	}
	f.At = faultFreeStart + time.Duration(random.Int64N(int64(p.Length-faultFreeStart)))
	return f
}

// randomFaultOfEnds draws the n-th fault of a kind that matters where requests end. It has a source of its own, like a client fault.
func (p Plan) randomFaultOfEnds(kind FaultKind, n int) Fault {
	random := rand.New(rand.NewPCG(p.Seed, uint64(len(kind))<<8|uint64(n)))
	f := Fault{Kind: kind, Choice: random.Uint64(), Amount: minShare + random.IntN(maxShare-minShare),
		Duration: minFaultDuration + time.Duration(random.Int64N(int64(maxFaultDuration-minFaultDuration)))}
	if kind == AnswersSpoilt {
		f.Amount = minSpoiltShare + random.IntN(maxSpoiltShare-minSpoiltShare)
	}
	f.At = faultFreeStart + time.Duration(random.Int64N(int64(p.Length-faultFreeStart)))
	return f
}

// randomCrossingFault draws the n-th fault of a kind that makes messages due together. It has a source of its own, like a client fault.
func (p Plan) randomCrossingFault(kind FaultKind, n int) Fault {
	random := rand.New(rand.NewPCG(p.Seed, uint64(len(kind))<<16|uint64(n)))
	return Fault{Kind: kind, Target: random.IntN(p.Routers), Choice: random.Uint64(), Amount: minShare + random.IntN(maxShare-minShare),
		At:       faultFreeStart + time.Duration(random.Int64N(int64(p.Length-faultFreeStart))),
		Duration: minCrossingTime + time.Duration(random.Int64N(int64(maxCrossingTime-minCrossingTime)))}
}

// lateStarts returns the source of the delays of one worker's answers.
func (f Fault) lateStarts(worker int, reader bool) func() faultproxy.SpoiltAnswer {
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(f.Choice, uint64(worker)))
	shortest, longest := minWriteDelay, maxWriteDelay
	if reader {
		shortest, longest = minReadDelay, maxReadDelay
	}
	return func() faultproxy.SpoiltAnswer {
		mu.Lock()
		defer mu.Unlock()
		if random.IntN(100) >= startLateShare {
			return faultproxy.SpoiltAnswer{}
		}
		return faultproxy.SpoiltAnswer{Fault: faultproxy.StartLate, Delay: shortest + time.Duration(random.Int64N(int64(longest-shortest)))}
	}
}

// bytesBeforeStall returns how much of a request the workers take before they stall.
func (f Fault) bytesBeforeStall() int {
	return minBytesBeforeStall + int(f.Choice%(maxBytesBeforeStall-minBytesBeforeStall))
}

// answerFaults returns the source of the faults of one worker's answers.
func (f Fault) answerFaults(worker int) func() faultproxy.SpoiltAnswer {
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(f.Choice, uint64(worker)))
	return func() faultproxy.SpoiltAnswer {
		mu.Lock()
		defer mu.Unlock()
		if random.IntN(100) >= f.Amount {
			return faultproxy.SpoiltAnswer{}
		}
		kinds, minDelay, maxDelay := faultproxy.UnusualEnds, minSecondAnswerDelay, maxEndByteDelay
		if random.IntN(endlessOneIn) == 0 {
			kinds = faultproxy.EndlessAnswers
		} else if random.IntN(secondOneIn) == 0 {
			kinds, maxDelay = faultproxy.SecondAnswers, maxSecondAnswerDelay
		}
		kind := kinds[random.IntN(len(kinds))]
		switch kind {
		case faultproxy.EventLate:
			minDelay, maxDelay = minEventDelay, maxEventDelay
		case faultproxy.EventsInOneChunk:
			minDelay = minChunkEventDelay
		}
		return faultproxy.SpoiltAnswer{Fault: kind, Choice: uint(random.Uint32()), Delay: minDelay + time.Duration(random.Int64N(int64(maxDelay-minDelay)))}
	}
}

// clientKind returns what the clients of a flood or a crowd do.
func (f Fault) clientKind() flood.Kind {
	kinds := flood.Floods()
	if f.Kind == SlowCrowd {
		kinds = flood.Crowds()
	}
	return kinds[f.Choice%uint64(len(kinds))]
}

// group returns the numbers of the workers that a fault of many concerns: a share of the readers, of the writers, or of both.
func (p Plan) group(f Fault) (workers []int) {
	random := rand.New(rand.NewPCG(f.Choice, 2))
	roles := random.IntN(3)
	for i := range p.Readers + p.Writers {
		reader := i < p.Readers
		chosen := random.IntN(100) < f.Amount
		if chosen && (roles == 2 || reader == (roles == 0)) {
			workers = append(workers, i)
		}
	}
	return workers
}

// splitReaders returns the numbers of all readers, in two parts: a share of them and the others.
func (p Plan) splitReaders(f Fault) (some, others []int) {
	random := rand.New(rand.NewPCG(f.Choice, 2))
	for i := range p.Readers {
		if random.IntN(100) < f.Amount {
			some = append(some, i)
		} else {
			others = append(others, i)
		}
	}
	return some, others
}

// all returns the numbers of all workers.
func (p Plan) all() (workers []int) {
	for i := range p.Readers + p.Writers {
		workers = append(workers, i)
	}
	return workers
}

// exclusiveKey returns the key within which faults must not overlap: one process that is ended or stopped, or one proxy. It is
// "" for faults that may overlap on one target.
func (f Fault) exclusiveKey() string {
	switch f.Kind {
	case RouterTerminated, RouterKilled:
		return fmt.Sprint("router ", f.Target)
	case RouterHeldUp:
		return fmt.Sprint("held up ", f.Target)
	case WorkerStopped, WorkerKilled:
		return fmt.Sprint("worker ", f.Target)
	case WorkerSilent, WorkerUnreachable, WorkerRefuses, WorkerDelayed: // a proxy has one fault at a time
		return fmt.Sprint("network ", f.Target)
	case DiscoverySilent, AgentSilent, AgentMoved, AgentMovedTwice:
		return fmt.Sprint("discovery ", f.Target)
	}
	return ""
}
