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
	"time"
)

// FaultKind is a kind of fault.
type FaultKind string

// The faults.
const (
	WorkerSilent      FaultKind = "worker silent"      // its connections, old and new, stay open and carry nothing
	WorkerUnreachable FaultKind = "worker unreachable" // as WorkerSilent, but new connections are never established
	WorkerRefuses     FaultKind = "worker refuses"     // new connections are reset
	WorkerDelayed     FaultKind = "worker delayed"     // new connections are served after a delay
	WorkerOpenSilent  FaultKind = "worker open silent" // open connections carry nothing any more; new ones work
	WorkerResets      FaultKind = "worker resets"      // open connections are reset
	WorkerStopped     FaultKind = "worker stopped"     // SIGSTOP, then SIGCONT
	WorkerKilled      FaultKind = "worker killed"      // SIGKILL, then a new process
	WorkerDrains      FaultKind = "worker drains"      // listed as draining, then as up again
	DiscoverySilent   FaultKind = "discovery silent"   // to one router: its connections stay open and carry nothing
	DiscoveryResets   FaultKind = "discovery resets"   // to one router: its connections are reset
	RouterTerminated  FaultKind = "router terminated"  // SIGTERM, SIGKILL at the earliest time allowed, and a new process
	RouterKilled      FaultKind = "router killed"      // SIGKILL, and a new process
	RouterReloads     FaultKind = "router reloads"     // a series of SIGHUP
	ClockStepped      FaultKind = "wall clock stepped" // of one router
	IdleConnections   FaultKind = "crowd"              // many idle connections to one router
)

// Fault is one fault of a schedule. It begins at At, counted from the start of the workload, and lasts for Duration.
type Fault struct {
	Kind     FaultKind
	At       time.Duration
	Duration time.Duration
	Target   int // number of the worker or router
	Amount   int // by kind: bytes that still pass, milliseconds of delay, seconds of a clock step, number of signals or connections
}

// String returns the fault on one line: when it begins in seconds, its kind, target, duration and amount.
func (f Fault) String() string {
	return fmt.Sprintf("%6.3f %s %d for %v amount %d", f.At.Seconds(), f.Kind, f.Target, f.Duration, f.Amount)
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

// DefaultPlan returns the plan of a run of some seconds with a few dozen processes.
func DefaultPlan(seed uint64) Plan {
	return Plan{Seed: seed, Routers: 4, Readers: 10, Writers: 14, Length: 9 * time.Second, Faults: 26, Clients: 6}
}

// Limits of the faults that are drawn.
const (
	faultFreeStart        = 600 * time.Millisecond // no fault begins before this
	minFaultDuration      = 100 * time.Millisecond
	maxFaultDuration      = 3 * time.Second
	maxConnectDelay       = time.Second
	maxBytesBeforeSilence = 600 // a connection may fall silent in the middle of a request
	hourSeconds           = 3600
)

var workerFaults = []FaultKind{WorkerSilent, WorkerSilent, WorkerUnreachable, WorkerUnreachable, WorkerRefuses, WorkerDelayed,
	WorkerOpenSilent, WorkerOpenSilent,
	WorkerResets, WorkerStopped, WorkerStopped, WorkerKilled, WorkerDrains}

var routerFaults = []FaultKind{DiscoverySilent, DiscoveryResets, RouterTerminated, RouterTerminated, RouterKilled, RouterReloads,
	ClockStepped, ClockStepped}

// Schedule returns the faults of the plan, ordered by their time. They depend on nothing but the plan.
func (p Plan) Schedule() []Fault {
	random := rand.New(rand.NewPCG(p.Seed, 1))
	var faults []Fault
	busyUntil := make(map[string]time.Duration) // faults with the same key do not overlap
	for range p.Faults {
		f := p.randomFault(random)
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
	case ClockStepped:
		f.Amount = []int{-hourSeconds, hourSeconds, -5, 5, -1, 1}[random.IntN(6)]
	}
	return f
}

// exclusiveKey returns the key within which faults must not overlap: one process that is ended or stopped, or one proxy. It is
// "" for faults that may overlap on one target.
func (f Fault) exclusiveKey() string {
	switch f.Kind {
	case RouterTerminated, RouterKilled:
		return fmt.Sprint("router ", f.Target)
	case WorkerStopped, WorkerKilled:
		return fmt.Sprint("worker ", f.Target)
	case WorkerSilent, WorkerUnreachable, WorkerRefuses, WorkerDelayed: // a proxy has one fault at a time
		return fmt.Sprint("network ", f.Target)
	case DiscoverySilent:
		return fmt.Sprint("discovery ", f.Target)
	}
	return ""
}
