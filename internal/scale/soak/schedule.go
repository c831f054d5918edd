// Package soak plays random, overlapping faults over real processes, routers and workers, and judges the run by the router's
// invariants. The same seed gives the same schedule of faults and of requests.
//
// schedule.go draws what happens, deployment.go and router.go run the processes, worker.go is a worker's process, client.go the
// clients, ledger.go the record of what workers got, and judge.go compares the records.
package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// FaultKind is what goes wrong, or is done to a process.
type FaultKind string

// The faults.
const (
	WorkerSilent    FaultKind = "worker silent"      // its connections stay open and tell nothing, new ones too
	WorkerNeverUp   FaultKind = "worker never up"    // the same, and new ones never come up
	WorkerRefuses   FaultKind = "worker refuses"     // new connections are reset
	WorkerLate      FaultKind = "worker late"        // new connections come up late
	WorkerMuted     FaultKind = "worker muted"       // open connections fall silent for good
	WorkerResets    FaultKind = "worker resets"      // open connections are reset
	WorkerStopped   FaultKind = "worker stopped"     // SIGSTOP, then SIGCONT
	WorkerKilled    FaultKind = "worker killed"      // SIGKILL, then a new process
	WorkerDrains    FaultKind = "worker drains"      // in the list, then back
	DiscoverySilent FaultKind = "discovery silent"   // to one router
	DiscoveryResets FaultKind = "discovery resets"   // to one router
	RouterEnds      FaultKind = "router ends"        // SIGTERM, SIGKILL as soon as it may come, and a new process
	RouterKilled    FaultKind = "router killed"      // SIGKILL, and a new process
	RouterReloads   FaultKind = "router reloads"     // a series of SIGHUP
	ClockStepped    FaultKind = "wall clock stepped" // of one router
	Crowd           FaultKind = "crowd"              // idle clients fill a router
)

// Fault is one event of a schedule. What it begins ends after For.
type Fault struct {
	Kind   FaultKind
	At     time.Duration
	For    time.Duration
	Target int // the worker's or the router's number
	Amount int // bytes that still pass, seconds of a step, signals of a series, or clients
}

func (f Fault) String() string {
	return fmt.Sprintf("%6.3f %s %d for %v amount %d", f.At.Seconds(), f.Kind, f.Target, f.For, f.Amount)
}

// Plan describes a run.
type Plan struct {
	Seed             uint64
	Routers          int
	Readers, Writers int
	Length           time.Duration // faults begin within this
	Faults           int
	Clients          int // of each router
}

// DefaultPlan is a run of some seconds over a few dozen processes.
func DefaultPlan(seed uint64) Plan {
	return Plan{Seed: seed, Routers: 4, Readers: 10, Writers: 14, Length: 9 * time.Second, Faults: 26, Clients: 6}
}

// limits of what is drawn.
const (
	settled    = 600 * time.Millisecond // nothing goes wrong before
	shortFault = 100 * time.Millisecond
	longFault  = 3 * time.Second
	lateMost   = time.Second
	headBytes  = 600 // a silence may begin inside a request
	hour       = 3600
)

var workerFaults = []FaultKind{WorkerSilent, WorkerSilent, WorkerNeverUp, WorkerNeverUp, WorkerRefuses, WorkerLate, WorkerMuted, WorkerMuted,
	WorkerResets, WorkerStopped, WorkerStopped, WorkerKilled, WorkerDrains}

var routerFaults = []FaultKind{DiscoverySilent, DiscoveryResets, RouterEnds, RouterEnds, RouterKilled, RouterReloads, ClockStepped, ClockStepped}

// Schedule draws the faults of a plan, in order.
func (p Plan) Schedule() []Fault {
	random := rand.New(rand.NewPCG(p.Seed, 1))
	var all []Fault
	busy := make(map[string]time.Duration) // process faults of one target do not overlap
	for range p.Faults {
		f := p.draw(random)
		if key := f.process(); key != "" {
			if f.At < busy[key] {
				continue
			}
			busy[key] = f.At + f.For + routerRestart
		}
		all = append(all, f)
	}
	if p.Seed%3 == 0 {
		all = append(all, Fault{Kind: Crowd, At: settled, For: p.Length, Target: int(p.Seed) % p.Routers, Amount: 400})
	}
	slices.SortStableFunc(all, func(a, b Fault) int { return int(a.At - b.At) })
	return all
}

// routerRestart is the longest time from the signal to end until the next process is ready, as far as schedules go.
const routerRestart = 6 * time.Second

// draw draws one fault.
func (p Plan) draw(random *rand.Rand) Fault {
	f := Fault{At: settled + time.Duration(random.Int64N(int64(p.Length-settled))),
		For: shortFault + time.Duration(random.Int64N(int64(longFault-shortFault)))}
	if random.IntN(3) > 0 {
		f.Kind, f.Target = workerFaults[random.IntN(len(workerFaults))], random.IntN(p.Readers+p.Writers)
	} else {
		f.Kind, f.Target = routerFaults[random.IntN(len(routerFaults))], random.IntN(p.Routers)
	}
	switch f.Kind {
	case WorkerSilent, WorkerNeverUp:
		f.Amount = random.IntN(headBytes)
	case WorkerLate:
		f.Amount = int(time.Duration(random.Int64N(int64(lateMost))).Milliseconds())
	case RouterReloads:
		f.Amount = 1 + random.IntN(5)
	case ClockStepped:
		f.Amount = []int{-hour, hour, -5, 5, -1, 1}[random.IntN(6)]
	}
	return f
}

// process names the process that a fault ends or stops, "" for faults that may overlap on one target.
func (f Fault) process() string {
	switch f.Kind {
	case RouterEnds, RouterKilled:
		return fmt.Sprint("router ", f.Target)
	case WorkerStopped, WorkerKilled:
		return fmt.Sprint("worker ", f.Target)
	case WorkerSilent, WorkerNeverUp, WorkerRefuses, WorkerLate: // one state of a proxy
		return fmt.Sprint("network ", f.Target)
	case DiscoverySilent:
		return fmt.Sprint("discovery ", f.Target)
	}
	return ""
}
