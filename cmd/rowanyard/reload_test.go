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

const reloads = `{"settings": {"reload": true}}`

// withSettings is a configuration with another text in its settings, which must be there.
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

// hangUp gives the program another configuration and waits for the line that tells of it.
func (p *program) hangUp(t *testing.T, config []byte, line string) {
	t.Helper()
	if err := os.WriteFile(p.file, config, 0o600); err != nil {
		t.Fatal(err)
	}
	if err := p.cmd.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	p.line(t, line)
}

// A class's effect changes with SIGHUP, and back. Each message's first writer breaks off after its effect: messages that come
// from then on follow the change, the one that is under way does not.
func TestSIGHUPPutsSettingsInForce(t *testing.T) {
	atWriter, goOn := make(chan struct{}), make(chan struct{})
	fleet, p := up(t, standin.Options{Writers: 4, Tokens: 3, Behave: func(stage, key string, n int) standin.Fault {
		if stage != "write" || n > 0 {
			return standin.None
		}
		if key == "under-way" {
			close(atWriter)
			<-goOn
		}
		return standin.ResetEarly
	}}, reloads)
	answer := func(id string) int {
		t.Helper()
		res, err := http.DefaultClient.Do(request(p, id, "send-message"))
		if err != nil {
			t.Fatal(err)
		}
		defer res.Body.Close()
		if _, err := io.Copy(io.Discard, res.Body); err != nil {
			t.Error(id, err)
		}
		return res.StatusCode
	}
	const unsafe, safe = `"effect":"non_idempotent"`, `"effect":"read_like"`
	config := fleet.Config("x")
	if status := answer("before"); status != http.StatusBadGateway {
		t.Errorf("a message that may have run was answered with %d", status)
	}
	underWay := make(chan int, 1)
	go func() { underWay <- answer("under-way") }()
	<-atWriter
	// A repeat reads its prompt once more, so it takes more attempts than the settings of before have.
	next := withSettings(t, withSettings(t, config, unsafe, safe), `"send_cap":4`, `"send_cap":8`)
	p.hangUp(t, next, `level=INFO msg="new settings"`)
	close(goOn)
	if status := <-underWay; status != http.StatusBadGateway {
		t.Errorf("a message that came before the change and may have run was answered with %d", status)
	}
	if status := answer("since"); status != http.StatusOK {
		t.Errorf("a message that may be repeated now was answered with %d", status)
	}
	p.hangUp(t, config, `level=INFO msg="new settings"`)
	if status := answer("again"); status != http.StatusBadGateway {
		t.Errorf("a message that may have run was answered with %d", status)
	}
	if ran := fleet.Effects(); ran["send-message under-way"] != 1 || ran["send-message again"] != 1 {
		t.Errorf("effects %v", ran)
	}
}

// Settings that can't be taken leave the old ones in force, and say why.
func TestSettingsThatCanNotBeReloaded(t *testing.T) {
	fleet, p := up(t, standin.Options{}, reloads)
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
		p.hangUp(t, withSettings(t, config, c.old, c.new), kept+c.reason)
	}
	p.hangUp(t, withSettings(t, config, `"n_instances":1`, `"n_instances":340`), `level=INFO msg="new settings"`)
	if res, err := http.DefaultClient.Do(request(p, "a1", "draft-reply")); err != nil || res.StatusCode != 200 {
		t.Errorf("%v %v", res, err)
	}
}

// Where the operator did not ask for it, SIGHUP changes no setting.
func TestSettingsAreNotReloadedUnasked(t *testing.T) {
	fleet, p := up(t, standin.Options{}, "")
	config := withSettings(t, fleet.Config("x"), `"hard_limit":5000000`, `"hard_limit":1`)
	p.hangUp(t, config, `level=INFO msg="new configuration"`)
	p.cmd.Process.Signal(syscall.SIGTERM)
	for line := range p.lines {
		if strings.Contains(line, "settings") {
			t.Error(line)
		}
	}
}
