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
	"rowanyard/internal/scale/registry"
	"rowanyard/internal/wallclock"
)

// Programs are the executables of a run.
type Programs struct {
	Router string   // built by package clockstep
	Worker []string // starts a process that calls RunWorker
}

// worker is one worker of a run, over all of its processes.
type worker struct {
	host, kind string
	block      int
	proxy      *faultproxy.Proxy
	command    *exec.Cmd

	health string
	bornMs float64
}

// listing is a change of a worker's health in the list.
type listing struct {
	at     time.Time
	host   string
	health string
}

// deployment is a running plan.
type deployment struct {
	plan     Plan
	run      int32
	programs Programs
	folder   string
	ledger   *ledger
	registry *registry.Registry
	routers  []*router
	workers  []*worker
	clients  *clients

	mu       sync.Mutex // the workers' processes and entries
	listings []listing
	silences []silence
}

// silence is a time in which a router could not hear discovery.
type silence struct {
	router   int
	from, to time.Time
}

const (
	sampleEvery = 100 * time.Millisecond
	settleTime  = 4 * time.Second // after the last fault's end, for what is still open
)

// Run plays a plan and returns what the judge finds.
func Run(plan Plan, programs Programs) (Report, error) {
	folder, err := os.MkdirTemp("", "soak")
	if err != nil {
		return Report{}, err
	}
	defer os.RemoveAll(folder)
	d := &deployment{plan: plan, run: runs.Add(1), programs: programs, folder: folder, clients: &clients{}}
	defer d.close()
	if err := d.assemble(); err != nil {
		return Report{}, err
	}
	d.play()
	return d.judge(), nil
}

// assemble starts all processes.
func (d *deployment) assemble() error {
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
	d.registry = registry.New(d.list().Hosts)
	for i := range d.plan.Routers {
		if err := d.addRouter(i); err != nil {
			return err
		}
	}
	var all sync.WaitGroup
	failed := make([]error, len(d.routers))
	for i, r := range d.routers {
		all.Go(func() { failed[i] = r.start(d.plan.Routers) })
	}
	all.Wait()
	return errors.Join(failed...)
}

func (d *deployment) addRouter(number int) error {
	r := &router{number: number, name: fmt.Sprint("n", number), program: d.programs.Router, hosts: d.list, address: addressOf(d.run, number)}
	var err error
	if r.folder, err = os.MkdirTemp(d.folder, r.name); err != nil {
		return err
	}
	door, err := d.registry.Open()
	if err != nil {
		return err
	}
	if r.discovery, err = faultproxy.Start(door.Address); err != nil {
		return err
	}
	d.routers = append(d.routers, r)
	return nil
}

// list is the list of workers as discovery has it.
func (d *deployment) list() httpfront.List {
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
	return httpfront.Entry{Host: w.host, Dial: w.proxy.Address(), Site: "here", Class: w.kind, Block: w.block, Health: w.health, Share: 1, BornMs: w.bornMs}
}

// startWorker starts a process of a worker behind its proxy.
func (d *deployment) startWorker(w *worker) error {
	incarnation := d.ledger.born(w.host)
	command := exec.Command(d.programs.Worker[0], d.programs.Worker[1:]...)
	command.Env = append(os.Environ(), envLedger+"="+d.ledger.listener.Addr().String(), envHost+"="+w.host, envKind+"="+w.kind,
		fmt.Sprint(envIncarnation, "=", incarnation))
	if _, err := command.StdinPipe(); err != nil { // held open for as long as this process runs
		return err
	}
	out, err := command.StdoutPipe()
	if err != nil {
		return err
	}
	if err := command.Start(); err != nil {
		return err
	}
	line, err := bufio.NewReader(out).ReadString('\n')
	if err != nil {
		return fmt.Errorf("%s: %w", w.host, err)
	}
	d.mu.Lock()
	w.command = command
	d.mu.Unlock()
	address := strings.TrimSpace(line)
	if w.proxy == nil {
		w.proxy, err = faultproxy.Start(address)
		return err
	}
	w.proxy.Retarget(address)
	return nil
}

// play runs the clients and the faults to their end.
func (d *deployment) play() {
	ctx, stop := context.WithCancel(context.Background())
	var clients, faults sync.WaitGroup
	for _, r := range d.routers {
		for n := range d.plan.Clients {
			c := &client{run: d, router: r.number, number: n, random: rand.New(rand.NewPCG(d.plan.Seed, uint64(r.number)<<8|uint64(n)))}
			clients.Go(func() { c.play(ctx, d.clients) })
		}
	}
	clients.Go(func() { d.watchUse(ctx) })
	began := time.Now()
	for _, f := range d.plan.Schedule() {
		faults.Go(func() {
			time.Sleep(time.Until(began.Add(f.At)))
			d.apply(f)
		})
	}
	time.Sleep(d.plan.Length)
	faults.Wait()
	stop()
	clients.Wait()
	time.Sleep(settleTime)
}

// watchUse samples what routers use.
func (d *deployment) watchUse(ctx context.Context) {
	for ctx.Err() == nil {
		for _, r := range d.routers {
			r.sample()
		}
		time.Sleep(sampleEvery)
	}
}

// apply plays one fault to its end.
func (d *deployment) apply(f Fault) {
	switch f.Kind {
	case DiscoverySilent, DiscoveryResets, RouterEnds, RouterKilled, RouterReloads, ClockStepped, Crowd:
		d.applyToRouter(f, d.routers[f.Target])
	default:
		d.applyToWorker(f, d.workers[f.Target])
	}
}

func (d *deployment) applyToRouter(f Fault, r *router) {
	switch f.Kind {
	case DiscoverySilent:
		from := time.Now()
		r.discovery.Set(faultproxy.Silent)
		time.Sleep(f.For)
		r.discovery.Set(faultproxy.None)
		d.mu.Lock()
		d.silences = append(d.silences, silence{r.number, from, time.Now()})
		d.mu.Unlock()
	case DiscoveryResets:
		r.discovery.Reset()
		d.mu.Lock()
		d.silences = append(d.silences, silence{r.number, time.Now(), time.Now().Add(newsDue)}) // until its next call
		d.mu.Unlock()
	case RouterEnds:
		r.terminate()
		_ = r.start(d.plan.Routers)
	case RouterKilled:
		r.kill()
		time.Sleep(f.For)
		_ = r.start(d.plan.Routers)
	case RouterReloads:
		r.reload(f.Amount)
	case ClockStepped:
		_ = r.stepClock(f.Amount)
		time.Sleep(f.For)
		_ = r.stepClock(0)
	case Crowd:
		r.crowd(f.Amount, f.For)
	}
}

func (d *deployment) applyToWorker(f Fault, w *worker) {
	network := func(set func()) {
		set()
		time.Sleep(f.For)
		w.proxy.Set(faultproxy.None)
	}
	switch f.Kind {
	case WorkerSilent:
		network(func() { w.proxy.SetAfter(faultproxy.Silent, f.Amount, 0) })
	case WorkerNeverUp:
		network(func() { w.proxy.SetAfter(faultproxy.NeverUp, f.Amount, 0) })
	case WorkerRefuses:
		network(func() { w.proxy.Set(faultproxy.Refused) })
	case WorkerLate:
		network(func() { w.proxy.SetLate(time.Duration(f.Amount) * time.Millisecond) })
	case WorkerMuted:
		w.proxy.Mute()
	case WorkerResets:
		w.proxy.Reset()
	case WorkerStopped:
		d.signalWorker(w, syscall.SIGSTOP)
		time.Sleep(f.For)
		d.signalWorker(w, syscall.SIGCONT)
	case WorkerKilled:
		d.signalWorker(w, syscall.SIGKILL)
		time.Sleep(f.For)
		if d.startWorker(w) == nil {
			d.relist(w, func() { w.bornMs = float64(wallclock.Milliseconds()) })
		}
	case WorkerDrains:
		d.relist(w, func() { w.health = "draining" })
		time.Sleep(f.For)
		d.relist(w, func() { w.health = "up" })
	}
}

func (d *deployment) signalWorker(w *worker, s os.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	_ = w.command.Process.Signal(s)
	if s == syscall.SIGKILL {
		go w.command.Wait()
	}
}

// relist changes a worker's entry and tells discovery.
func (d *deployment) relist(w *worker, change func()) {
	d.mu.Lock()
	change()
	entry := w.entry()
	d.mu.Unlock()
	d.registry.Change(entry)
	d.mu.Lock()
	d.listings = append(d.listings, listing{time.Now(), w.host, entry.Health})
	d.mu.Unlock()
}

// close ends all that the run has started.
func (d *deployment) close() {
	for _, r := range d.routers {
		if r.command != nil {
			r.kill()
		}
		r.discovery.Close()
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
