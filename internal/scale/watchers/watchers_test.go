package watchers

import (
	"context"
	"fmt"
	"testing"
	"time"

	"rowanyard/internal/httpfront"
	"rowanyard/internal/scale/registry"
)

func entry(n int, health string) httpfront.Entry {
	return httpfront.Entry{Host: fmt.Sprintf("w%d", n), Dial: "127.0.0.1:1", Site: "here", Class: "reader", Health: health, Share: 1}
}

// All watchers receive each change, and the whole list after a restart.
func TestWatchersFollowTheRegistry(t *testing.T) {
	const count, hosts = 20, 300
	var list []httpfront.Entry
	for i := range hosts {
		list = append(list, entry(i, "up"))
	}
	r := registry.New(list)
	defer r.Close()
	endpoint, err := r.AddEndpoint()
	if err != nil {
		t.Fatal(err)
	}
	g := Start(count, endpoint.Address, 1)
	defer g.Close()
	ctx, stop := context.WithTimeout(t.Context(), time.Minute)
	defer stop()
	for i := range 5 {
		if _, err := g.Wait(ctx, r.Update(entry(i, "draining"))); err != nil {
			t.Fatal(err)
		}
	}
	for i, n := range g.Bytes() {
		if n == 0 || n > 20_000 {
			t.Errorf("watcher %d: received %d bytes for five changes of one entry each", i, n)
		}
	}
	before := g.Bytes()
	last := r.Update(entry(0, "removed"))
	g.Restart()
	if _, err := g.Wait(ctx, last); err != nil {
		t.Fatal(err)
	}
	for i, n := range g.Bytes() {
		if n-before[i] < hosts*50 {
			t.Errorf("watcher %d: received %d bytes for the whole list", i, n-before[i])
		}
	}
	if n := len(r.Hosts()); n != hosts-1 {
		t.Errorf("%d workers listed after one of %d was removed", n, hosts)
	}
}

func TestParseVersion(t *testing.T) {
	if seq, err := parseVersion([]byte(`{"seq":41,"whole":true`)); err != nil || seq != 41 {
		t.Errorf("%d %v", seq, err)
	}
	for _, bad := range []string{"", "{}", `{"seq":`, `{"seq":x,`} {
		if seq, err := parseVersion([]byte(bad)); err == nil {
			t.Errorf("%q: %d", bad, seq)
		}
	}
}
