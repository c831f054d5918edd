package wire

import (
	"errors"
	"fmt"
	"io"
	"reflect"
	"strings"
	"testing"
	"time"

	"rowanyard/decide"
)

const exampleConfig = `{"me":1,"n_instances":3,"zone":1,"granularity":2000,"discovery":"on_request","strange":{"a":[1]},` +
	`"over_share_worth":0.1,"request_classes":[{"credit":3.0,"dedup_scope":"cell","effect":"idempotency_key",` +
	`"hard_limit":9000000,"late_value":0.2,"target":1500000,"window":4000000}],"parties":[{"quota_per_s":7.5}],` +
	`"domain":{"aim_us_per_1000_prompt_tokens":[40000.0],"kind_role":["read","both"],"kv_tokens":[150000,90000.0],` +
	`"pin_limit":400000,"token_aim":[60000.0],"writers_read":true},"limits":{"cancelling":true,"send_cap":5},` +
	`"rules":{"ask_every":9000000,"cold_from":0.3,"fall":2000000,"overload_factor":2.5,"ramp_time":11000000}}`

// batch returns the text of a batch of the lines.
func batch(lines ...string) string {
	return "tick 5000 7\n" + strings.Join(lines, "\n") + "\neof_batch\n"
}

// readSingleEvent returns the body of the only event of a batch of the lines.
func readSingleEvent(t *testing.T, lines ...string) any {
	t.Helper()
	b, err := NewReader(strings.NewReader(batch(lines...))).Next()
	if err != nil {
		t.Fatal(err)
	}
	if b.Now != 5*time.Millisecond || b.Seq != 7 || len(b.Events) != 1 || b.Events[0].InstanceName != "front_2" {
		t.Fatalf("batch %+v", b)
	}
	return b.Events[0].Body
}

func TestEvents(t *testing.T) {
	us := time.Microsecond
	for _, c := range []struct {
		lines []string
		want  any
	}{
		{[]string{"exit front_2"}, InstanceStopped{}},
		{[]string{"left front_2 41"}, ClientLeft{41}},
		{[]string{"ring front_2 9"}, TimerFired{9}},
		{[]string{"whisper front_2 1 ab"}, Ignored{}},
		{[]string{"pong front_2 900 GOOD engine.a svc_ms:4.5"}, Ignored{}},
		{[]string{"pong front_2 900 GOOD engine.a -"}, Ignored{}},
		{[]string{"pong front_2 900 LATE engine.a x1:2.5"}, Ignored{}},
		{[]string{"pong front_2 900 GOOD engine.a svc_ms:4.5,x1:2.5"}, decide.Probed{Server: "engine.a", QueuedRequests: -1, QueuedTokens: 2500}},
		{[]string{"pong front_2 900 GOOD engine.a pending:3,x0:0.5"}, decide.Probed{Server: "engine.a", QueuedRequests: 3, QueuedTokens: -1, MemoryUse: 0.5}},
		{[]string{"place_note front_2 41 engine.a 1 0.5 0"}, Ignored{}},
		{[]string{"roster_change front_2 lost 3 0"}, decide.ServerList{Failed: true}},
		{[]string{"roster_change front_2 total 4 2", "entry - healthy 0 1 1.5 2 engine.a",
			"entry 70 cordoned 1 0 1 0 engine.b"}, decide.ServerList{Complete: true, Servers: []decide.Server{
			{ID: "engine.a", Cell: 1, Weight: 1.5, Zone: 2},
			{ID: "engine.b", State: decide.Draining, Kind: 1, Weight: 1, StartedAt: 70 * us}}}},
		{[]string{"inbound front_2 41 1 2 00ff 3000 800 0a 1800 1200 256 3"}, decide.Request{ID: 41, Class: 1, Tenant: 2,
			Session: 255, TimeLeft: 3000 * us, DurationHint: 800 * us, Prefix: 10, PromptLength: 1800, PrefixLength: 1200,
			MaxOutput: 256, ClientRetry: true}},
		{[]string{"inbound front_2 41 0 - 00ff 3000 - - 1800 - 256 16"}, decide.Request{ID: 41, Session: 255,
			TimeLeft: 3000 * us, PromptLength: 1800, MaxOutput: 256, Resumed: true}},
		{[]string{"head_received front_2 41 1 engine.a 80"}, decide.Started{ID: 41, Attempt: 1, Server: "engine.a", Elapsed: 80 * us}},
		{[]string{"reply front_2 41 0 engine.a half_done 90 0 1024 -"}, decide.Outcome{ID: 41, Server: "engine.a",
			Status: decide.Read, Elapsed: 90 * us, CachedTokens: 1024}},
		{[]string{"reply front_2 41 2 engine.a FULL 90 1 1 pending:3,cpu_share:0.5,new:1"}, decide.Outcome{ID: 41,
			Attempt: 2, Server: "engine.a", Status: decide.Rejected, Elapsed: 90 * us, Final: true, NoState: true}},
	} {
		if got := readSingleEvent(t, c.lines...); !reflect.DeepEqual(got, c.want) {
			t.Errorf("%v:\n got %+v\nwant %+v", c.lines, got, c.want)
		}
	}
}

func TestSettings(t *testing.T) {
	h := readSingleEvent(t, "hello front_2 77 "+exampleConfig).(InstanceStarted)
	want := decide.Settings{RouterIndex: 1, RouterCount: 3, Zone: 1, ClockStep: 2 * time.Millisecond, PollServerList: true, OverQuotaFactor: 0.1,
		Classes: []decide.Class{{TTFTTarget: 1500 * time.Millisecond, TTFTTargetPer1000: 40 * time.Millisecond, Deadline: 9 * time.Second,
			TPOTTarget: 60 * time.Millisecond, Value: 3, LateValueShare: 0.2, Effect: decide.Keyed, Scope: decide.ScopeCell,
			RepeatWindow: 4 * time.Second}},
		Tenants:  []decide.Tenant{{Quota: 7.5}},
		Kinds:    []decide.Kind{{Role: decide.Reader, MemoryTokens: 150000}, {Role: decide.Mixed, MemoryTokens: 90000}},
		PinLimit: 400 * time.Millisecond, WritersCanRead: true, CanCancel: true, MaxAttempts: 5, PollInterval: 9 * time.Second,
		ColdCapacity: 0.3, ColdOverloadWindow: 2 * time.Second, ColdOverloadFactor: 2.5, WarmUpTime: 11 * time.Second}
	if h.Seed != 77 || !reflect.DeepEqual(h.Settings, want) {
		t.Errorf("seed %d\n got %+v\nwant %+v", h.Seed, h.Settings, want)
	}
}

func TestMalformed(t *testing.T) {
	for _, c := range []struct{ input, want string }{
		{"tock 1 1\n", "line 1"},
		{"tick x 1\neof_batch\n", "sim_time"},
		{"tick 1 1\nring front_2\neof_batch\n", "batch 1, line 2: ring: field key_back"},
		{"tick 1 1\nring front_2 4 5\neof_batch\n", "end of line"},
		{"tick 1 1\nsing front_2 4\neof_batch\n", "unknown message"},
		{"tick 1 1\nleft front_2 -4\neof_batch\n", "handle"},
		{"tick 1 1\nroster_change front_2 total 1 2\nentry - healthy 0 0 1 0 engine.a\neof_batch\n", "entry"},
		{"tick 1 1\nreply front_2 1 0 engine.a WELL 1 0 0 -\neof_batch\n", "state_code"},
		{"tick 1 1\npong front_2 1 GOOD engine.a x1:lots\neof_batch\n", "load"},
		{"tick 1 1\nhello front_2 1 {\"me\":\neof_batch\n", "config"},
		{"tick 1 1\nring front_2 4\n", "inside a batch"},
	} {
		_, err := NewReader(strings.NewReader(c.input)).Next()
		if err == nil || !strings.Contains(err.Error(), c.want) || errors.Is(err, io.EOF) {
			t.Errorf("%q: error %v, want one that contains %q", c.input, err, c.want)
		}
	}
	if _, err := NewReader(strings.NewReader("")).Next(); !errors.Is(err, io.EOF) {
		t.Errorf("end of input: %v", err)
	}
}

func TestActions(t *testing.T) {
	var w Writer
	instance := w.Instance("front_2")
	instance.Send(41, "engine.a", 1500*time.Microsecond)
	instance.Cancel(41, 1)
	instance.Refuse(42, time.Second)
	instance.Fail(43)
	instance.Release(41)
	instance.SetTimer(9, 6*time.Millisecond)
	instance.RequestServerList(true)
	instance.RequestServerList(false)
	w.ReportFailure("front_2", "two\nlines")
	want := "relay front_2 41 engine.a 1500\ndrop_attempt front_2 41 1\ndeny front_2 42 1000000\nabort front_2 43\n" +
		"give_up_hold front_2 41\nset_alarm front_2 9 6000\ntail front_2 1\nrefresh front_2\n" +
		"bail_out front_2 two lines\nnext 3\n"
	if got := string(w.EndBatch(3)); got != want {
		t.Errorf("got\n%swant\n%s", got, want)
	}
	if got := string(w.EndBatch(4)); got != "next 4\n" {
		t.Errorf("second batch repeats the first: %q", got)
	}
}

// A request id, up to 52 bits, must be written as it was read.
func TestRoundTrip(t *testing.T) {
	for _, id := range []uint64{0, 1, 1<<52 - 1} {
		request := readSingleEvent(t, fmt.Sprintf("inbound front_2 %d 0 0 01 5000 - - 10 0 8 0", id)).(decide.Request)
		var w Writer
		w.Instance("front_2").Send(request.ID, "engine.a", request.TimeLeft)
		if got, want := string(w.EndBatch(1)), fmt.Sprintf("relay front_2 %d engine.a 5000\nnext 1\n", id); got != want {
			t.Errorf("got %q, want %q", got, want)
		}
	}
}

func FuzzReader(f *testing.F) {
	f.Add(batch("hello front_2 1 " + exampleConfig))
	f.Add(batch("roster_change front_2 incr 4 1", "entry - healthy 0 1 1.5 2 engine.a"))
	f.Add(batch("reply front_2 41 2 engine.a FULL 90 1 1 pending:3"))
	f.Add("tick 1 1\nring front_2 99999999999999999999\neof_batch\n")
	f.Fuzz(func(t *testing.T, input string) {
		r := NewReader(strings.NewReader(input))
		for {
			if _, err := r.Next(); err != nil {
				return
			}
		}
	})
}
