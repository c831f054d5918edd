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
	readyWait = 30 * time.Second // a router that is not ready by then has failed
	readyLook = 5 * time.Millisecond
	endWait   = 20 * time.Second // one that has not ended by then is killed
	lastWords = 4 << 10          // bytes of the log that are kept for an error

	reloadWait = 10 * time.Second // settings that are not taken by then are not taken
	reloadLook = 100 * time.Microsecond
)

// Process is the router that is measured, among what it is measured with.
type Process struct {
	fleet   *hollow.Fleet
	door    *registry.Door
	command *exec.Cmd
	address string
	folder  string
	config  config
	scraper scraper
	log     logCounter
	began   time.Time
	ended   chan struct{} // closed once the process has ended

	Ready time.Duration // from the start until it wanted clients
}

// logged is what a router's log has told so far.
type logged struct {
	bytes    int64
	version  int64 // of the latest list
	settings int64 // changes of the settings that were taken
}

// logCounter counts what the router logs and keeps its last words.
type logCounter struct {
	mu   sync.Mutex
	told logged
	last bytes.Buffer
}

func (l *logCounter) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.told.bytes += int64(len(p))
	l.last.Write(p)
	for _, found := range listed.FindAllSubmatch(p, -1) {
		if seq, err := strconv.ParseInt(string(found[1]), 10, 64); err == nil {
			l.told.version = seq
		}
	}
	l.told.settings += int64(bytes.Count(p, newSettings))
	if over := l.last.Len() - lastWords; over > 0 {
		l.last.Next(over)
	}
	return len(p), nil
}

func (l *logCounter) counts() logged {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.told
}

// lastLine is the last whole line of the log.
func (l *logCounter) lastLine() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	lines := strings.Split(strings.TrimSpace(l.last.String()), "\n")
	return lines[len(lines)-1]
}

// Start starts a router's process that knows the given hosts, and waits until it is ready.
func Start(ctx context.Context, o Options, fleet *hollow.Fleet, door *registry.Door, hosts []httpfront.Entry) (*Process, error) {
	r, err := start(o, hosts, door.Address)
	if err != nil {
		return nil, err
	}
	r.fleet, r.door = fleet, door
	if r.Ready, err = r.ready(ctx); err != nil {
		return nil, errors.Join(err, r.End())
	}
	return r, nil
}

// start starts the process.
func start(o Options, hosts []httpfront.Entry, discovery string) (*Process, error) {
	address, err := freeAddress(o.Listen)
	if err != nil {
		return nil, err
	}
	settings, err := Settings(o.Routers, o.Zones, !o.NoProbes)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "scaletest")
	if err != nil {
		return nil, err
	}
	r := &Process{command: exec.Command(o.Program), address: address, folder: folder, ended: make(chan struct{}), config: config{
		Name: "measured", Listen: address, Discovery: discovery, Seed: fmt.Sprintf("%x", o.Seed),
		Limits:   limits{Cores: 1, MemoryMB: o.MemoryMB, Sockets: o.Sockets},
		Known:    httpfront.List{Seq: 1, Whole: true, Hosts: hosts},
		Settings: settings,
	}}
	if err := r.begin(o); err != nil {
		return nil, errors.Join(err, os.RemoveAll(folder))
	}
	go func() {
		_ = r.command.Wait() // its exit status says no more than its log
		close(r.ended)
	}()
	return r, nil
}

// begin writes the router's files and starts it.
func (r *Process) begin(o Options) error {
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
	r.began = time.Now()
	return r.command.Start()
}

// Reload gives the router other settings and returns when it says that it has taken them.
func (r *Process) Reload(ctx context.Context, settings json.RawMessage) error {
	before := r.log.counts().settings
	r.config.Settings = settings
	if err := r.writeConfig(); err != nil {
		return err
	}
	if err := r.command.Process.Signal(syscall.SIGHUP); err != nil {
		return fmt.Errorf("the router has ended: %w", err)
	}
	ctx, stop := context.WithTimeout(ctx, reloadWait)
	defer stop()
	for r.log.counts().settings == before {
		if err := Pause(ctx, reloadLook); err != nil {
			return fmt.Errorf("the router has not taken its new settings: %w: %s", err, r.log.lastLine())
		}
	}
	return nil
}

// freeAddress is an address at which nobody listens: the one that was asked for, or any.
func freeAddress(asked string) (string, error) {
	l, err := net.Listen("tcp", cmp.Or(asked, "127.0.0.1:0"))
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// ready waits until the router wants clients, and tells how long that took.
func (r *Process) ready(ctx context.Context) (time.Duration, error) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for time.Since(r.began) < readyWait {
		if res, err := client.Get("http://" + r.address + "/health/ready"); err == nil {
			res.Body.Close()
			if res.StatusCode == http.StatusOK {
				return time.Since(r.began), nil
			}
		}
		select {
		case <-r.ended:
			return 0, fmt.Errorf("the router ended at its start: %s", r.log.lastLine())
		case <-ctx.Done():
			return 0, ctx.Err()
		case <-time.After(readyLook):
		}
	}
	return 0, fmt.Errorf("the router is not ready after %v: %s", readyWait, r.log.lastLine())
}

// Moment is all counts at one moment.
type Moment struct {
	Process   procstat.Sample
	Workers   hollow.Counts
	Discovery Flow
	Scrapes   Scrapes
	Log       int64 // bytes
}

// Sample takes all counts.
func (r *Process) Sample() (Moment, error) {
	process, err := procstat.Read(r.command.Process.Pid)
	if err != nil {
		return Moment{}, fmt.Errorf("the router has ended: %w: %s", err, r.log.lastLine())
	}
	toDiscovery, fromDiscovery := r.door.Bytes()
	return Moment{Process: process, Workers: r.fleet.Counts(), Log: r.log.counts().bytes, Scrapes: r.scraper.counts(),
		Discovery: Flow{In: fromDiscovery, Out: toDiscovery}}, nil
}

// listed is how the router's log tells of a list.
var listed = regexp.MustCompile(`msg="worker list".* seq=(\d+)`)

// newSettings is how the router's log tells of settings that it has taken.
var newSettings = []byte(`msg="new settings" `)

// Version is the latest version of the list that the router says it has taken, 0 = none.
func (r *Process) Version() int64 { return r.log.counts().version }

// End ends the process.
func (r *Process) End() error {
	_ = r.command.Process.Signal(syscall.SIGTERM) // it may have ended
	select {
	case <-r.ended:
	case <-time.After(endWait):
		_ = r.command.Process.Kill()
		<-r.ended
	}
	return os.RemoveAll(r.folder)
}
