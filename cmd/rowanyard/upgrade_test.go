package main

// Upgrades with real processes: what one process of a router knows while another serves at the same address.

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/durationpb"

	decisionspb "rowanyard/internal/decisions/pb"
	"rowanyard/internal/extproc"
	"rowanyard/internal/grpcfront/pb"
	"rowanyard/internal/standin"
)

// upgradeRig is a deployment whose router is upgraded.
type upgradeRig struct {
	*standin.Fleet
	t        *testing.T
	address  string // of the router
	deadline time.Duration
	resume   bool // clients request the rest of a stream that broke
}

// newUpgradeRig returns a rig whose classes have the given deadline.
func newUpgradeRig(t *testing.T, o standin.Options, deadline time.Duration, resume bool) *upgradeRig {
	t.Helper()
	t.Setenv("TMPDIR", t.TempDir())
	fleet, err := standin.Start(o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(fleet.Close)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return &upgradeRig{fleet, t, l.Addr().String(), deadline, resume}
}

// start starts a process of the router, with the contents of an operator's file if that is not empty, and waits until it
// serves.
func (r *upgradeRig) start(operator string) *program {
	r.t.Helper()
	p := startProgram(r.t, r.config(), operator)
	p.http = "http://" + p.waitLog(r.t, `msg=serving .*front=http listen=(\S+)`)
	return p
}

// config returns the platform's configuration file.
func (r *upgradeRig) config() []byte {
	type object = map[string]any
	var config object
	if err := json.Unmarshal(r.Config(r.address), &config); err != nil {
		r.t.Fatal(err)
	}
	settings := config["settings"].(object)
	settings["domain"].(object)["resume"] = r.resume
	for _, class := range settings["request_classes"].([]any) {
		class := class.(object)
		class["hard_limit"] = r.deadline.Microseconds()
		class["target"] = min(class["target"].(float64), float64(r.deadline.Microseconds()))
	}
	text, err := json.Marshal(config)
	if err != nil {
		r.t.Fatal(err)
	}
	return text
}

// send sends a request on a connection of its own. The answer's body must be closed.
func (r *upgradeRig) send(p *program, id, class string) *http.Response {
	r.t.Helper()
	q := newRequest(p, id, class)
	q.Close = true
	res, err := http.DefaultClient.Do(q)
	if err != nil {
		r.t.Fatal(id, err)
	}
	return res
}

// checkRefused sends the id of an open request on enough connections that each process that accepts gets some of them. None
// may be served.
func (r *upgradeRig) checkRefused(when string, p *program, id string, want ...int) {
	r.t.Helper()
	const connections = 12
	for range connections {
		res := r.send(p, id, "send-message")
		res.Body.Close()
		if !slices.Contains(want, res.StatusCode) {
			r.t.Fatalf("%s: status %d for an open id, want one of %v", when, res.StatusCode, want)
		}
		if res.StatusCode == http.StatusServiceUnavailable && res.Header.Get("Retry-After") == "" {
			r.t.Errorf("%s: refused without Retry-After", when)
		}
	}
}

// checkStream is checkComplete, and checks that the prompt was read once.
func (r *upgradeRig) checkStream(res *http.Response, id string) {
	r.t.Helper()
	r.checkComplete(res, id)
	if reads := r.Calls("read", id); reads != 1 {
		r.t.Errorf("%s was read %d times", id, reads)
	}
}

// checkComplete reads a stream to its end and checks that it is complete and that its write has run once.
func (r *upgradeRig) checkComplete(res *http.Response, id string) {
	r.t.Helper()
	text, err := io.ReadAll(res.Body)
	res.Body.Close()
	const (
		usageAndEnd = 2   // events behind the tokens
		endShown    = 100 // bytes, in a failure
	)
	if err != nil || strings.Count(string(text), "data: ") != r.Tokens+usageAndEnd || !strings.HasSuffix(string(text), "data: [DONE]\n\n") {
		r.t.Errorf("%s: %v after %d of %d events: %q", id, err, strings.Count(string(text), "data: "), r.Tokens+usageAndEnd, text[max(0, len(text)-endShown):])
	}
	if effects := r.Effects()["send-message "+id]; effects != 1 {
		r.t.Errorf("%s has run %d times", id, effects)
	}
}

// A newer process takes over at the same address. No request may be lost meanwhile, and workers that are out for maintenance
// in the older process stay out in the newer one.
func TestAnUpgradeLosesNothingAndKeepsTheBan(t *testing.T) {
	t.Setenv("ROUTER_OPERATOR", "127.0.0.1:0")
	t.Setenv("TMPDIR", t.TempDir())
	fleet, err := standin.Start(standin.Options{Writers: 2, Tokens: 4})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(fleet.Close)
	old := startProgram(t, fleet.Config("127.0.0.1:0"), "")
	old.operatorURL = "http://" + old.waitLog(t, `msg=serving .*front=operator listen=(\S+)`)
	addr := old.waitLog(t, `msg=serving .*front=http listen=(\S+)`)
	old.http = "http://" + addr
	for path, want := range map[string]int{"enter?who=writer-1": 200, "enter?who=nobody": 404, "exit?who=nobody": 404, "enter": 400, "enter?who=": 400} {
		if code := old.callOperator(t, "POST", "/maintenance/"+path); code != want {
			t.Errorf("%s: %d, want %d", path, code, want)
		}
	}
	old.callOperator(t, "POST", "/maintenance/enter?who=writer-1") // the call is idempotent
	sendRequest := func(id string) {
		t.Helper()
		req := newRequest(old, id, "send-message")
		req.Close = true // a new connection for each request
		res, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(id, err)
		}
		text, err := io.ReadAll(res.Body)
		if err != nil || res.StatusCode != 200 {
			t.Fatal(id, res.StatusCode, err, string(text))
		}
	}
	sendRequest("u0")
	next := startProgram(t, fleet.Config(addr), "")
	next.operatorURL = "http://" + next.waitLog(t, `msg=serving .*front=operator listen=(\S+)`)
	next.waitLog(t, `msg="(taking over)"`)
	next.waitLog(t, `msg=serving .*front=http listen=(\S+)`)
	for i := range 20 {
		sendRequest(fmt.Sprint("both", i))
	}
	old.cmd.Process.Signal(syscall.SIGTERM)
	old.waitLog(t, `msg=draining .*handed_on=(true)`)
	for i := range 20 {
		sendRequest(fmt.Sprint("after", i))
		if res, err := http.Get(old.http + "/health/ready"); err != nil || res.StatusCode != 200 {
			t.Fatal("not ready during the takeover", res, err)
		}
	}
	old.waitLog(t, "msg=(ended)")
	if n := fleet.CallsTo("writer-1"); n != 0 {
		t.Errorf("%d requests to a worker in maintenance", n)
	}
	if code := next.callOperator(t, "POST", "/maintenance/exit?who=writer-1"); code != 200 {
		t.Errorf("maintenance exit: %d", code)
	}
	for i := 0; fleet.CallsTo("writer-1") == 0; i++ {
		if i == 200 {
			t.Fatal("a worker gets no request after maintenance")
		}
		sendRequest(fmt.Sprint("back", i))
	}
}

// A stream that runs when the older process ends continues in the newer one, byte for byte, without a second read or write
// at the workers.
func TestStreamContinuesInNextProcess(t *testing.T) {
	t.Setenv("TMPDIR", t.TempDir())
	fleet, err := standin.Start(standin.Options{Tokens: 120, TokenInterval: 50 * time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(fleet.Close)
	old := startProgram(t, fleet.Config("127.0.0.1:0"), "")
	addr := old.waitLog(t, `msg=serving .*front=http listen=(\S+)`)
	old.http = "http://" + addr
	res, err := http.DefaultClient.Do(newRequest(old, "h1", "send-message"))
	if err != nil || res.StatusCode != 200 {
		t.Fatal(res, err)
	}
	next := startProgram(t, fleet.Config(addr), "")
	next.waitLog(t, `msg=serving .*front=http listen=(\S+)`)
	old.cmd.Process.Signal(syscall.SIGTERM)
	old.waitLog(t, `msg="streams handed over" .*streams=(1)$`)
	old.waitLog(t, "msg=(ended)")
	last := startProgram(t, fleet.Config(addr), "") // the stream is handed over a second time
	last.waitLog(t, `msg=serving .*front=http listen=(\S+)`)
	next.cmd.Process.Signal(syscall.SIGTERM)
	next.waitLog(t, `msg="streams handed over" .*streams=(1)$`)
	text, err := io.ReadAll(res.Body)
	if err != nil || strings.Count(string(text), "data: ") != 122 || !strings.HasSuffix(string(text), "data: [DONE]\n\n") {
		t.Errorf("%v: %q", err, text)
	}
	if fleet.Effects()["send-message h1"] != 1 || fleet.Calls("read", "h1") != 1 {
		t.Errorf("effects %v, read %d times", fleet.Effects(), fleet.Calls("read", "h1"))
	}
}

// Guards against a send-message that runs twice: an id that is open in one process of an upgrade must be refused by each other
// one, while both accept, after SIGTERM, once its stream was handed over, and at a second upgrade.
func TestOpenIDIsRefusedThroughoutUpgrades(t *testing.T) {
	r := newUpgradeRig(t, standin.Options{Tokens: 240, TokenInterval: 50 * time.Millisecond}, 15*time.Second, true)
	first := r.start("")
	stream := r.send(first, "a", "send-message")
	second := r.start("")
	r.checkRefused("both processes accept", second, "a", http.StatusConflict)
	first.cmd.Process.Signal(syscall.SIGTERM)
	first.waitLog(t, `msg=draining .*handed_on=(true)`)
	r.checkRefused("after SIGTERM", second, "a", http.StatusConflict)
	first.waitLog(t, "msg=(ended)")
	r.checkRefused("handed over", second, "a", http.StatusConflict)
	third := r.start("")
	r.checkRefused("handed over, and both processes accept", third, "a", http.StatusConflict)
	second.cmd.Process.Signal(syscall.SIGTERM)
	second.waitLog(t, "msg=(ended)")
	r.checkRefused("handed over twice", third, "a", http.StatusConflict)
	r.checkStream(stream, "a")
	res := r.send(third, "a", "draft-reply")
	res.Body.Close()
	if res.StatusCode != http.StatusOK {
		t.Errorf("status %d for an id that is free again", res.StatusCode)
	}
}

// Guards against a send-message that runs twice where the shared folder has failed: the newer process can't know which ids the
// older one has open, and refuses what must not run twice until that one has ended. The older one's streams go on to their end.
func TestOpenIDIsRefusedWithoutSharedFolder(t *testing.T) {
	r := newUpgradeRig(t, standin.Options{Tokens: 120, TokenInterval: 50 * time.Millisecond}, 15*time.Second, false)
	first := r.start("")
	stream := r.send(first, "a", "send-message")
	folder := os.Getenv("TMPDIR")
	if err := os.Rename(folder, folder+".away"); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(folder, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	second := startProgram(t, r.config(), "")
	second.waitLog(t, `level=ERROR msg="(can't share state with other processes of this router)"`)
	second.http = "http://" + second.waitLog(t, `msg=serving .*front=http listen=(\S+)`)
	r.checkRefused("both processes accept", second, "a", http.StatusConflict, http.StatusServiceUnavailable)
	first.cmd.Process.Signal(syscall.SIGTERM)
	first.waitLog(t, `msg=(draining)`)
	r.checkRefused("after SIGTERM", second, "a", http.StatusConflict, http.StatusServiceUnavailable)
	r.checkStream(stream, "a")
	first.waitLog(t, "msg=(ended)")
	second.waitLog(t, `msg="open requests of other processes" .*all_known=(true)`)
	stream = r.send(second, "b", "send-message")
	r.checkStream(stream, "b")
	os.Remove(folder)
	if err := os.Rename(folder+".away", folder); err != nil { // removed after the test
		t.Fatal(filepath.Base(folder), err)
	}
}

// heldReads is a standin.StateStore whose reads do not end before open is closed.
type heldReads struct {
	mu     sync.Mutex
	states map[string]bool
	open   chan struct{}
}

func newHeldReads() *heldReads {
	return &heldReads{states: make(map[string]bool), open: make(chan struct{})}
}

// Hold implements standin.StateStore.
func (h *heldReads) Hold(id, _ string) bool {
	<-h.open
	h.mu.Lock()
	defer h.mu.Unlock()
	h.states[id] = true
	return true
}

// Fetch implements standin.StateStore.
func (h *heldReads) Fetch(id, _ string) bool { return h.Release(id) }

// Release implements standin.StateStore.
func (h *heldReads) Release(id string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	held := h.states[id]
	delete(h.states, id)
	return held
}

// Guards against writes to a worker in maintenance: a process that drains must follow what operators ask of the newer one.
func TestDrainingProcessFollowsMaintenance(t *testing.T) {
	t.Setenv("ROUTER_OPERATOR", "127.0.0.1:0")
	const requests = 12
	reads := newHeldReads()
	begun := make(chan string, 10*requests)
	r := newUpgradeRig(t, standin.Options{Writers: 2, Tokens: 2, StateStore: reads,
		OnEvent: func(event, id, _, _ string) {
			if event == "out" {
				begun <- id
			}
		}}, 15*time.Second, true)
	old := r.start("")
	var answers sync.WaitGroup
	for i := range requests {
		answers.Go(func() { r.checkComplete(r.send(old, fmt.Sprint("m", i), "send-message"), fmt.Sprint("m", i)) })
	}
	for range requests { // all are open in the old process, and none has a writer yet
		<-begun
	}
	next := startProgram(t, r.config(), "")
	next.operatorURL = "http://" + next.waitLog(t, `msg=serving .*front=operator listen=(\S+)`)
	next.waitLog(t, `msg=serving .*front=(http)`)
	old.cmd.Process.Signal(syscall.SIGTERM)
	old.waitLog(t, `msg=draining .*handed_on=(true)`)
	if code := next.callOperator(t, "POST", "/maintenance/enter?who=writer-1"); code != http.StatusOK {
		t.Fatalf("maintenance: %d", code)
	}
	old.waitLog(t, `msg=maintenance .*out=(\[writer-1\])`)
	close(reads.open)
	answers.Wait()
	if n := r.CallsTo("writer-1"); n != 0 {
		t.Errorf("%d requests to a worker in maintenance", n)
	}
}

// Guards against streams that an upgrade loses: they are handed over before the kill also where their clients do not request
// the rest of a stream that broke, and where a short deadline brings the kill early.
func TestUpgradeLosesNoStreamOfClientsThatDoNotResume(t *testing.T) {
	const streams = 9
	r := newUpgradeRig(t, standin.Options{Writers: 3, Tokens: 120, TokenInterval: 50 * time.Millisecond}, shortDeadline, false)
	old := r.start("")
	var answers [streams]*http.Response
	for i := range answers {
		answers[i] = r.send(old, fmt.Sprint("s", i), "send-message")
	}
	next := r.start("")
	old.cmd.Process.Signal(syscall.SIGTERM)
	old.waitLog(t, fmt.Sprintf(`msg="streams handed over" .*streams=(%d)$`, streams))
	old.waitLog(t, "msg=(ended)")
	for i, res := range answers {
		r.checkStream(res, fmt.Sprint("s", i))
	}
	next.cmd.Process.Signal(syscall.SIGTERM)
	next.waitLog(t, "msg=(ended)")
}

// shortDeadline brings the kill 1.7 s after SIGTERM.
const shortDeadline = time.Second

// Guards against streams that a process cuts before the kill, although their clients do not request the rest and no other
// process takes over: they go on to their end, however late the kill is, also those that an external processor's proxy relays.
func TestProcessThatEndsCutsNoStreamOfClientsThatDoNotResume(t *testing.T) {
	const tokens = 330 // 16.5 s
	r := newUpgradeRig(t, standin.Options{Tokens: tokens, TokenInterval: 50 * time.Millisecond}, shortDeadline, false)
	p := startProgram(t, r.config(), `{"ext_proc":{"listen":"127.0.0.1:0"}}`)
	processor := dial(t, p.waitLog(t, `msg=serving .*front=ext_proc listen=(\S+)`))
	p.http = "http://" + p.waitLog(t, `msg=serving .*front=http listen=(\S+)`)
	proxy := httptest.NewServer(&standin.Proxy{Processor: processor, Destination: extproc.DestinationHeader, Transport: &http.Transport{}})
	t.Cleanup(proxy.Close)
	direct, proxied := r.send(p, "direct", "send-message"), r.send(&program{http: proxy.URL}, "proxied", "send-message")
	p.cmd.Process.Signal(syscall.SIGTERM)
	r.checkStream(direct, "direct")
	r.checkStream(proxied, "proxied")
	p.waitLog(t, "msg=(ended)")
}

// Guards against gRPC streams that end with UNAVAILABLE, which tells a client that it may send its request again: a stream that
// a process can't finish before the kill ends with DATA_LOSS.
func TestGRPCStreamsEndWithDataLossBeforeTheKill(t *testing.T) {
	r := newUpgradeRig(t, standin.Options{Tokens: 1000, TokenInterval: 50 * time.Millisecond}, shortDeadline, false)
	p := startProgram(t, r.config(), `{"grpc":{"listen":"127.0.0.1:0"}}`)
	conn := dial(t, p.waitLog(t, `msg=serving .*front=grpc listen=(\S+)`))
	p.waitLog(t, `msg=serving .*front=(http)`)
	stream, err := pb.NewCompletionsClient(conn).Complete(t.Context(), &pb.CompleteRequest{Id: "g", Class: "send-message", PromptTokens: 40,
		FirstTokenWithin: durationpb.New(shortDeadline), Messages: []*pb.Message{{Role: "user", Content: "g"}}})
	if err == nil {
		_, err = stream.Recv()
	}
	if err != nil {
		t.Fatal(err)
	}
	p.cmd.Process.Signal(syscall.SIGTERM)
	for err == nil {
		_, err = stream.Recv()
	}
	if status.Code(err) != codes.DataLoss {
		t.Errorf("the stream ended with %v, want %v", err, codes.DataLoss)
	}
	p.waitLog(t, "msg=(ended)")
}

// decisionsCaller carries a request's attempts itself.
type decisionsCaller struct {
	decisionspb.DecisionsClient
	t *testing.T
}

func (r *upgradeRig) newCaller(p *program) decisionsCaller {
	r.t.Helper()
	return decisionsCaller{decisionspb.NewDecisionsClient(dial(r.t, p.decisionsAddr)), r.t}
}

func (c decisionsCaller) context() context.Context {
	return metadata.AppendToOutgoingContext(c.t.Context(), "rowanyard-caller", "caller")
}

func (c decisionsCaller) choose(id string, attempt int32) (*decisionspb.Choice, error) {
	return c.Choose(c.context(), &decisionspb.ChooseRequest{Request: id, Attempt: attempt, Class: "send-message", PromptTokens: 9,
		FirstTokenWithin: durationpb.New(4 * time.Second)})
}

// carry carries the read of a request, reports fate for its write, which is not sent, and returns the request's id. On a busy
// machine a grant may expire before its report; then it tries another request.
func (c decisionsCaller) carry(name string, fate decisionspb.Fate) (id string) {
	c.t.Helper()
	const tries = 20
	var err error
	for try := range tries {
		id = fmt.Sprintf("%s-%d", name, try)
		if err = c.carryOnce(id, fate); err == nil {
			return id
		}
	}
	c.t.Fatalf("%s: %v", id, err)
	return ""
}

func (c decisionsCaller) carryOnce(id string, fate decisionspb.Fate) error {
	for attempt, reported := range []decisionspb.Fate{decisionspb.Fate_FATE_READ, fate} {
		g, err := c.choose(id, int32(attempt))
		if err != nil {
			return err
		}
		if _, err := c.Report(c.context(), &decisionspb.ReportRequest{Grant: g.Grant, Fate: reported, Over: attempt == 1}); err != nil {
			return err
		}
	}
	return nil
}

// check asks for a request's first attempt.
func (c decisionsCaller) check(when, id string, want codes.Code) {
	c.t.Helper()
	if _, err := c.choose(id, 0); status.Code(err) != want {
		c.t.Errorf("%s: %s: %v, want %v", when, id, err, want)
	}
}

// Guards against a send-message that runs twice: what a caller has run in one process of an upgrade must not be granted by
// another, while both run, after the older one has ended or was killed, and at a second upgrade. What has not run may be.
func TestEffectsAreKnownThroughoutUpgrades(t *testing.T) {
	const operator = `{"decisions":{"listen":"127.0.0.1:0"}}`
	r := newUpgradeRig(t, standin.Options{}, 15*time.Second, true)
	first := r.start(operator)
	firstCaller := r.newCaller(first)
	alone := firstCaller.carry("alone", decisionspb.Fate_FATE_BEGUN)
	second := r.start(operator)
	secondCaller := r.newCaller(second)
	beside := firstCaller.carry("beside", decisionspb.Fate_FATE_BEGUN)
	rejected := firstCaller.carry("rejected", decisionspb.Fate_FATE_TURNED_AWAY)
	newer := secondCaller.carry("newer", decisionspb.Fate_FATE_BEGUN)
	for _, id := range []string{alone, beside} {
		secondCaller.check("both run", id, codes.Aborted)
	}
	firstCaller.check("both run", newer, codes.Aborted)
	secondCaller.check("both run", rejected, codes.OK)
	first.cmd.Process.Signal(syscall.SIGTERM)
	first.waitLog(t, "msg=(ended)")
	for _, id := range []string{alone, beside, newer} {
		secondCaller.check("the older process has ended", id, codes.Aborted)
	}
	third := r.start(operator)
	thirdCaller := r.newCaller(third)
	last := secondCaller.carry("last", decisionspb.Fate_FATE_BEGUN)
	second.cmd.Process.Kill()
	second.cmd.Wait()
	third.waitLog(t, `msg="another process of this router" .*runs=(false)`)
	for _, id := range []string{alone, beside, newer, last} {
		thirdCaller.check("the second process was killed", id, codes.Aborted)
	}
	thirdCaller.check("the second process was killed", "other", codes.OK)
}

// Guards against a send-message that runs twice where the shared folder is removed while two processes run: neither can tell any
// more what the other has granted, and both refuse.
func TestEffectsAreNotRiskedWithoutSharedFolder(t *testing.T) {
	const operator = `{"decisions":{"listen":"127.0.0.1:0"}}`
	r := newUpgradeRig(t, standin.Options{}, 15*time.Second, true)
	first := r.start(operator)
	second := r.start(operator)
	firstCaller, secondCaller := r.newCaller(first), r.newCaller(second)
	secondCaller.check("both run", "a", codes.OK)
	folder := os.Getenv("TMPDIR")
	if err := os.Rename(folder, folder+".removed"); err != nil { // at once, while processes write to it
		t.Fatal(err)
	}
	firstCaller.check("no folder", "b", codes.Unavailable)
	secondCaller.check("no folder", "c", codes.Unavailable)
}

// Guards against a send-message that runs twice by way of another front: an id that is open at the HTTP front of one process is
// refused at each front of another.
func TestOpenIDIsRefusedAtEachFrontOfAnotherProcess(t *testing.T) {
	r := newUpgradeRig(t, standin.Options{Tokens: 120, TokenInterval: 50 * time.Millisecond}, 15*time.Second, true)
	first := r.start("")
	stream := r.send(first, "a", "send-message")
	second := startProgram(t, r.config(), `{"grpc":{"listen":"127.0.0.1:0"},"decisions":{"listen":"127.0.0.1:0"},"ext_proc":{"listen":"127.0.0.1:0"}}`)
	grpcConn := dial(t, second.waitLog(t, `msg=serving .*front=grpc listen=(\S+)`))
	processor := dial(t, second.waitLog(t, `msg=serving .*front=ext_proc listen=(\S+)`))
	second.waitLog(t, `msg=serving .*front=(http)`)
	call, err := pb.NewCompletionsClient(grpcConn).Complete(t.Context(), &pb.CompleteRequest{Id: "a", Class: "send-message", PromptTokens: 40,
		FirstTokenWithin: durationpb.New(time.Second), Messages: []*pb.Message{{Role: "user", Content: "a"}}})
	if err == nil {
		_, err = call.Recv()
	}
	if status.Code(err) != codes.AlreadyExists {
		t.Errorf("gRPC: %v, want %v", err, codes.AlreadyExists)
	}
	r.newCaller(second).check("decisions", "a", codes.PermissionDenied)
	answer := httptest.NewRecorder()
	proxy := &standin.Proxy{Processor: processor, Destination: extproc.DestinationHeader, Transport: http.DefaultTransport}
	proxy.ServeHTTP(answer, newRequest(second, "a", "send-message"))
	if answer.Code != http.StatusConflict {
		t.Errorf("ext_proc: %d, want %d", answer.Code, http.StatusConflict)
	}
	r.checkStream(stream, "a")
}

// dial returns a connection to a gRPC server.
func dial(t *testing.T, address string) *grpc.ClientConn {
	t.Helper()
	conn, err := grpc.NewClient("passthrough:///"+address, grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return conn
}
