package rig

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// Deployment is what all processes of one router are started with.
type Deployment struct {
	Fleet         *Fleet
	Name          string
	Listen        string
	OperatorFile  string // contents of the operator's file, none if empty
	sharedTempDir string // $TMPDIR of the router, the same for both processes of an upgrade
	started       int    // processes
}

// NewDeployment returns a Deployment of one router for a fleet, on a free address.
func (r *Rig) NewDeployment(f *Fleet) (*Deployment, error) {
	d := &Deployment{Fleet: f, Name: "n0", sharedTempDir: filepath.Join(r.TempDir, "shared")}
	if err := os.Mkdir(d.sharedTempDir, 0o700); err != nil {
		return nil, err
	}
	var err error
	d.Listen, err = FreeAddress()
	return d, err
}

// configuration returns the platform's configuration file.
func (d *Deployment) configuration() ([]byte, error) {
	return json.Marshal(map[string]any{"name": d.Name, "listen": d.Listen, "discovery": d.Fleet.Discovery, "seed": fmt.Sprintf("%016x", 0x8c1f+d.started),
		"limits":   map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"known":    map[string]any{"seq": 1, "whole": true, "hosts": d.Fleet.hosts},
		"settings": d.Fleet.Site.settings()})
}

// Router is one process of a router, started with the deploy file's command.
type Router struct {
	Label    string
	Operator string        // address of its operator API
	Exited   chan struct{} // closed once it has ended
	rig      *Rig
	cmd      *exec.Cmd
}

// Start starts a process of the router and waits until it says yes to /status and is ready. Unless it is an upgrade, the
// process gets an empty $TMPDIR. Start must be called on the goroutine that plays the case: the process ends with its thread.
func (r *Rig) Start(d *Deployment, upgrade bool) (*Router, error) {
	d.started++
	p := &Router{Label: fmt.Sprintf("process %d", d.started), Exited: make(chan struct{}), rig: r}
	var err error
	if p.Operator, err = FreeAddress(); err != nil {
		return nil, err
	}
	text, err := d.configuration()
	if err != nil {
		return nil, err
	}
	config := filepath.Join(r.TempDir, fmt.Sprintf("config-%d.json", d.started))
	if err := os.WriteFile(config, text, 0o600); err != nil {
		return nil, err
	}
	if !upgrade {
		if err := os.RemoveAll(d.sharedTempDir); err != nil {
			return nil, err
		}
		if err := os.Mkdir(d.sharedTempDir, 0o700); err != nil {
			return nil, err
		}
	}
	log, err := os.Create(filepath.Join(r.TempDir, fmt.Sprintf("router-%d.log", d.started)))
	if err != nil {
		return nil, err
	}
	defer log.Close()
	p.cmd = exec.Command("/bin/sh", "-c", r.Command)
	p.cmd.Dir, p.cmd.Stdout, p.cmd.Stderr = r.Root, log, log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	p.cmd.Env = append(os.Environ(), "ROUTER_NAME="+d.Name, "ROUTER_LISTEN="+d.Listen, "ROUTER_DISCOVERY="+d.Fleet.Discovery,
		"ROUTER_CONFIG="+config, "ROUTER_OPERATOR="+p.Operator, "TMPDIR="+d.sharedTempDir, "ROWANYARD_OPERATOR=")
	if d.OperatorFile != "" {
		file := filepath.Join(r.TempDir, "operator.json")
		if err := os.WriteFile(file, []byte(d.OperatorFile), 0o600); err != nil {
			return nil, err
		}
		p.cmd.Env = append(p.cmd.Env, "ROWANYARD_OPERATOR="+file)
	}
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	r.mu.Lock()
	r.processes = append(r.processes, p)
	r.mu.Unlock()
	r.Log("platform: %s is started", p.Label)
	go func() {
		err := p.cmd.Wait()
		r.Log("platform: %s has ended: %v", p.Label, err)
		close(p.Exited)
	}()
	err = WaitFor(p.Label+" says yes to /status", 10*time.Second, func() bool {
		return p.HasExited() || call(http.MethodGet, "http://"+p.Operator+"/status") == http.StatusOK
	})
	if err == nil {
		err = WaitFor(p.Label+" is ready", 10*time.Second, func() bool {
			return p.HasExited() || call(http.MethodGet, "http://"+d.Listen+"/health/ready") == http.StatusOK
		})
	}
	if err == nil && p.HasExited() {
		err = fmt.Errorf("%s has ended before it served", p.Label)
	}
	if err == nil {
		r.Log("platform: %s says yes to /status and is ready", p.Label)
	}
	return p, err
}

// HasExited reports whether the process has ended.
func (p *Router) HasExited() bool {
	select {
	case <-p.Exited:
		return true
	default:
		return false
	}
}

// call makes a call on a connection of its own and returns its status, 0 if there was none.
func call(method, url string) int {
	ctx, stop := context.WithTimeout(context.Background(), time.Second)
	defer stop()
	q, err := http.NewRequestWithContext(ctx, method, url, nil)
	if err != nil {
		return 0
	}
	q.Close = true
	res, err := http.DefaultClient.Do(q)
	if err != nil {
		return 0
	}
	res.Body.Close()
	return res.StatusCode
}

// Signal sends a signal to the process.
func (p *Router) Signal(s syscall.Signal) {
	p.rig.Log("platform: %s gets the signal %q", p.Label, s)
	_ = p.cmd.Process.Signal(s)
}

// EndWithin waits until the process has ended, and kills it if that takes longer than limit. It returns when it was killed,
// or 0.
func (p *Router) EndWithin(limit time.Duration) time.Duration {
	select {
	case <-p.Exited:
		return 0
	case <-time.After(limit):
	}
	at := p.rig.Since()
	p.Signal(syscall.SIGKILL)
	<-p.Exited
	return at
}

// kill ends the process at the end of the case.
func (p *Router) kill() {
	if p.HasExited() {
		return
	}
	_ = p.cmd.Process.Kill()
	select {
	case <-p.Exited:
	case <-time.After(5 * time.Second):
	}
}
