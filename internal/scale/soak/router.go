package soak

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"rowanyard/internal/httpfront"
	"rowanyard/internal/scale/clockstep"
	"rowanyard/internal/scale/procstat"
	"rowanyard/internal/standin"
)

// Limits and times that the platform sets for a router's process, and intervals and ports of the test.
const (
	routerMemoryMB       = 192
	routerPeakMB         = routerMemoryMB * 6 / 10
	routerMaxDescriptors = 512
	readyTimeout         = 10 * time.Second
	killAfter            = 3700 * time.Millisecond // after SIGTERM: the longest deadline, at most 3 s, and 0.7 s
	admitAfterTerm       = 300 * time.Millisecond  // clients still open connections for this long after SIGTERM
	readyPollInterval    = 10 * time.Millisecond
	reloadInterval       = 20 * time.Millisecond
	minReloadAge         = time.Second // of a process that gets SIGHUP
	routerBasePort       = 10_000
)

// router is one router of a run. Its process may be replaced by a new one during the run.
type router struct {
	number      int
	name        string
	address     string
	dir         string
	program     string
	listWorkers func() httpfront.List

	mu           sync.Mutex
	agents       []*discoveryAgent // the last one is the one that the configuration names
	command      *exec.Cmd
	startedAt    time.Time // of the current process
	log          []logLine
	processes    int
	admitting    bool            // whether clients may open connections
	exits        []processExit   // how its processes were ended
	startupTimes []time.Duration // from start to readiness, of each process
	notReady     int             // number of processes that were not ready in time
	crashed      []string        // exit statuses of processes that exited by themselves
	peak         procstat.Sample
}

// processExit records when the test ended a process.
type processExit struct {
	incarnation  int
	terminatedAt time.Time // SIGTERM; zero: none was sent
	killedAt     time.Time
}

// logLine is a line of the router's log with the time of its arrival by this process's clock, as the router's own clock may be
// stepped, and the time at which it was logged, where that is known: lines are written in the background, and may arrive late.
type logLine struct {
	at     time.Time
	text   string
	logged time.Time
}

// Write implements io.Writer for the router's log.
func (r *router) Write(p []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	for line := range strings.Lines(string(p)) {
		r.log = append(r.log, logLine{now, strings.TrimSpace(line), writtenAt(line, now)})
	}
	return len(p), nil
}

const (
	maxLogDelay      = 900 * time.Millisecond // less than the smallest step of a router's clock
	logTimePrecision = time.Millisecond
)

// writtenAt returns when a line was logged by its own time, if that is shortly before its arrival, and when it arrived otherwise: the
// router's clock is stepped then, as each step is longer than maxLogDelay.
func writtenAt(line string, arrived time.Time) time.Time {
	text, _, _ := strings.Cut(strings.TrimPrefix(line, "time="), " ")
	if at, err := time.Parse(time.RFC3339Nano, text); err == nil && at.Before(arrived) && arrived.Sub(at) < maxLogDelay {
		return at
	}
	return arrived
}

func (r *router) currentIncarnation() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.processes
}

func (r *router) isAdmitting() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.admitting
}

func (r *router) setAdmitting(on bool) {
	r.mu.Lock()
	r.admitting = on
	r.mu.Unlock()
}

// routerSettings returns the settings of the stand-in, adapted to one of several routers.
func routerSettings(number, routers int) (json.RawMessage, error) {
	var all map[string]any
	if err := json.Unmarshal(standin.Settings(), &all); err != nil {
		return nil, err
	}
	all["me"], all["n_instances"] = number, routers
	return json.Marshal(all)
}

// writeConfig writes the router's configuration file.
func (r *router) writeConfig(routers int) error {
	settings, err := routerSettings(r.number, routers)
	if err != nil {
		return err
	}
	text, err := json.Marshal(map[string]any{"name": r.name, "listen": r.address, "discovery": r.agent().proxy.Address(),
		"seed": fmt.Sprintf("%x", r.number+1),
		"limits": map[string]any{"cores": 1, "memory_mb": routerMemoryMB,
			"sockets": routerMaxDescriptors}, "known": r.listWorkers(), "settings": settings})
	if err != nil {
		return err
	}
	return os.WriteFile(r.file("config.json"), text, 0o600)
}

func (r *router) file(name string) string { return filepath.Join(r.dir, name) }

// start starts a process and returns once it is ready or readyTimeout has passed.
func (r *router) start(routers int) error {
	if err := r.writeConfig(routers); err != nil {
		return err
	}
	command := exec.Command(r.program)
	command.Env = append(os.Environ(), "ROUTER_CONFIG="+r.file("config.json"), "TMPDIR="+r.dir, "ROWANYARD_LOG=debug",
		clockstep.FileVariable+"="+r.file("clock"))
	command.Stderr, command.Stdout = r, r
	if err := command.Start(); err != nil {
		return err
	}
	startedAt := time.Now()
	r.mu.Lock()
	r.command, r.startedAt = command, startedAt
	r.processes++
	incarnation := r.processes
	r.mu.Unlock()
	go r.watchProcess(command, incarnation)
	for time.Since(startedAt) < readyTimeout {
		if r.isReady() {
			r.mu.Lock()
			r.startupTimes = append(r.startupTimes, time.Since(startedAt))
			r.mu.Unlock()
			r.setAdmitting(true)
			return nil
		}
		time.Sleep(readyPollInterval)
	}
	r.mu.Lock()
	r.notReady++
	r.mu.Unlock()
	return nil
}

// watchProcess waits for a process and records its exit status if it exited by itself.
func (r *router) watchProcess(command *exec.Cmd, incarnation int) {
	err := command.Wait()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range r.exits {
		if e.incarnation == incarnation {
			return
		}
	}
	r.crashed = append(r.crashed, fmt.Sprint(err))
}

func (r *router) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := client.Get("http://" + r.address + "/health/ready")
	if err != nil {
		return false
	}
	res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// recordExit records how the current process is about to be ended, so that watchProcess does not take that for a crash.
func (r *router) recordExit(e processExit) *os.Process {
	r.mu.Lock()
	defer r.mu.Unlock()
	e.incarnation = r.processes
	for i := range r.exits {
		if r.exits[i].incarnation == e.incarnation { // a SIGTERM before the kill
			r.exits[i].killedAt = e.killedAt
			return r.command.Process
		}
	}
	r.exits = append(r.exits, e)
	return r.command.Process
}

// kill ends the process with SIGKILL.
func (r *router) kill() {
	r.setAdmitting(false)
	_ = r.recordExit(processExit{killedAt: time.Now()}).Kill()
}

// terminate ends the process as the platform does: SIGTERM while clients still connect for a while, then SIGKILL at the
// earliest time at which the platform may send it. As many SIGHUP as reloads says come in the series with SIGTERM, before and after.
func (r *router) terminate(reloads int) {
	if reloads > 0 {
		r.reload(reloads)
	}
	p := r.recordExit(processExit{terminatedAt: time.Now()})
	_ = p.Signal(syscall.SIGTERM)
	for range reloads {
		_ = p.Signal(syscall.SIGHUP)
	}
	time.Sleep(admitAfterTerm)
	r.setAdmitting(false)
	_ = p.Signal(syscall.SIGTERM) // the platform may repeat signals
	time.Sleep(killAfter - admitAfterTerm)
	r.recordExit(processExit{killedAt: time.Now()})
	_ = p.Kill()
}

// awaitReloadable waits until the process may get SIGHUP, for at most readyTimeout.
func (r *router) awaitReloadable() {
	for began := time.Now(); time.Since(began) < readyTimeout; time.Sleep(readyPollInterval) {
		r.mu.Lock()
		reloadable := r.admitting && time.Since(r.startedAt) >= minReloadAge
		r.mu.Unlock()
		if reloadable {
			return
		}
	}
}

// reload sends a series of SIGHUP.
func (r *router) reload(times int) {
	r.awaitReloadable()
	for range times {
		r.signal(syscall.SIGHUP)
		time.Sleep(reloadInterval)
	}
}

// holdUp stops the process and lets it go on, again and again.
func (r *router) holdUp(f Fault) {
	random := rand.New(rand.NewPCG(f.Choice, uint64(r.number)))
	for began := time.Now(); time.Since(began) < f.Duration; {
		r.signal(syscall.SIGSTOP)
		time.Sleep(minHeldUp + time.Duration(random.Int64N(int64(maxHeldUp-minHeldUp))))
		r.signal(syscall.SIGCONT)
		time.Sleep(minHeldUpPause + time.Duration(random.Int64N(int64(maxHeldUpPause-minHeldUpPause))))
	}
}

func (r *router) signal(s os.Signal) {
	r.mu.Lock()
	p := r.command.Process
	r.mu.Unlock()
	_ = p.Signal(s)
}

// stepClock steps the wall clock of the current process and of later ones to the given offset.
func (r *router) stepClock(seconds int) error {
	if err := clockstep.WriteOffset(r.file("clock"), seconds); err != nil {
		return err
	}
	r.signal(syscall.SIGUSR1)
	return nil
}

// sample updates the peak resource usage of the router's processes.
func (r *router) sample() {
	r.mu.Lock()
	defer r.mu.Unlock()
	s, err := procstat.Read(r.command.Process.Pid)
	if err != nil {
		return
	}
	r.peak.Resident = max(r.peak.Resident, s.Resident)
	r.peak.Descriptors = max(r.peak.Descriptors, s.Descriptors)
}

// lines returns the lines of the log that contain text.
func (r *router) lines(text string) (found []logLine) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, line := range r.log {
		if strings.Contains(line.text, text) {
			found = append(found, line)
		}
	}
	return found
}

// openIdleConnections opens connections on which nothing is sent and closes them after the given time.
func (r *router) openIdleConnections(count int, during time.Duration) {
	var conns []net.Conn
	for range count {
		if c, err := net.DialTimeout("tcp", r.address, dialTimeout); err == nil {
			conns = append(conns, c)
		}
	}
	time.Sleep(during)
	for _, c := range conns {
		c.Close()
	}
}

// runCount counts the runs in this process, so that each gets its own addresses.
var runCount atomic.Int32

// routerAddress returns the address at which a router of a run listens. Its port lies outside the range that the kernel
// assigns to outgoing connections, so that the address is free when the router's next process starts.
func routerAddress(run int32, router int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d:%d", 64+pid%64, pid/64%256, 1+router, routerBasePort+int(run))
}

var _ io.Writer = (*router)(nil)
