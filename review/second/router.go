package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// record notes what was sent, answered and run, in order of time.
type record struct {
	mu    sync.Mutex
	start time.Time
	file  *os.File
}

func (r *record) add(who, id, format string, a ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%7d ms  %-8s %-20s %s\n", time.Since(r.start).Milliseconds(), who, id, fmt.Sprintf(format, a...))
}

// settings returns the settings of a small deployment, as WIRE describes them: one router, readers and writers of one zone,
// and two classes of the same terms, of which the second must not run twice.
func settings(deadline time.Duration, resume bool) map[string]any {
	class := func(name, effect string) map[string]any {
		return map[string]any{"name": name, "credit": 1.0, "dedup_scope": "all", "effect": effect, "hard_limit": deadline.Microseconds(), "late_value": 0.1,
			"streamed": true, "target": 1_200_000, "window": 5_000_000}
	}
	return map[string]any{
		"clients": map[string]any{"marks_retry": true}, "discovery": "pushed", "family": "twostage", "granularity": 2000,
		"domain": map[string]any{"aim_us_per_1000_prompt_tokens": []float64{40000, 40000}, "cross_cell_price": 0.02, "early_pairing": true,
			"kind_role": []string{"read", "write"}, "kv_tokens": []int{290000, 210000}, "pin_limit": 300000, "resume": resume,
			"token_aim": []float64{60000, 80000}, "writers_read": false},
		"host_types": []string{"reader", "writer"},
		"limits": map[string]any{"cancelling": true, "conn_idle": 15_000_000, "connect_timeout": 250_000, "cpu_us_per_s": 400_000, "max_open": 20000,
			"max_retry_after": 500_000, "may_duplicate": true, "may_tell": false, "probing": false, "retry_after": true, "send_cap": 4, "streams_per_conn": 100},
		"me": 0, "n_instances": 1, "over_share_worth": 0.2, "parties": []any{},
		"report":          map[string]any{"names": []string{}, "source": "off"},
		"request_classes": []any{class("draft-reply", "read_like"), class("send-message", "non_idempotent")},
		"rules": map[string]any{"answer_slack": 8000, "ask_every": 10_000_000, "cold_from": 0.34, "drain_grace": 500_000, "fall": 2_000_000,
			"overload_factor": 2.5, "ramp_time": 13_000_000},
		"tier": 0, "tiers": []string{"model-fleet"}, "weights": "off", "worth_by": "work", "zone": 0, "zones": []string{"here"},
	}
}

// router is a process of this project, started as the platform does.
type router struct {
	cmd      *exec.Cmd
	listen   string
	operator string
	stopped  chan struct{} // closed once it has ended
}

// freeAddr returns a loopback address on which nobody listens.
func freeAddr() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return ""
	}
	defer l.Close()
	return l.Addr().String()
}

// startRouter starts a router and waits until it is ready.
func startRouter(r *record, f *fleet, dir string, sockets int, set map[string]any) (*router, error) {
	return startProcess(r, f, dir, filepath.Join(dir, "tmp"), freeAddr(), sockets, set)
}

// startProcess starts a process of a router at the address listen and waits until GET /status says yes.
func startProcess(r *record, f *fleet, dir, tmp, listen string, sockets int, set map[string]any) (*router, error) {
	listed, _ := f.listText()
	x := &router{listen: listen, operator: freeAddr(), stopped: make(chan struct{})}
	config, err := json.Marshal(map[string]any{"name": "n1", "listen": x.listen, "discovery": f.discovery, "operator": x.operator, "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 1.0, "memory_mb": 128, "sockets": sockets}, "known": json.RawMessage(listed), "settings": set})
	if err != nil {
		return nil, err
	}
	path := filepath.Join(dir, "config-"+strings.ReplaceAll(x.operator, ":", "-")+".json")
	if err := os.WriteFile(path, config, 0o600); err != nil {
		return nil, err
	}
	run, err := deployCommand("run")
	if err != nil {
		return nil, err
	}
	log, err := os.OpenFile(filepath.Join(dir, "router.log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	if err := os.MkdirAll(tmp, 0o700); err != nil {
		return nil, err
	}
	x.cmd = exec.Command("/bin/sh", "-c", run)
	x.cmd.Env = append(os.Environ(), "ROUTER_CONFIG="+path, "ROUTER_NAME=n1", "ROUTER_LISTEN="+x.listen, "ROUTER_DISCOVERY="+f.discovery, "ROUTER_OPERATOR="+x.operator, "TMPDIR="+tmp)
	x.cmd.Stdout, x.cmd.Stderr = log, log
	x.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := x.cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		_ = x.cmd.Wait()
		r.add("platform", "", "process %d has ended: %s", x.cmd.Process.Pid, x.cmd.ProcessState)
		close(x.stopped)
	}()
	for range 100 {
		if res, err := http.Get("http://" + x.operator + "/status"); err == nil {
			res.Body.Close()
			if res.StatusCode == http.StatusOK {
				return x, nil
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	x.end()
	return nil, fmt.Errorf("the router is not ready after 10 s")
}

// deployCommand returns a command of the deploy file.
func deployCommand(name string) (string, error) {
	text, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		return "", err
	}
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(line, name+` = "`); ok {
			value, _, _ = strings.Cut(value, `"`)
			return value, nil
		}
	}
	return "", fmt.Errorf("deploy/balancer.toml: no %s", name)
}

// end kills the router if it still runs.
func (x *router) end() {
	_ = x.cmd.Process.Kill()
	<-x.stopped
}
