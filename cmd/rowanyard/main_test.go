package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/getkin/kin-openapi/openapi3"
	"github.com/getkin/kin-openapi/openapi3filter"
	"github.com/getkin/kin-openapi/routers/gorillamux"
	"go.yaml.in/yaml/v3"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/durationpb"

	decisionspb "rowanyard/internal/decisions/pb"
	"rowanyard/internal/grpcfront/pb"
	"rowanyard/internal/standin"
)

var binary string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "rowanyard")
	if err == nil {
		binary = filepath.Join(dir, "rowanyard")
		var out []byte
		if out, err = exec.Command("go", "build", "-o", binary, ".").CombinedOutput(); err != nil {
			err = fmt.Errorf("%w: %s", err, out)
		}
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// program is a running router.
type program struct {
	cmd       *exec.Cmd
	file      string // its configuration
	lines     chan string
	http      string
	operators string
	decisions string // where the decision service listens, once a line after it has been waited for
}

func begin(t *testing.T, config []byte, operator string) *program {
	t.Helper()
	return beginAs(t, exec.Command(binary), config, operator)
}

// beginAs starts the program by another command.
func beginAs(t *testing.T, cmd *exec.Cmd, config []byte, operator string) *program {
	t.Helper()
	dir := t.TempDir()
	path := filepath.Join(dir, "config.json")
	os.WriteFile(path, config, 0o600)
	p := &program{cmd: cmd, file: path, lines: make(chan string, 1000)}
	p.cmd.Env = append(os.Environ(), "ROUTER_CONFIG="+path, "ROWANYARD_LOG=info")
	if operator != "" {
		file := filepath.Join(dir, "operator.json")
		os.WriteFile(file, []byte(operator), 0o600)
		p.cmd.Env = append(p.cmd.Env, "ROWANYARD_OPERATOR="+file)
	}
	out, err := p.cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { p.cmd.Process.Kill(); p.cmd.Wait() })
	go func() {
		defer close(p.lines)
		for s := bufio.NewScanner(out); s.Scan(); {
			p.lines <- s.Text()
		}
	}()
	return p
}

var decisionsLine = regexp.MustCompile(`msg=serving .*front=decisions listen=(\S+)`)

// line waits for a log line and returns what the pattern's group holds.
func (p *program) line(t *testing.T, pattern string) string {
	t.Helper()
	re, late := regexp.MustCompile(pattern), time.After(30*time.Second)
	for {
		select {
		case l, open := <-p.lines:
			if m := decisionsLine.FindStringSubmatch(l); m != nil {
				p.decisions = m[1]
			}
			if m := re.FindStringSubmatch(l); m != nil {
				return m[len(m)-1]
			}
			if !open {
				t.Fatalf("the program ended without %q", pattern)
			}
		case <-late:
			t.Fatalf("no line %q", pattern)
		}
	}
}

// call makes one of the operators' calls.
func (p *program) call(t *testing.T, method, path string) int {
	t.Helper()
	req, _ := http.NewRequest(method, p.operators+path, nil)
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	res.Body.Close()
	return res.StatusCode
}

func up(t *testing.T, o standin.Options, operator string) (*standin.Fleet, *program) {
	t.Helper()
	fleet, err := standin.Start(o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(fleet.Close)
	p := begin(t, fleet.Config("127.0.0.1:0"), operator)
	p.http = "http://" + p.line(t, `msg=serving .*front=http listen=(\S+)`)
	return fleet, p
}

func request(p *program, id, class string) *http.Request {
	req, _ := http.NewRequest(http.MethodPost, p.http+"/v1/chat/completions",
		strings.NewReader(`{"model":"chat","stream":true,"max_tokens":9,"messages":[{"role":"user","content":"`+id+`"}]}`))
	for k, v := range map[string]string{"Content-Type": "application/json", "X-Txn": id, "X-Lane": class,
		"X-Remaining-Ms": "4000", "X-Labels": "prompt_len=40,max_out=9"} {
		req.Header.Set(k, v)
	}
	return req
}

func TestServesThroughADrainAndASIGTERM(t *testing.T) {
	fleet, p := up(t, standin.Options{Writers: 2, Tokens: 40, TokenTime: 10 * time.Millisecond}, "")
	if res, err := http.Get(p.http + "/health/ready"); err != nil || res.StatusCode != 200 {
		t.Fatal(res, err)
	}
	fleet.SetHealth("writer-1", "draining")
	p.line(t, `msg="worker list" .*seq=2`)
	idle, err := net.Dial("tcp", strings.TrimPrefix(p.http, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer idle.Close()
	fmt.Fprint(idle, "GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n")
	kept := bufio.NewReader(idle)
	if res, err := http.ReadResponse(kept, nil); err != nil || res.StatusCode != 200 || res.Close {
		t.Fatal(res, err)
	}
	res, err := http.DefaultClient.Do(request(p, "a1", "send-message"))
	if err != nil || res.StatusCode != 200 {
		t.Fatal(res, err)
	}
	// The stream has begun: SIGTERM must let it end.
	p.cmd.Process.Signal(syscall.SIGTERM)
	text, err := io.ReadAll(res.Body)
	if err != nil || !strings.HasSuffix(string(text), "data: [DONE]\n\n") {
		t.Errorf("%v: %q", err, text)
	}
	// An idle connection is ended, so that its client goes to another router.
	if _, err := kept.ReadByte(); err != io.EOF {
		t.Errorf("idle connection: %v", err)
	}
	p.line(t, "msg=(ended)")
	if err := p.cmd.Wait(); err != nil {
		t.Errorf("the program ended with %v", err)
	}
	if fleet.Effects()["send-message a1"] != 1 || fleet.Held() != 0 {
		t.Errorf("effects %v, %d held", fleet.Effects(), fleet.Held())
	}
}

// A process that has just started is told of all that discovery has, from its first moment: it must not send by the
// list of before, to workers that have started since or drain, where discovery answers. Where it is silent it serves
// all the same.
func TestDiscoveryIsHeardBeforeClientsCome(t *testing.T) {
	fleet, err := standin.Start(standin.Options{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(fleet.Close)
	const serving, list, silent = `front=http listen=`, `msg="worker list"`, `msg="discovery has said nothing`
	p := begin(t, fleet.Config("127.0.0.1:0"), "")
	first := p.line(t, `(`+serving+`|`+list+`|`+silent+`)`)
	if first == serving {
		t.Error("clients may come before discovery has been heard or waited for")
	}
	mute, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer mute.Close()
	config := bytes.ReplaceAll(fleet.Config("127.0.0.1:0"), []byte(fleet.Discovery), []byte(mute.Addr().String()))
	p = begin(t, config, "")
	p.line(t, `(`+silent+`)`)
	p.http = "http://" + p.line(t, serving+`(\S+)`)
	if res, err := http.DefaultClient.Do(request(p, "a1", "draft-reply")); err != nil || res.StatusCode != 200 {
		t.Errorf("not served with the list of before: %v %v", res, err)
	}
}

// Nobody is kept from serving by a discovery that is down, refuses or never ends its first word, whoever else starts: 300
// processes at once with an old list wait for no more than a part of the 10 s in which nine in ten must be ready.
func TestReadinessDoesNotWaitForDiscovery(t *testing.T) {
	for _, alone := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			begun := time.Now()
			var all sync.WaitGroup
			for range 300 {
				all.Go(func() { await(t.Context(), make(chan struct{}), alone, slog.New(slog.DiscardHandler)) })
			}
			all.Wait()
			if took := time.Since(begun); took > 2*time.Second {
				t.Errorf("alone %v: ready after %v", alone, took)
			}
			told := make(chan struct{})
			close(told)
			begun = time.Now()
			if await(t.Context(), told, alone, slog.New(slog.DiscardHandler)); time.Since(begun) > 0 {
				t.Errorf("alone %v: waits though discovery has told", alone)
			}
		})
	}
	for name, way := range map[string]func(c net.Conn){
		"silent": func(c net.Conn) { io.Copy(io.Discard, c) },
		"refusing": func(c net.Conn) {
			io.WriteString(c, "HTTP/1.1 503 X\r\nRetry-After: 3600\r\nContent-Length: 0\r\n\r\n")
		},
		"cut":  func(c net.Conn) { io.WriteString(c, "HTTP/1.1 200 X\r\nContent-Length: 900\r\n\r\n{\"seq\":9,") },
		"dead": nil,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			fleet, err := standin.Start(standin.Options{})
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(fleet.Close)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { l.Close() })
			if way == nil {
				l.Close()
			}
			go func() {
				for c, err := l.Accept(); err == nil; c, err = l.Accept() {
					go func() { way(c); c.Close() }()
				}
			}()
			p := begin(t, bytes.ReplaceAll(fleet.Config("127.0.0.1:0"), []byte(fleet.Discovery), []byte(l.Addr().String())), "")
			p.http = "http://" + p.line(t, `msg=serving .*front=http listen=(\S+)`)
			if res, err := http.Get(p.http + "/health/ready"); err != nil || res.StatusCode != 200 {
				t.Errorf("not ready: %v %v", res, err)
			}
			if res, err := http.DefaultClient.Do(request(p, "a1", "draft-reply")); err != nil || res.StatusCode != 200 {
				t.Errorf("not served with the list of before: %v %v", res, err)
			}
		})
	}
}

// SIGHUP must end neither the program nor what it knows: it moves to the discovery that the file names
// now, though the environment names the old one, and takes the whole list there. A file that can't be
// read changes nothing.
func TestSIGHUPMovesToAnotherDiscovery(t *testing.T) {
	old, err := standin.Start(standin.Options{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(old.Close)
	next, err := standin.Start(standin.Options{Readers: 2})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(next.Close)
	t.Setenv("ROUTER_DISCOVERY", old.Discovery)
	p := begin(t, old.Config("127.0.0.1:0"), "")
	p.http = "http://" + p.line(t, `msg=serving .*front=http listen=(\S+)`)
	p.line(t, `msg="worker list" .*entries=(2)`)
	hup := func(config []byte, want string) {
		t.Helper()
		os.WriteFile(p.file, config, 0o600)
		p.cmd.Process.Signal(syscall.SIGHUP)
		p.line(t, want)
	}
	hup([]byte("{"), `level=ERROR msg="new configuration is not taken`)
	hup(next.Config("x"), `msg="worker list" .*whole=true entries=(3)`)
	hup(next.Config("x"), `msg="new configuration"`)
	next.SetHealth("reader-1", "draining") // a watch goes on there
	p.line(t, `msg="worker list" .*seq=(2)`)
	res, err := http.DefaultClient.Do(request(p, "h1", "draft-reply"))
	if err != nil || res.StatusCode != 200 {
		t.Fatal(res, err)
	}
	io.Copy(io.Discard, res.Body)
	if next.Calls("read", "h1") != 1 || old.Calls("read", "h1") != 0 {
		t.Errorf("read %d times by a worker that only the new list names", next.Calls("read", "h1"))
	}
	p.cmd.Process.Signal(syscall.SIGTERM)
	p.cmd.Process.Signal(syscall.SIGHUP)
	p.line(t, "msg=(ended)")
	if err := p.cmd.Wait(); err != nil {
		t.Errorf("the program ended with %v", err)
	}
}

// A router in standby must be left by all its clients and come back when it is called back.
func TestStandbyEmptiesTheRouterAndActiveBringsItBack(t *testing.T) {
	t.Setenv("ROUTER_OPERATOR", "127.0.0.1:0")
	t.Setenv("TMPDIR", t.TempDir())
	fleet, err := standin.Start(standin.Options{Tokens: 40, TokenTime: 10 * time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(fleet.Close)
	p := begin(t, fleet.Config("127.0.0.1:0"), "")
	p.operators = "http://" + p.line(t, `msg=serving .*front=operator listen=(\S+)`)
	p.http = "http://" + p.line(t, `msg=serving .*front=http listen=(\S+)`)
	silent, err := net.Dial("tcp", strings.TrimPrefix(p.operators, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	kept, err := net.Dial("tcp", strings.TrimPrefix(p.http, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer kept.Close()
	fmt.Fprint(kept, "GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n")
	answers := bufio.NewReader(kept)
	if res, err := http.ReadResponse(answers, nil); err != nil || res.StatusCode != 200 {
		t.Fatal(res, err)
	}
	res, err := http.DefaultClient.Do(request(p, "s1", "send-message"))
	if err != nil || res.StatusCode != 200 {
		t.Fatal(res, err)
	}
	if code := p.call(t, "GET", "/status"); code != 200 {
		t.Errorf("status %d", code)
	}
	if code := p.call(t, "POST", "/standby"); code != 200 {
		t.Fatalf("standby: %d", code)
	}
	if _, err := answers.ReadByte(); err != io.EOF {
		t.Errorf("a kept connection in standby: %v", err)
	}
	if text, err := io.ReadAll(res.Body); err != nil || !strings.HasSuffix(string(text), "data: [DONE]\n\n") {
		t.Errorf("a stream that runs on in standby: %v %q", err, text)
	}
	ready := func() int {
		res, err := http.Get(p.http + "/health/ready")
		if err != nil {
			t.Fatal(err)
		}
		res.Body.Close()
		return res.StatusCode
	}
	if code := ready(); code == 200 {
		t.Error("ready in standby")
	}
	if p.call(t, "POST", "/active") != 200 || ready() != 200 || p.call(t, "GET", "/active") != 405 || p.call(t, "POST", "/status") != 405 {
		t.Error("not back at work, or a call by another method was taken")
	}
	silent.SetReadDeadline(time.Now().Add(30 * time.Second))
	if _, err := silent.Read(make([]byte, 1)); err == nil || os.IsTimeout(err) {
		t.Errorf("a caller that says nothing: %v", err)
	}
}

// A newer process takes over at the same address: nothing that comes meanwhile may be lost, and what the
// older one was told to keep out stays out.
func TestAnUpgradeLosesNothingAndKeepsTheBan(t *testing.T) {
	t.Setenv("ROUTER_OPERATOR", "127.0.0.1:0")
	t.Setenv("TMPDIR", t.TempDir())
	fleet, err := standin.Start(standin.Options{Writers: 2, Tokens: 4})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(fleet.Close)
	old := begin(t, fleet.Config("127.0.0.1:0"), "")
	old.operators = "http://" + old.line(t, `msg=serving .*front=operator listen=(\S+)`)
	addr := old.line(t, `msg=serving .*front=http listen=(\S+)`)
	old.http = "http://" + addr
	for path, want := range map[string]int{"enter?who=writer-1": 200, "enter?who=nobody": 404, "exit?who=nobody": 404, "enter": 400, "enter?who=": 400} {
		if code := old.call(t, "POST", "/maintenance/"+path); code != want {
			t.Errorf("%s: %d, want %d", path, code, want)
		}
	}
	old.call(t, "POST", "/maintenance/enter?who=writer-1") // twice is the same as once
	ask := func(id string) {
		t.Helper()
		req := request(old, id, "send-message")
		req.Close = true // each on a connection of its own
		res, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(id, err)
		}
		text, err := io.ReadAll(res.Body)
		if err != nil || res.StatusCode != 200 {
			t.Fatal(id, res.StatusCode, err, string(text))
		}
	}
	ask("u0")
	next := begin(t, fleet.Config(addr), "")
	next.operators = "http://" + next.line(t, `msg=serving .*front=operator listen=(\S+)`)
	next.line(t, `msg="(taking over)"`)
	next.line(t, `msg=serving .*front=http listen=(\S+)`)
	for i := range 20 {
		ask(fmt.Sprint("both", i))
	}
	old.cmd.Process.Signal(syscall.SIGTERM)
	old.line(t, `msg=draining .*handed_on=(true)`)
	for i := range 20 {
		ask(fmt.Sprint("after", i))
		if res, err := http.Get(old.http + "/health/ready"); err != nil || res.StatusCode != 200 {
			t.Fatal("not ready while one takes over from the other", res, err)
		}
	}
	old.line(t, "msg=(ended)")
	if n := fleet.CallsAt("writer-1"); n != 0 {
		t.Errorf("%d requests to a worker that is out", n)
	}
	if code := next.call(t, "POST", "/maintenance/exit?who=writer-1"); code != 200 {
		t.Errorf("back: %d", code)
	}
	for i := 0; fleet.CallsAt("writer-1") == 0; i++ {
		if i == 200 {
			t.Fatal("a worker that was put back gets nothing")
		}
		ask(fmt.Sprint("back", i))
	}
}

// A stream that runs when the older process has to end must go on in the newer one, byte for byte, and not be
// read or written anew.
func TestAStreamGoesOnInTheNextProcess(t *testing.T) {
	t.Setenv("TMPDIR", t.TempDir())
	fleet, err := standin.Start(standin.Options{Tokens: 80, TokenTime: 50 * time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(fleet.Close)
	old := begin(t, fleet.Config("127.0.0.1:0"), "")
	addr := old.line(t, `msg=serving .*front=http listen=(\S+)`)
	old.http = "http://" + addr
	res, err := http.DefaultClient.Do(request(old, "h1", "send-message"))
	if err != nil || res.StatusCode != 200 {
		t.Fatal(res, err)
	}
	next := begin(t, fleet.Config(addr), "")
	next.line(t, `msg=serving .*front=http listen=(\S+)`)
	old.cmd.Process.Signal(syscall.SIGTERM)
	old.line(t, "msg=(ended)")
	last := begin(t, fleet.Config(addr), "") // and in the one after that
	last.line(t, `msg=serving .*front=http listen=(\S+)`)
	next.cmd.Process.Signal(syscall.SIGTERM)
	text, err := io.ReadAll(res.Body)
	if err != nil || strings.Count(string(text), "data: ") != 82 || !strings.HasSuffix(string(text), "data: [DONE]\n\n") {
		t.Errorf("%v: %q", err, text)
	}
	if fleet.Effects()["send-message h1"] != 1 || fleet.Calls("read", "h1") != 1 {
		t.Errorf("effects %v, read %d times", fleet.Effects(), fleet.Calls("read", "h1"))
	}
}

func TestOperatorsFileTurnsGRPCOn(t *testing.T) {
	_, p := func() (*standin.Fleet, *program) {
		fleet, err := standin.Start(standin.Options{GRPC: true, Tokens: 2})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(fleet.Close)
		return fleet, begin(t, fleet.Config("127.0.0.1:0"), `{"grpc":{"listen":"127.0.0.1:0","worker_hosts":["*"]}}`)
	}()
	addr := p.line(t, `msg=serving .*front=grpc listen=(\S+)`)
	conn, err := grpc.NewClient("passthrough:///"+addr, grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	s, err := pb.NewCompletionsClient(conn).Complete(context.Background(), &pb.CompleteRequest{Id: "g1", Class: "draft-reply",
		PromptTokens: 40, FirstTokenWithin: durationpb.New(4 * time.Second), Messages: []*pb.Message{{Role: "user", Content: "k"}}})
	text := ""
	for err == nil {
		var c *pb.Chunk
		if c, err = s.Recv(); err == nil {
			text += c.Content
		}
	}
	if err != io.EOF || text != "t0 t1 " {
		t.Errorf("%q %v", text, err)
	}
}

func TestBadConfigurationEndsInOneLine(t *testing.T) {
	fleet, err := standin.Start(standin.Options{})
	if err != nil {
		t.Fatal(err)
	}
	defer fleet.Close()
	good := string(fleet.Config("127.0.0.1:0"))
	for name, c := range map[string]struct{ config, operator, want string }{
		"cut":      {good[:len(good)/2], "", "config.json"},
		"listen":   {strings.Replace(good, "127.0.0.1:0", "nowhere", 1), "", "listen"},
		"seed":     {strings.Replace(good, `"seed": "1"`, `"seed": "x"`, 1), "", "seed"},
		"effect":   {strings.Replace(good, "non_idempotent", "maybe", 1), "", "effect"},
		"instance": {strings.Replace(good, `"me": 0`, `"me": 7`, 1), "", "front 7 of 1"},
		"key":      {good, `{"grcp":{}}`, "grcp"},
		"address":  {good, `{"ext_proc":{"listen":"x"}}`, "ext_proc.listen"},
		"openapi":  {good, `{"ext_proc":{"listen":"127.0.0.1:0","openapi":"/none"}}`, "/none"},
	} {
		p := begin(t, []byte(c.config), c.operator)
		last, n := "", 0
		for l := range p.lines {
			if !strings.HasPrefix(l, "time=") {
				last, n = l, n+1
			}
		}
		if err := p.cmd.Wait(); err == nil || n != 1 || !strings.HasPrefix(last, "rowanyard: ") || !strings.Contains(last, c.want) {
			t.Errorf("%s: %v, %d lines, %q", name, err, n, last)
		}
	}
}

// The descriptions that the program serves hold for what it really takes and sends.
func TestDescriptionsMatchTheRealMessages(t *testing.T) {
	_, p := up(t, standin.Options{Tokens: 2}, "")
	get := func(path string) []byte {
		res, err := http.Get(p.http + path)
		if err != nil || res.StatusCode != 200 {
			t.Fatal(path, res, err)
		}
		defer res.Body.Close()
		text, _ := io.ReadAll(res.Body)
		return text
	}
	doc, err := openapi3.NewLoader().LoadFromData(get("/openapi.yaml"))
	if err != nil {
		t.Fatal(err)
	}
	router, err := gorillamux.NewRouter(doc)
	if err != nil {
		t.Fatal(err)
	}
	check := func(req *http.Request, wantCode int, wantValid bool) string {
		route, params, err := router.FindRoute(req)
		if err != nil {
			t.Fatal(err)
		}
		in := &openapi3filter.RequestValidationInput{Request: req, Route: route, PathParams: params}
		if err := openapi3filter.ValidateRequest(context.Background(), in); (err == nil) != wantValid {
			t.Errorf("request: %v", err)
		}
		res, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		defer res.Body.Close()
		text, _ := io.ReadAll(res.Body)
		out := &openapi3filter.ResponseValidationInput{RequestValidationInput: in, Status: res.StatusCode, Header: res.Header,
			Options: &openapi3filter.Options{ExcludeResponseBody: true, IncludeResponseStatus: true}}
		if err := openapi3filter.ValidateResponse(context.Background(), out); err != nil || res.StatusCode != wantCode {
			t.Errorf("answer %d: %v", res.StatusCode, err)
		}
		return string(text)
	}
	text := check(request(p, "d1", "draft-reply"), 200, true)
	bad := request(p, "a/b", "draft-reply")
	check(bad, 400, false)

	var async struct {
		Components struct {
			Messages map[string]struct {
				Payload any `yaml:"payload"`
			} `yaml:"messages"`
		} `yaml:"components"`
	}
	if err := yaml.Unmarshal(get("/asyncapi.yaml"), &async); err != nil {
		t.Fatal(err)
	}
	seen := map[string]int{}
	for event := range strings.SplitSeq(strings.TrimSpace(text), "\n\n") {
		data := strings.TrimPrefix(event, "data: ")
		var value any = data
		if data != "[DONE]" {
			if err := yaml.Unmarshal([]byte(data), &value); err != nil {
				t.Fatal(err)
			}
		}
		fits := ""
		for name, m := range async.Components.Messages {
			schema := &openapi3.Schema{}
			raw, err := asJSON(m.Payload)
			if err == nil {
				err = schema.UnmarshalJSON(raw)
			}
			if err != nil {
				t.Fatal(name, err)
			}
			if schema.VisitJSON(widen(value)) == nil {
				fits += name + " "
			}
		}
		seen[fits]++
	}
	if seen["token "] != 2 || seen["usage "] != 1 || seen["done "] != 1 || len(seen) != 3 {
		t.Errorf("events fit %v", seen)
	}
}

func asJSON(v any) ([]byte, error) { return json.Marshal(v) }

// widen gives numbers the form that JSON has.
func widen(v any) any {
	text, _ := json.Marshal(v)
	var out any
	json.Unmarshal(text, &out)
	return out
}

// What lets others carry attempts is on where the operator's file says so, and the command line looks at it.
func TestOperatorsFileTurnsDecisionsOn(t *testing.T) {
	fleet, err := standin.Start(standin.Options{Tokens: 2})
	if err != nil {
		t.Fatal(err)
	}
	defer fleet.Close()
	api := filepath.Join(t.TempDir(), "api.yaml")
	describe := func(class string) {
		os.WriteFile(api, []byte(fmt.Sprintf(`openapi: 3.0.3
info: {title: theirs, version: "1"}
paths: {/send: {post: {x-rowanyard-class: %s, responses: {"200": {description: sent}}}}}
`, class)), 0o600)
	}
	describe("send-message")
	p := begin(t, fleet.Config("127.0.0.1:0"), `{"ext_proc":{"listen":"127.0.0.1:0","openapi":"`+api+`"},"decisions":{"listen":"127.0.0.1:0"},"metrics":{"listen":"127.0.0.1:0"}}`)
	metrics := p.line(t, `msg=serving .*front=metrics listen=(\S+)`)
	p.line(t, `msg=serving .*front=http`)
	res, err := http.Get("http://" + metrics + "/metrics")
	if err != nil {
		t.Fatal(err)
	}
	text, _ := io.ReadAll(res.Body)
	res.Body.Close()
	if !strings.Contains(string(text), `rowanyard_grants{state="offered"} 0`) || !strings.Contains(string(text), "rowanyard_effects 0") {
		t.Errorf("metrics: %s", text)
	}
	addr := p.decisions
	conn, err := grpc.NewClient("passthrough:///"+addr, grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	ask := func(id string) (*decisionspb.Choice, error) {
		ctx, stop := context.WithTimeout(metadata.AppendToOutgoingContext(context.Background(), "rowanyard-caller", "test"), time.Minute)
		defer stop()
		return decisionspb.NewDecisionsClient(conn).Choose(ctx, &decisionspb.ChooseRequest{Request: id, Method: "POST", Path: "/send", PromptTokens: 9})
	}
	// open asks for a request and takes its grant up: it stays open for its attempt's whole time then, however long what
	// follows takes. One whose grant was void by then, after grants.hold_ms on a busy machine, is left for another.
	open := func(id string) (string, *decisionspb.Choice) {
		t.Helper()
		caller := metadata.AppendToOutgoingContext(t.Context(), "rowanyard-caller", "test")
		for try := range 20 {
			id := fmt.Sprintf("%s-%d", id, try)
			g, err := ask(id)
			if err != nil || g.Class != "send-message" {
				t.Fatal(g, err)
			}
			r, err := decisionspb.NewDecisionsClient(conn).Renew(caller, &decisionspb.RenewRequest{TakenUp: []uint64{g.Grant}})
			if err != nil {
				t.Fatal(err)
			}
			if len(r.Grants) == 1 && r.Grants[0].Why == "" {
				return id, g
			}
		}
		t.Fatal("no grant could be taken up")
		return "", nil
	}
	first, g := open("d1")
	out, err := exec.Command(binary, "grants", addr).CombinedOutput()
	if err != nil || !strings.Contains(string(out), "1 requests open of 1 callers") || !strings.Contains(string(out), g.Worker) || !strings.Contains(string(out), first) {
		t.Errorf("grants: %v %s", err, out)
	}
	describe("nonsense")
	p.cmd.Process.Signal(syscall.SIGHUP)
	p.line(t, `operator's file is not taken.*unknown class`)
	if g, err := ask("d2"); err != nil || g.Class != "send-message" {
		t.Errorf("after a bad description: %v %v", g, err)
	}
	describe("draft-reply")
	second, _ := open("d4")
	p.cmd.Process.Signal(syscall.SIGHUP)
	p.line(t, `msg="new descriptions"`)
	if g, err := ask("d3"); err != nil || g.Class != "draft-reply" {
		t.Errorf("after a good one: %v %v", g, err)
	}
	if _, err := ask(second); status.Code(err) != codes.FailedPrecondition {
		t.Errorf("a request that is open changed its class: %v", err)
	}
}

// One router of 1,024 with 1,024 workers takes the list, whole and again and again, serves, and stays in the memory and
// descriptors that the platform gives it.
func TestAThousandWorkersAndRouters(t *testing.T) {
	const memory, sockets = 96, 512
	fleet, err := standin.Start(standin.Options{Readers: 2, Writers: 2, Listed: 1024})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(fleet.Close)
	config := string(fleet.Config("127.0.0.1:0"))
	for from, to := range map[string]string{`"n_instances": 1,`: `"n_instances": 1024,`, `"me": 0,`: `"me": 1023,`,
		`"memory_mb": 192`: fmt.Sprint(`"memory_mb": `, memory), `"sockets": 1024`: fmt.Sprint(`"sockets": `, sockets)} {
		if !strings.Contains(config, from) {
			t.Fatalf("no %s in the configuration", from)
		}
		config = strings.Replace(config, from, to, 1)
	}
	p := begin(t, []byte(config), "")
	p.http = "http://" + p.line(t, `msg=serving .*front=http listen=(\S+)`)
	var served atomic.Int32
	for round := range 5 {
		var all sync.WaitGroup
		for i := range 40 {
			all.Go(func() {
				res, err := http.DefaultClient.Do(request(p, fmt.Sprintf("%x", 1000*round+i+1), "draft-reply"))
				switch {
				case err != nil:
					t.Errorf("round %d: %v", round, err)
					return
				case res.StatusCode == 200:
					served.Add(1)
				case res.StatusCode != 503 || res.Header.Get("Retry-After") == "": // a slow machine may be taken for busy workers
					t.Errorf("round %d: %v", round, res.Status)
				}
				io.Copy(io.Discard, res.Body)
				res.Body.Close()
			})
		}
		all.Wait()
		fleet.SetHealth(fmt.Sprintf("reader-%d", 4*round+4), "draining")
		if n := p.line(t, fmt.Sprintf(`msg="worker list" .*seq=%d .*entries=(\d+)`, round+2)); n != "1024" {
			t.Errorf("a list of %s", n)
		}
	}
	if served.Load() < 100 {
		t.Errorf("%d of 200 served", served.Load())
	}
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		t.Skip("no /proc here")
	}
	var peak int
	if m := regexp.MustCompile(`VmHWM:\s+(\d+) kB`).FindSubmatch(status); m != nil {
		peak, _ = strconv.Atoi(string(m[1]))
	}
	fds, _ := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", p.cmd.Process.Pid))
	if peak == 0 || peak > memory<<10 || len(fds) > sockets {
		t.Errorf("%d kB of %d, %d descriptors of %d", peak, memory<<10, len(fds), sockets)
	}
	t.Logf("%d kB at most, %d descriptors", peak, len(fds))
}

// gate is a way to discovery that is silent until it is opened.
type gate struct {
	net.Listener
	open atomic.Bool
}

func newGate(t *testing.T, to string) *gate {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	g := &gate{Listener: l}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				if !g.open.Load() {
					io.Copy(io.Discard, c)
					return
				}
				d, err := net.Dial("tcp", to)
				if err != nil {
					return
				}
				defer d.Close()
				go func() { io.Copy(d, c); d.Close() }()
				io.Copy(c, d)
			}()
		}
	}()
	return g
}

// Idle clients fill all descriptors that the system gives, fewer than the configuration says, while discovery is down. When
// it returns its list is had, and workers and operators are reached: idle clients go first, those at work stay.
func TestIdleClientsTakeNoDescriptorThatIsNeeded(t *testing.T) {
	const system, clients = 80, 150
	fleet, err := standin.Start(standin.Options{Readers: 2, Tokens: 40, TokenTime: 100 * time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(fleet.Close)
	g := newGate(t, fleet.Discovery)
	t.Setenv("ROUTER_OPERATOR", "127.0.0.1:0")
	config := bytes.ReplaceAll(fleet.Config("127.0.0.1:0"), []byte(fleet.Discovery), []byte(g.Addr().String()))
	p := beginAs(t, exec.Command("sh", "-c", fmt.Sprintf("ulimit -n %d; exec %s", system, binary)), config, "")
	p.operators = "http://" + p.line(t, `msg=serving .*front=operator listen=(\S+)`)
	p.http = "http://" + p.line(t, `msg=serving .*front=http listen=(\S+)`)
	atWork, err := http.DefaultClient.Do(request(p, "w1", "send-message")) // streams for 4 s
	if err != nil || atWork.StatusCode != 200 {
		t.Fatal(atWork, err)
	}
	ctx, stop := context.WithCancel(t.Context())
	var all, begun sync.WaitGroup
	begun.Add(clients)
	for i := range clients { // each comes again when it is closed, some after a request
		all.Go(func() {
			first := begun.Done
			for ctx.Err() == nil {
				c, err := (&net.Dialer{}).DialContext(ctx, "tcp", strings.TrimPrefix(p.http, "http://"))
				if first(); err == nil {
					if i%2 == 0 {
						fmt.Fprint(c, "GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n")
					}
					end := context.AfterFunc(ctx, func() { c.Close() })
					io.Copy(io.Discard, c)
					end()
					c.Close()
				}
				first = func() {}
			}
		})
	}
	defer all.Wait()
	defer stop()
	begun.Wait()
	p.line(t, `msg="(full house)"`)
	fleet.SetHealth("reader-2", "draining")
	g.open.Store(true)
	p.line(t, `msg="worker list" .*seq=(2)`)
	if code := p.call(t, http.MethodGet, "/status"); code != 200 {
		t.Errorf("operators get %d", code)
	}
	if res, err := http.DefaultClient.Do(request(p, "w2", "draft-reply")); err != nil || res.StatusCode != 200 {
		t.Errorf("who has work among them: %v %v", res, err)
	}
	if text, err := io.ReadAll(atWork.Body); err != nil || !strings.HasSuffix(string(text), "data: [DONE]\n\n") {
		t.Errorf("who was at work: %v, %d bytes", err, len(text))
	}
	if fds, _ := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", p.cmd.Process.Pid)); len(fds) > system {
		t.Errorf("%d descriptors", len(fds))
	}
}

// As the platform runs it, the program opens the platform's port and nothing else: no further listener, no socket of
// a name.
func TestABareRunOpensOnePort(t *testing.T) {
	_, p := up(t, standin.Options{}, "")
	listeners := func(file string) (n int) {
		fds, err := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", p.cmd.Process.Pid))
		if err != nil || len(fds) == 0 {
			t.Skip("no /proc here")
		}
		own := map[string]bool{}
		for _, fd := range fds {
			if to, err := os.Readlink(fd); err == nil && strings.HasPrefix(to, "socket:[") {
				own[strings.Trim(strings.TrimPrefix(to, "socket:"), "[]")] = true
			}
		}
		text, _ := os.ReadFile("/proc/net/" + file)
		for l := range strings.Lines(string(text)) {
			f := strings.Fields(l)
			switch {
			case file == "unix" && len(f) >= 7 && own[f[6]]:
				n++
			case file != "unix" && len(f) > 9 && f[3] == "0A" && own[f[9]]:
				n++
			}
		}
		return n
	}
	if n := listeners("tcp") + listeners("tcp6"); n != 1 {
		t.Errorf("%d listeners", n)
	}
	if n := listeners("unix"); n != 0 {
		t.Errorf("%d sockets of a name", n)
	}
}

func TestCheckNamesPlaceAndReason(t *testing.T) {
	fleet, err := standin.Start(standin.Options{})
	if err != nil {
		t.Fatal(err)
	}
	defer fleet.Close()
	dir := t.TempDir()
	config, file := filepath.Join(dir, "config.json"), filepath.Join(dir, "operator.json")
	os.WriteFile(config, fleet.Config("127.0.0.1:0"), 0o600)
	for text, want := range map[string]string{
		`{"decisions":{"listen":"127.0.0.1:9092"}}`:                                    "good",
		"{\n\"decisions\":{\n\"port\":1}}":                                             "operator.json:3: port: no such key",
		`{"grants":{"delivery_ms":450}}`:                                               "delivery: 450ms",
		`{"ext_proc":{"listen":"127.0.0.1:1","openapi":"../../example/members.yaml"}}`: "good",
	} {
		os.WriteFile(file, []byte(text), 0o600)
		cmd := exec.Command(binary, "check", file)
		cmd.Env = append(os.Environ(), "ROUTER_CONFIG="+config)
		out, err := cmd.CombinedOutput()
		if (err == nil) != (want == "good") || !strings.Contains(string(out), want) {
			t.Errorf("%s: %v %s, want %q", text, err, out, want)
		}
	}
	if out, err := exec.Command(binary, "nonsense").CombinedOutput(); err == nil || !strings.Contains(string(out), "nonsense") {
		t.Errorf("an unknown command: %v %s", err, out)
	}
}
