package onerouter

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"rowanyard/internal/httpfront"
	"rowanyard/internal/scale/hollow"
	"rowanyard/internal/scale/procstat"
	"rowanyard/internal/scale/registry"
)

const (
	readyTimeout      = 30 * time.Second // a router that is not ready by then has failed to start
	readyPollInterval = 5 * time.Millisecond
	stopTimeout       = 20 * time.Second // a router that has not exited this long after SIGTERM is killed
	logTailBytes      = 4 << 10          // end of the log that is kept for error messages

	reloadTimeout      = 10 * time.Second // a reload that has not been logged by then has failed
	reloadPollInterval = 100 * time.Microsecond
)

// Process is the measured router, with the components whose counts belong to it.
type Process struct {
	fleet     *hollow.Fleet
	endpoint  *registry.Endpoint
	command   *exec.Cmd
	address   string
	dir       string
	config    config
	scraper   scraper
	log       logCounter
	startedAt time.Time
	exited    chan struct{} // closed once the process has exited

	StartupTime time.Duration // from the start until the router was ready
}

// logCounts holds counts and versions from the router's log so far.
type logCounts struct {
	bytes    int64
	version  int64 // version of the latest worker list that the router applied
	settings int64 // number of changes of the settings that it applied
}

// logCounter parses and counts the router's log, and keeps its end.
type logCounter struct {
	mu      sync.Mutex
	current logCounts
	tail    bytes.Buffer
}

func (l *logCounter) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.current.bytes += int64(len(p))
	l.tail.Write(p)
	for _, found := range listAppliedPattern.FindAllSubmatch(p, -1) {
		if seq, err := strconv.ParseInt(string(found[1]), 10, 64); err == nil {
			l.current.version = seq
		}
	}
	l.current.settings += int64(bytes.Count(p, settingsAppliedText))
	if over := l.tail.Len() - logTailBytes; over > 0 {
		l.tail.Next(over)
	}
	return len(p), nil
}

func (l *logCounter) counts() logCounts {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.current
}

// lastLine returns the last line of the log.
func (l *logCounter) lastLine() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	lines := strings.Split(strings.TrimSpace(l.tail.String()), "\n")
	return lines[len(lines)-1]
}

// Start starts a router process with the given hosts in its configuration, and waits until it is ready.
func Start(ctx context.Context, o Options, fleet *hollow.Fleet, endpoint *registry.Endpoint, hosts []httpfront.Entry) (*Process, error) {
	r, err := startProcess(o, hosts, endpoint.Address)
	if err != nil {
		return nil, err
	}
	r.fleet, r.endpoint = fleet, endpoint
	if r.StartupTime, err = r.waitReady(ctx); err != nil {
		return nil, errors.Join(err, r.Stop())
	}
	return r, nil
}

// startProcess writes the files of a router and starts its process.
func startProcess(o Options, hosts []httpfront.Entry, discovery string) (*Process, error) {
	address, err := freeAddress(o.Listen)
	if err != nil {
		return nil, err
	}
	settings, err := Settings(o.Routers, o.Zones, !o.NoProbes)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "scaletest")
	if err != nil {
		return nil, err
	}
	r := &Process{command: exec.Command(o.Program), address: address, dir: dir, exited: make(chan struct{}), config: config{
		Name: "measured", Listen: address, Discovery: discovery, Seed: fmt.Sprintf("%x", o.Seed),
		Limits:   routerLimits{Cores: 1, MemoryMB: o.MemoryMB, Sockets: o.Sockets},
		Known:    httpfront.List{Seq: 1, Whole: true, Hosts: hosts},
		Settings: settings,
	}}
	if err := r.launch(o); err != nil {
		return nil, errors.Join(err, os.RemoveAll(dir))
	}
	go func() {
		_ = r.command.Wait() // errors quote the log, which is more specific than the exit status
		close(r.exited)
	}()
	return r, nil
}

// launch writes the router's files and starts the process.
func (r *Process) launch(o Options) error {
	if err := r.writeConfig(); err != nil {
		return err
	}
	r.command.Env = append(os.Environ(), "ROUTER_CONFIG="+r.configFile())
	if o.Reload || o.Scrape > 0 {
		if err := r.writeOperatorFile(o); err != nil {
			return err
		}
		r.command.Env = append(r.command.Env, "ROWANYARD_OPERATOR="+r.operatorFile())
	}
	r.command.Stderr = &r.log
	r.startedAt = time.Now()
	return r.command.Start()
}

// Reload gives the router other settings and waits until it logs that it has applied them.
func (r *Process) Reload(ctx context.Context, settings json.RawMessage) error {
	before := r.log.counts().settings
	r.config.Settings = settings
	if err := r.writeConfig(); err != nil {
		return err
	}
	if err := r.command.Process.Signal(syscall.SIGHUP); err != nil {
		return fmt.Errorf("the router has exited: %w", err)
	}
	ctx, stop := context.WithTimeout(ctx, reloadTimeout)
	defer stop()
	for r.log.counts().settings == before {
		if err := Sleep(ctx, reloadPollInterval); err != nil {
			return fmt.Errorf("the router did not apply its new settings: %w: %s", err, r.log.lastLine())
		}
	}
	return nil
}

// freeAddress returns the wanted address, or one with any free port if it is empty, after checking that nothing
// listens there.
func freeAddress(wanted string) (string, error) {
	l, err := net.Listen("tcp", cmp.Or(wanted, "127.0.0.1:0"))
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// waitReady waits until the router is ready, and returns how long that took.
func (r *Process) waitReady(ctx context.Context) (time.Duration, error) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for time.Since(r.startedAt) < readyTimeout {
		if res, err := client.Get("http://" + r.address + "/health/ready"); err == nil {
			res.Body.Close()
			if res.StatusCode == http.StatusOK {
				return time.Since(r.startedAt), nil
			}
		}
		select {
		case <-r.exited:
			return 0, fmt.Errorf("the router exited during startup: %s", r.log.lastLine())
		case <-ctx.Done():
			return 0, ctx.Err()
		case <-time.After(readyPollInterval):
		}
	}
	return 0, fmt.Errorf("the router is not ready after %v: %s", readyTimeout, r.log.lastLine())
}

// Snapshot holds all counts at one time.
type Snapshot struct {
	Process   procstat.Sample
	Workers   hollow.Counts
	Discovery Traffic
	Scrapes   Scrapes
	LogBytes  int64 // bytes of the router's log
}

// Sample returns all current counts.
func (r *Process) Sample() (Snapshot, error) {
	process, err := procstat.Read(r.command.Process.Pid)
	if err != nil {
		return Snapshot{}, fmt.Errorf("the router has exited: %w: %s", err, r.log.lastLine())
	}
	toDiscovery, fromDiscovery := r.endpoint.Bytes()
	return Snapshot{Process: process, Workers: r.fleet.Counts(), LogBytes: r.log.counts().bytes, Scrapes: r.scraper.counts(),
		Discovery: Traffic{In: fromDiscovery, Out: toDiscovery}}, nil
}

// listAppliedPattern matches the log line of a router that has applied a worker list.
var listAppliedPattern = regexp.MustCompile(`msg="worker list".* seq=(\d+)`)

// settingsAppliedText occurs in the log line of a router that has applied changed settings.
var settingsAppliedText = []byte(`msg="new settings" `)

// ListVersion returns the latest version of the list that the router has logged, or 0 if there is none.
func (r *Process) ListVersion() int64 { return r.log.counts().version }

// Stop stops the process and removes its files.
func (r *Process) Stop() error {
	_ = r.command.Process.Signal(syscall.SIGTERM) // it may have exited already
	select {
	case <-r.exited:
	case <-time.After(stopTimeout):
		_ = r.command.Process.Kill()
		<-r.exited
	}
	return os.RemoveAll(r.dir)
}
