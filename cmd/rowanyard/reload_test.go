package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"

	"rowanyard/internal/standin"
)

const reloadEnabled = `{"settings": {"reload": true}}`

// withSettings replaces old, which must be present, by new in the settings of a configuration.
func withSettings(t *testing.T, config []byte, old, new string) []byte {
	t.Helper()
	var whole map[string]json.RawMessage
	if err := json.Unmarshal(config, &whole); err != nil {
		t.Fatal(err)
	}
	var settings bytes.Buffer
	if err := json.Compact(&settings, whole["settings"]); err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(settings.String(), old) {
		t.Fatalf("no %q in %s", old, settings.String())
	}
	whole["settings"] = json.RawMessage(strings.Replace(settings.String(), old, new, 1))
	text, err := json.Marshal(whole)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// reload replaces the configuration, sends SIGHUP and waits for a log line that matches line.
func (p *program) reload(t *testing.T, config []byte, line string) {
	t.Helper()
	if err := os.WriteFile(p.configFile, config, 0o600); err != nil {
		t.Fatal(err)
	}
	if err := p.cmd.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	p.waitLog(t, line)
}

// SIGHUP changes the effect of a class, and changes it back. The first writer of each message resets the connection after the
// effect: requests that arrive after a reload follow the new settings, the one in flight does not.
func TestSIGHUPReloadsSettings(t *testing.T) {
	atWriter, resume := make(chan struct{}), make(chan struct{})
	fleet, p := startRouter(t, standin.Options{Writers: 4, Tokens: 3, FaultFor: func(stage, key string, n int) standin.Fault {
		if stage != "write" || n > 0 {
			return standin.None
		}
		if key == "under-way" {
			close(atWriter)
			<-resume
		}
		return standin.ResetBeforeFirstToken
	}}, reloadEnabled)
	answer := func(id string) int {
		t.Helper()
		res, err := http.DefaultClient.Do(newRequest(p, id, "send-message"))
		if err != nil {
			t.Fatal(err)
		}
		defer res.Body.Close()
		if _, err := io.Copy(io.Discard, res.Body); err != nil {
			t.Error(id, err)
		}
		return res.StatusCode
	}
	const nonIdempotent, readLike = `"effect":"non_idempotent"`, `"effect":"read_like"`
	config := fleet.Config("x")
	if status := answer("before"); status != http.StatusBadGateway {
		t.Errorf("a message that may have run was answered with %d", status)
	}
	underWay := make(chan int, 1)
	go func() { underWay <- answer("under-way") }()
	<-atWriter
	// A retry reads its prompt again, which takes more attempts than the old settings allow.
	next := withSettings(t, withSettings(t, config, nonIdempotent, readLike), `"send_cap":4`, `"send_cap":8`)
	p.reload(t, next, `level=INFO msg="new settings"`)
	close(resume)
	if status := <-underWay; status != http.StatusBadGateway {
		t.Errorf("a message from before the reload that may have run was answered with %d", status)
	}
	if status := answer("since"); status != http.StatusOK {
		t.Errorf("a message that may be retried after the reload was answered with %d", status)
	}
	p.reload(t, config, `level=INFO msg="new settings"`)
	if status := answer("again"); status != http.StatusBadGateway {
		t.Errorf("a message that may have run was answered with %d", status)
	}
	if ran := fleet.Effects(); ran["send-message under-way"] != 1 || ran["send-message again"] != 1 {
		t.Errorf("effects %v", ran)
	}
}

// Settings that can't be applied are logged with the reason and leave the old ones in force.
func TestRejectedSettingsKeepOldOnes(t *testing.T) {
	fleet, p := startRouter(t, standin.Options{}, reloadEnabled)
	config := fleet.Config("x")
	const kept = `level=ERROR msg="new settings are not taken, the old ones hold" .*`
	for _, c := range []struct{ old, new, reason string }{
		{`"name":"send-message"`, `"name":"post-message"`, "request_classes: names: a change needs a restart"},
		{`"conn_idle":15000000`, `"conn_idle":9000000`, "limits.conn_idle"},
		{`"connect_timeout":250000`, `"connect_timeout":100000`, "connect timeout"},
		{`"kind_role":["read","write"]`, `"kind_role":["read","both"]`, "kinds and their roles"},
		{`"effect":"read_like"`, `"effect":"perhaps"`, "unknown word"},
		{`"n_instances":1`, `"n_instances":0`, "front 0 of 0"},
	} {
		p.reload(t, withSettings(t, config, c.old, c.new), kept+c.reason)
	}
	p.reload(t, withSettings(t, config, `"n_instances":1`, `"n_instances":340`), `level=INFO msg="new settings"`)
	if res, err := http.DefaultClient.Do(newRequest(p, "a1", "draft-reply")); err != nil || res.StatusCode != 200 {
		t.Errorf("%v %v", res, err)
	}
}

// Without settings.reload in the operator's file, SIGHUP changes no setting.
func TestSettingsAreNotReloadedUnlessEnabled(t *testing.T) {
	fleet, p := startRouter(t, standin.Options{}, "")
	config := withSettings(t, fleet.Config("x"), `"hard_limit":5000000`, `"hard_limit":1`)
	p.reload(t, config, `level=INFO msg="new configuration"`)
	p.cmd.Process.Signal(syscall.SIGTERM)
	for line := range p.lines {
		if strings.Contains(line, "settings") {
			t.Error(line)
		}
	}
}
