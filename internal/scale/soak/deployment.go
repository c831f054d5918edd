package soak

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"time"

	"rowanyard/internal/httpfront"
	"rowanyard/internal/scale/faultproxy"
	"rowanyard/internal/scale/flood"
	"rowanyard/internal/scale/registry"
	"rowanyard/internal/wallclock"
)

// Programs holds the executables of a run.
type Programs struct {
	Router string   // built by clockstep.Build
	Worker []string // command line of a process that calls RunWorker
}

// worker is one worker of a run. Its process may be replaced by a new one during the run.
type worker struct {
	host, kind string
	block      int
	proxy      *faultproxy.Proxy
	command    *exec.Cmd

	health string
	bornMs float64
}

// healthChange is a change of a worker's health in the list that discovery serves.
type healthChange struct {
	at     time.Time
	host   string
	health string
}

// deployment holds the processes and the state of a run.
type deployment struct {
	plan       Plan
	runNumber  int32
	programs   Programs
	dir        string
	ledger     *ledger
	registry   *registry.Registry
	routers    []*router
	workers    []*worker
	requestLog *requestLog

	mu               sync.Mutex // guards the workers' processes and entries, and what follows
	healthChanges    []healthChange
	discoveryOutages []discoveryOutage
	agentSilences    []agentSilence
	workerPauses     []workerPause
	networkDelays    []workerPause // in which a worker's network may have kept what had reached its machine
	standstills      []standstill

	lateness time.Duration // by which this process was woken too late, at most
}

// standstill is a period in which no worker ran, so that nothing could be released.
type standstill struct{ from, to time.Time }

// workerPause is a period in which a worker took nothing of what had reached its machine.
type workerPause struct {
	host     string
	from, to time.Time
	stalled  bool // its machine had taken the beginning of what it was sent
}

// discoveryOutage is a period in which a router received nothing from discovery.
type discoveryOutage struct {
	router   int
	from, to time.Time
}

const (
	sampleInterval       = 100 * time.Millisecond
	latenessInterval     = 10 * time.Millisecond
	deafBeforeStandStill = 200 * time.Millisecond
	deafAfterStandStill  = time.Second
	settleTime           = 4 * time.Second // after the last fault, for open requests and held state
)

// Run carries out a plan and returns the violations that the checks find.
func Run(plan Plan, programs Programs) (Report, error) {
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		return Report{}, err
	}
	defer os.RemoveAll(dir)
	d := &deployment{plan: plan, runNumber: runCount.Add(1), programs: programs, dir: dir, requestLog: &requestLog{}}
	defer d.close()
	if err := d.startProcesses(); err != nil {
		return Report{}, err
	}
	d.runWorkload()
	return d.checkInvariants(), nil
}

// startProcesses starts all processes.
func (d *deployment) startProcesses() error {
	var err error
	if d.ledger, err = startLedger(); err != nil {
		return err
	}
	for i := range d.plan.Readers + d.plan.Writers {
		kind := "reader"
		if i >= d.plan.Readers {
			kind = "writer"
		}
		w := &worker{host: fmt.Sprint(kind, "-", i), kind: kind, block: i % 2, health: "up"}
		d.workers = append(d.workers, w)
		if err := d.startWorker(w); err != nil {
			return err
		}
	}
	d.registry = registry.New(d.workerList().Hosts)
	for i := range d.plan.Routers {
		if err := d.addRouter(i); err != nil {
			return err
		}
	}
	var starts sync.WaitGroup
	errs := make([]error, len(d.routers))
	for i, r := range d.routers {
		starts.Go(func() { errs[i] = r.start(d.plan.Routers) })
	}
	starts.Wait()
	return errors.Join(errs...)
}

func (d *deployment) addRouter(number int) error {
	r := &router{number: number, name: fmt.Sprint("n", number), program: d.programs.Router, listWorkers: d.workerList,
		address: routerAddress(d.runNumber, number)}
	var err error
	if r.dir, err = os.MkdirTemp(d.dir, r.name); err != nil {
		return err
	}
	agent, err := d.startAgent()
	if err != nil {
		return err
	}
	r.addAgent(agent)
	d.routers = append(d.routers, r)
	return nil
}

// workerList returns the list of workers as discovery serves it.
func (d *deployment) workerList() httpfront.List {
	d.mu.Lock()
	defer d.mu.Unlock()
	l := httpfront.List{Seq: 1, Whole: true}
	if d.registry != nil {
		l.Seq = d.registry.Version()
	}
	for _, w := range d.workers {
		l.Hosts = append(l.Hosts, w.entry())
	}
	return l
}

func (w *worker) entry() httpfront.Entry {
	return httpfront.Entry{Host: w.host, Dial: w.proxy.Address(), Site: "here", Class: w.kind, Block: w.block,
		Health: w.health, Share: 1, BornMs: w.bornMs}
}

// startWorker starts a new process for a worker and directs the worker's proxy to it.
func (d *deployment) startWorker(w *worker) error {
	incarnation := d.ledger.newIncarnation(w.host)
	command := exec.Command(d.programs.Worker[0], d.programs.Worker[1:]...)
	command.Env = append(os.Environ(), envLedger+"="+d.ledger.listener.Addr().String(), envHost+"="+w.host, envKind+"="+w.kind,
		fmt.Sprint(envIncarnation, "=", incarnation))
	if _, err := command.StdinPipe(); err != nil { // stays open until this process ends, which ends the worker
		return err
	}
	stdout, err := command.StdoutPipe()
	if err != nil {
		return err
	}
	if err := command.Start(); err != nil {
		return err
	}
	line, err := bufio.NewReader(stdout).ReadString('\n')
	if err != nil {
		return fmt.Errorf("%s: %w", w.host, err)
	}
	d.mu.Lock()
	w.command = command
	d.mu.Unlock()
	address := strings.TrimSpace(line)
	if w.proxy == nil {
		if w.proxy, err = faultproxy.StartSmall(address); err == nil && w.kind == "writer" {
			w.proxy.RecordAnswers()
		}
		return err
	}
	w.proxy.Retarget(address)
	return nil
}

// runWorkload runs the clients and injects the scheduled faults.
func (d *deployment) runWorkload() {
	ctx, stop := context.WithCancel(context.Background())
	var clients, faults sync.WaitGroup
	for _, r := range d.routers {
		for n := range d.plan.Clients {
			c := &client{harness: d, router: r.number, number: n, random: rand.New(rand.NewPCG(d.plan.Seed, uint64(r.number)<<8|uint64(n)))}
			clients.Go(func() { c.run(ctx, d.requestLog) })
		}
	}
	clients.Go(func() { d.sampleRouters(ctx) })
	clients.Go(func() { d.watchLateness(ctx) })
	startedAt := time.Now()
	for _, f := range d.plan.Schedule() {
		faults.Go(func() {
			time.Sleep(time.Until(startedAt.Add(f.At)))
			d.inject(f)
		})
	}
	time.Sleep(d.plan.Length)
	faults.Wait()
	stop()
	clients.Wait()
	time.Sleep(settleTime)
}

// watchLateness records how late this process is woken at most, which tells how busy the machine is.
func (d *deployment) watchLateness(ctx context.Context) {
	for ctx.Err() == nil {
		due := time.Now().Add(latenessInterval)
		time.Sleep(latenessInterval)
		d.lateness = max(d.lateness, time.Since(due))
	}
}

// sampleRouters samples the resource usage of all routers until ctx ends.
func (d *deployment) sampleRouters(ctx context.Context) {
	for ctx.Err() == nil {
		for _, r := range d.routers {
			r.sample()
		}
		time.Sleep(sampleInterval)
	}
}

// inject injects one fault and ends it after its duration.
func (d *deployment) inject(f Fault) {
	switch f.Kind {
	case DiscoverySilent, DiscoveryResets, RouterTerminated, RouterKilled, RouterReloads, ClockStepped, IdleConnections, Flood, SlowCrowd:
		d.injectIntoRouter(f, d.routers[f.Target])
	case AgentSilent, AgentMoved, AgentMovedTwice:
		d.injectIntoAgent(f, d.routers[f.Target])
	case WorkersStopped:
		d.signalGroup(d.plan.group(f), f.Duration, syscall.SIGSTOP, syscall.SIGCONT)
	case WorkersDeaf:
		d.signalGroup(d.plan.group(f), f.Duration, signalDeaf, signalHearing)
	case WorkersStandStill:
		d.standStill(f)
	case WorkersStall:
		d.stallGroup(f)
	case AnswersSpoilt:
		d.spoilAnswers(f)
	case AnswersStartLate:
		d.delayStarts(f)
	case RouterHeldUp:
		d.routers[f.Target].holdUp(f)
	case ReadsBroken:
		breaking, deaf := d.plan.splitReaders(f)
		var both sync.WaitGroup
		both.Go(func() { d.signalGroup(breaking, f.Duration, signalBreaks, signalWhole) })
		both.Go(func() { d.signalGroup(deaf, f.Duration, signalDeaf, signalHearing) })
		both.Wait()
	default:
		d.injectIntoWorker(f, d.workers[f.Target])
	}
}

func (d *deployment) injectIntoRouter(f Fault, r *router) {
	switch f.Kind {
	case DiscoverySilent:
		from, agent := time.Now(), r.agent()
		agent.proxy.Set(faultproxy.Silent)
		time.Sleep(f.Duration)
		agent.proxy.Set(faultproxy.None)
		d.mu.Lock()
		d.discoveryOutages = append(d.discoveryOutages, discoveryOutage{r.number, from, time.Now()})
		d.mu.Unlock()
	case DiscoveryResets:
		r.agent().proxy.Reset()
		d.mu.Lock()
		// The outage lasts until the router reconnects.
		d.discoveryOutages = append(d.discoveryOutages, discoveryOutage{r.number, time.Now(), time.Now().Add(discoveryDelayLimit)})
		d.mu.Unlock()
	case RouterTerminated:
		r.terminate(f.Amount)
		_ = r.start(d.plan.Routers)
	case RouterKilled:
		r.kill()
		time.Sleep(f.Duration)
		_ = r.start(d.plan.Routers)
	case RouterReloads:
		r.reload(f.Amount)
	case ClockStepped:
		_ = r.stepClock(f.Amount)
		time.Sleep(f.Duration)
		_ = r.stepClock(0)
	case IdleConnections:
		r.openIdleConnections(f.Amount, f.Duration)
	case Flood, SlowCrowd:
		ctx, stop := context.WithTimeout(context.Background(), f.Duration)
		defer stop()
		flood.Run(ctx, flood.Options{Address: r.address, Kind: f.clientKind(), Connections: f.Amount, Name: strings.ReplaceAll(string(f.Kind), " ", "")})
	}
}

func (d *deployment) injectIntoWorker(f Fault, w *worker) {
	injectNetworkFault := func(set func()) { d.delayNetwork(w, f, set) }
	switch f.Kind {
	case WorkerSilent:
		injectNetworkFault(func() { w.proxy.SetAfter(faultproxy.Silent, f.Amount, 0) })
	case WorkerUnreachable:
		injectNetworkFault(func() { w.proxy.SetAfter(faultproxy.Unreachable, f.Amount, 0) })
	case WorkerRefuses:
		injectNetworkFault(func() { w.proxy.Set(faultproxy.Refused) })
	case WorkerDelayed:
		injectNetworkFault(func() { w.proxy.SetDelayed(time.Duration(f.Amount) * time.Millisecond) })
	case WorkerOpenSilent:
		w.proxy.SilenceOpen()
	case WorkerResets:
		w.proxy.Reset()
	case WorkerStopped:
		from := time.Now()
		d.signalWorker(w, syscall.SIGSTOP)
		time.Sleep(f.Duration)
		d.signalWorker(w, syscall.SIGCONT)
		d.recordPause(w, from)
	case WorkerKilled:
		d.signalWorker(w, syscall.SIGKILL)
		time.Sleep(f.Duration)
		if d.startWorker(w) == nil {
			d.changeEntry(w, func() { w.bornMs = float64(wallclock.Milliseconds()) })
		}
	case WorkerDrains:
		d.changeEntry(w, func() { w.health = "draining" })
		time.Sleep(f.Duration)
		d.changeEntry(w, func() { w.health = "up" })
	}
}

// stallGroup has many workers read no more, each in the middle of what it is sent.
func (d *deployment) stallGroup(f Fault) {
	var all sync.WaitGroup
	for _, i := range d.plan.group(f) {
		w := d.workers[i]
		all.Go(func() {
			d.delayNetwork(w, f, func() { w.proxy.SetAfter(faultproxy.Stalled, f.bytesBeforeStall(), 0) })
		})
	}
	all.Wait()
}

// spoilAnswers has some answers of all workers come twice, or have no end.
func (d *deployment) spoilAnswers(f Fault) {
	for i, w := range d.workers {
		w.proxy.SetAnswers(f.answerFaults(i))
	}
	time.Sleep(f.Duration)
	for _, w := range d.workers {
		w.proxy.SetAnswers(nil)
	}
}

// delayStarts has many workers answer no calls, and attempts late.
func (d *deployment) delayStarts(f Fault) {
	group := d.plan.group(f)
	for _, i := range group {
		d.workers[i].proxy.SetAnswers(f.lateStarts(i, i < d.plan.Readers))
		d.workers[i].proxy.MuteCalls(true)
	}
	time.Sleep(f.Duration)
	for _, i := range group {
		d.workers[i].proxy.SetAnswers(nil)
		d.workers[i].proxy.MuteCalls(false)
	}
}

// delayNetwork sets a fault of a worker's network for its duration.
func (d *deployment) delayNetwork(w *worker, f Fault, set func()) {
	from := time.Now()
	set()
	time.Sleep(f.Duration)
	w.proxy.Set(faultproxy.None)
	d.mu.Lock()
	defer d.mu.Unlock()
	to := time.Now()
	if f.Kind == WorkerDelayed { // the last connection that it has delayed is served then
		to = to.Add(time.Duration(f.Amount) * time.Millisecond)
	}
	d.networkDelays = append(d.networkDelays, workerPause{w.host, from, to, f.Kind == WorkersStall})
}

// standStill stops all workers shortly after the writers have ceased to take attempts, so that states are held as they stop. The
// writers take attempts again some time after all run.
func (d *deployment) standStill(f Fault) {
	all := d.plan.all()
	var both sync.WaitGroup
	both.Go(func() {
		d.signalGroup(all[d.plan.Readers:], deafBeforeStandStill+f.Duration+deafAfterStandStill, signalDeaf, signalHearing)
	})
	both.Go(func() {
		time.Sleep(deafBeforeStandStill)
		from := time.Now()
		d.signalGroup(all, f.Duration, syscall.SIGSTOP, syscall.SIGCONT)
		d.mu.Lock()
		d.standstills = append(d.standstills, standstill{from, time.Now()})
		d.mu.Unlock()
	})
	both.Wait()
}

// signalGroup sends one signal to many workers, and another one after the given time.
func (d *deployment) signalGroup(group []int, duration time.Duration, begin, end os.Signal) {
	from := time.Now()
	for _, i := range group {
		d.signalWorker(d.workers[i], begin)
	}
	time.Sleep(duration)
	for _, i := range group {
		d.signalWorker(d.workers[i], end)
		d.recordPause(d.workers[i], from)
	}
}

// recordPause records that a worker took nothing from the given time until now.
func (d *deployment) recordPause(w *worker, from time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.workerPauses = append(d.workerPauses, workerPause{host: w.host, from: from, to: time.Now()})
}

func (d *deployment) signalWorker(w *worker, s os.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	_ = w.command.Process.Signal(s)
	if s == syscall.SIGKILL {
		go w.command.Wait()
	}
}

// changeEntry changes a worker's entry and publishes it through discovery.
func (d *deployment) changeEntry(w *worker, change func()) {
	d.changeEntries([]*worker{w}, func(*worker) { change() })
}

// changeEntries changes the entries of workers and publishes them through discovery as one version.
func (d *deployment) changeEntries(workers []*worker, change func(*worker)) {
	var entries []httpfront.Entry
	d.mu.Lock()
	for _, w := range workers {
		change(w)
		entries = append(entries, w.entry())
	}
	d.mu.Unlock()
	d.registry.Update(entries...)
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, entry := range entries {
		d.healthChanges = append(d.healthChanges, healthChange{time.Now(), entry.Host, entry.Health})
	}
}

// close ends everything that the run has started.
func (d *deployment) close() {
	for _, r := range d.routers {
		if r.command != nil {
			r.kill()
		}
		r.closeAgents()
	}
	for _, w := range d.workers {
		if w.command != nil {
			_ = w.command.Process.Kill()
			_ = w.command.Wait()
		}
		if w.proxy != nil {
			w.proxy.Close()
		}
	}
	if d.registry != nil {
		d.registry.Close()
	}
	if d.ledger != nil {
		d.ledger.listener.Close()
	}
}
