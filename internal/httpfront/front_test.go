package httpfront

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"rowanyard/decide"
	"rowanyard/internal/core"
)

var discardLogger = slog.New(slog.DiscardHandler)

var requestBody = `{"model":"chat","stream":true,"max_tokens":9,"messages":[{"role":"user","content":"` + strings.Repeat("x", 5000) + `"}]}`

func requestHeader() http.Header {
	h := http.Header{}
	for k, v := range map[string]string{"X-Txn": "9b1f03aa5c7e2d41", "X-Lane": "chat", "X-Entity": "7f3a9c21e0b4d655",
		"X-Remaining-Ms": "4800", "X-Estimate": "120000", "X-Resent": "again",
		"X-Labels": "prefix=5c0f6e1a2b3d4c59,prompt_len=5120,prefix_len=2048,max_out=800"} {
		h.Set(k, v)
	}
	return h
}

// startFront serves a front whose core has one reader and one writer, both served by worker.
func startFront(t *testing.T, worker http.HandlerFunc) (*httptest.Server, *core.Core) {
	t.Helper()
	s := httptest.NewServer(worker)
	t.Cleanup(s.Close)
	f, c := newFront(t, s.Listener.Addr().String())
	front := httptest.NewServer(f)
	t.Cleanup(front.Close)
	return front, c
}

// newFront returns a front whose core has one reader and one writer, both at addr.
func newFront(t *testing.T, addr string) (*Front, *core.Core) {
	t.Helper()
	return newFrontWithTarget(t, addr, time.Second)
}

// newFrontWithTarget is like newFront, with the given target for the time to the first token. No request is abandoned
// before a good part of it has passed.
func newFrontWithTarget(t *testing.T, addr string, target time.Duration) (*Front, *core.Core) {
	t.Helper()
	w := NewWorkers(250*time.Millisecond, 15*time.Second, 100, discardLogger)
	c, err := core.New(decide.Settings{RouterCount: 1, ClockStep: 2 * time.Millisecond, MaxAttempts: 4, CanCancel: true, PinLimit: 300 * time.Millisecond,
		MaxRetryAfter: 500 * time.Millisecond,
		Kinds:         []decide.Kind{{Role: decide.Reader, MemoryTokens: 1e5}, {Role: decide.Writer, MemoryTokens: 1e5}},
		Classes:       []decide.Class{{TTFTTarget: target, Deadline: 5 * target, Value: 1, Effect: decide.Unsafe}}}, 1, w, discardLogger)
	if err != nil {
		t.Fatal(err)
	}
	c.SetWorkers(true, []core.Worker{{Addr: addr, Server: decide.Server{ID: "r", Kind: 0}}, {Addr: addr, Server: decide.Server{ID: "w", Kind: 1}}})
	f := New(c, w, []string{"chat"}, nil, discardLogger)
	f.writeTimeout = 100 * time.Millisecond
	return f, c
}

// twoStageWorker answers the first call as a reader and passes the others to write.
func twoStageWorker(write http.HandlerFunc) http.HandlerFunc {
	var n atomic.Int64
	return func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		switch {
		case r.Method != http.MethodPost:
		case n.Add(1) == 1:
			w.WriteHeader(http.StatusAccepted)
			io.WriteString(w, `{"cached_tokens":12}`)
		default:
			write(w, r)
		}
	}
}

func post(t *testing.T, url string, h http.Header, body string) (*http.Response, string, error) {
	t.Helper()
	req, _ := http.NewRequest(http.MethodPost, url+"/v1/chat/completions?q=1", strings.NewReader(body))
	req.Header = h
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	return res, string(text), err
}

func TestStreamPassesUnchanged(t *testing.T) {
	events := "data: {\"a\": 1}\n\n: X-Pressure: queue=1\r\n\ndata: [DONE]\n\n"
	front, _ := startFront(t, twoStageWorker(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.RequestURI() != "/v1/chat/completions?q=1" || r.Header.Get("X-Txn") != "9b1f03aa5c7e2d41" {
			t.Errorf("%s, id %q", r.URL, r.Header.Get("X-Txn"))
		}
		w.Header().Set("Content-Type", "text/event-stream")
		io.WriteString(w, events)
	}))
	res, text, err := post(t, front.URL, requestHeader(), requestBody)
	if res.StatusCode != 200 || text != events || err != nil {
		t.Errorf("%d %q %v", res.StatusCode, text, err)
	}
}

func TestBrokenWorkerStreamBreaksClientStream(t *testing.T) {
	front, c := startFront(t, twoStageWorker(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		io.WriteString(w, "data: {}\n\n")
		http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}))
	res, text, err := post(t, front.URL, requestHeader(), requestBody)
	if res.StatusCode != 200 || text != "data: {}\n\n" || err == nil {
		t.Errorf("%d %q: the broken stream ended without an error", res.StatusCode, text)
	}
	waitForCore(t, c)
}

func TestClientThatStopsReadingIsDisconnected(t *testing.T) {
	writerDone := make(chan struct{})
	front, c := startFront(t, twoStageWorker(func(w http.ResponseWriter, r *http.Request) {
		defer close(writerDone)
		for event := bytes.Repeat([]byte("data: {\"a\": 1}\n\n"), 1<<12); ; {
			if _, err := w.Write(event); err != nil {
				return
			}
		}
	}))
	req, _ := http.NewRequest(http.MethodPost, front.URL+PathChat, strings.NewReader(requestBody))
	req.Header = requestHeader()
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	receive(t, writerDone, "the end of the write")
	waitForCore(t, c)
}

// The worker closes the connection after the request's last byte. The HTTP library must not send the request again by
// itself, and the outcome must show that the request may have run.
func TestResetAfterTheLastByteIsSentOnce(t *testing.T) {
	var writes atomic.Int64
	front, _ := startFront(t, twoStageWorker(func(w http.ResponseWriter, r *http.Request) {
		writes.Add(1)
		panic(http.ErrAbortHandler)
	}))
	res, _, _ := post(t, front.URL, requestHeader(), requestBody)
	if res.StatusCode != http.StatusBadGateway || writes.Load() != 1 {
		t.Errorf("%d after %d writes", res.StatusCode, writes.Load())
	}
}

// closedPort returns an address that refuses connections and stays reserved until the end of the test.
func closedPort(t *testing.T) string {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err == nil {
		err = syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}})
	}
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { syscall.Close(fd) })
	at, _ := syscall.Getsockname(fd)
	return fmt.Sprintf("127.0.0.1:%d", at.(*syscall.SockaddrInet4).Port)
}

func TestAttemptOutcomes(t *testing.T) {
	w := NewWorkers(250*time.Millisecond, 15*time.Second, 100, discardLogger)
	refused := closedPort(t)
	for _, c := range []struct {
		name       string
		read       bool
		code       int
		turnedAway string
		body       string
		want       decide.Status
		noState    bool
	}{
		{"read", true, 202, "", `{"cached_tokens":7}`, decide.Read, false},
		{"read, malformed", true, 202, "", `{"cach`, decide.Read, false},
		{"full", false, 503, "1", "", decide.Rejected, false},
		{"over", false, 504, "1", "", decide.Rejected, false},
		{"no state", false, 410, "1", "", decide.Rejected, true},
		{"error", false, 500, "", "", decide.Errored, false},
		{"503 without X-Turned-Away", false, 503, "", "", decide.Errored, false},
		{"a writer that reads", false, 202, "", "{}", decide.Errored, false},
		{"a reader that writes", true, 200, "", "data: 1\n\n", decide.Errored, false},
		{"empty stream", false, 200, "", "", decide.Reset, true},
	} {
		s := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
			io.Copy(io.Discard, r.Body)
			if c.turnedAway != "" {
				rw.Header().Set("X-Turned-Away", c.turnedAway)
			}
			rw.WriteHeader(c.code)
			io.WriteString(rw, c.body)
		}))
		x := &Exchange{Workers: w, Method: http.MethodPost, URI: "/", Head: requestHeader(), Body: []byte(requestBody)}
		a := core.Attempt{To: core.Worker{Addr: s.Listener.Addr().String()}, Read: c.read, Deadline: time.Now().Add(time.Second), MaySend: func() bool { return true }}
		if res := x.Try(context.Background(), a); res.Status != c.want || res.NoState != c.noState {
			t.Errorf("%s: %+v", c.name, res)
		}
		s.Close()
		a.To.Addr = refused
		if res := x.Try(context.Background(), a); res.Status != decide.ConnectFailed {
			t.Errorf("refused: %+v", res)
		}
		a.MaySend = func() bool { return false }
		a.To.Addr = s.Listener.Addr().String()
		if res := x.Try(context.Background(), a); res.Status != decide.ConnectFailed && res.Status != decide.Unsent {
			t.Errorf("not allowed: %+v", res)
		}
	}
}

func TestBadRequestsGet4xxAndNoAttempt(t *testing.T) {
	front, _ := startFront(t, func(w http.ResponseWriter, r *http.Request) { t.Error("an attempt was made") })
	for name, bad := range map[string]string{"X-Txn": "a/b", "X-Lane": "none", "X-Entity": "xyz", "X-Remaining-Ms": "1e3",
		"X-Estimate": "NaN", "X-Resent": "2", "X-Labels": "prompt_len=-1"} {
		h := requestHeader()
		h.Set(name, bad)
		if res, text, _ := post(t, front.URL, h, requestBody); res.StatusCode != 400 || !strings.Contains(text, name) {
			t.Errorf("%s: %d %q", name, res.StatusCode, text)
		}
	}
	if res, _, _ := post(t, front.URL, requestHeader(), requestBody[:50]); res.StatusCode != 400 {
		t.Errorf("cut body: %d", res.StatusCode)
	}
	for _, empty := range []string{`{"model":"chat"}`, `{"messages":[ ]}`, `{"messages":{"a":1}}`, `{"messages":null}`} {
		if res, _, _ := post(t, front.URL, requestHeader(), empty); res.StatusCode != 400 {
			t.Errorf("%s: %d", empty, res.StatusCode)
		}
	}
	if res, _, _ := post(t, front.URL, requestHeader(), strings.Repeat(" ", maxBodyBytes+1)); res.StatusCode != 413 {
		t.Errorf("large body: %d", res.StatusCode)
	}
}

func TestRefusalCarriesRetryAfter(t *testing.T) {
	h := http.Header{}
	if setRetryAfter(h, 250*time.Millisecond); h.Get("Retry-After") != "0.250" {
		t.Errorf("%v", h)
	}
}

// A malformed line from discovery must not end the watch or discard the known workers. The full list is requested then.
func TestWatchSurvivesGarbage(t *testing.T) {
	var calls atomic.Int64
	versions := make(chan string, 10)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		versions <- r.URL.Query().Get("after")
		if calls.Add(1) == 1 {
			io.WriteString(w, "\n{\"seq\":43,\"whole\":false,\"hosts\":[{\"host\":\"w\",\"dial\":\"127.0.0.1:1\",\"site\":\"a\",\"class\":\"m\",\"health\":\"up\"},{\"host\":\"v\",\"site\":\"?\"}]}\n{\"seq\":4")
			return
		}
		<-r.Context().Done()
	}))
	defer s.Close()
	c, _ := core.New(decide.Settings{RouterCount: 1, Kinds: []decide.Kind{{Role: decide.Reader}}}, 1, nil, discardLogger)
	d := NewDiscovery(Names{Kinds: []string{"m"}, Zones: []string{"a"}}, c, 0, discardLogger)
	defer d.Close()
	d.Follow(s.Listener.Addr().String(), 41)
	if a, b := <-versions, <-versions; a != "41" || b != "" {
		t.Errorf("requested the changes after %q, then after %q, want the full list", a, b)
	}
	if _, ok := c.Worker("w"); !ok {
		t.Error("the valid entry was lost")
	}
}

// addDamagedSeeds adds a valid message, random truncations of it and random bytes to the seed corpus of a parser.
func addDamagedSeeds(f *testing.F, valid string) {
	rng := rand.New(rand.NewPCG(1, 2))
	f.Add(valid)
	for range 40 {
		i, j := rng.IntN(len(valid)+1), rng.IntN(len(valid)+1)
		f.Add(valid[:i])
		f.Add(valid[:min(i, j)] + valid[max(i, j):])
		junk := make([]byte, rng.IntN(64))
		for k := range junk {
			junk[k] = byte(rng.Uint32())
		}
		f.Add(string(junk))
	}
}

func FuzzLabels(f *testing.F) {
	addDamagedSeeds(f, requestHeader().Get("X-Labels"))
	f.Fuzz(func(t *testing.T, text string) {
		var q decide.Request
		if err := parseLabels(&q, text); err == nil && (q.PromptLength < 0 || q.PrefixLength < 0 || q.MaxOutput < 0 || q.PromptLength > maxTokens) {
			t.Errorf("%q: %+v", text, q)
		}
	})
}

func FuzzList(f *testing.F) {
	addDamagedSeeds(f, `{"seq":43,"whole":false,"hosts":[{"host":"s","dial":"10.1.0.18:9000","site":"a","class":"m2","block":3,"health":"draining","share":1.0,"born_ms":12}]}`)
	names := Names{Kinds: []string{"m2"}, Zones: []string{"a"}}
	f.Fuzz(func(t *testing.T, text string) {
		l, err := parseList([]byte(text))
		if err != nil {
			return
		}
		for _, w := range names.Workers(l, discardLogger) {
			if w.State != decide.Gone && (w.Kind != 0 || w.Zone != 0 || w.ID == "" || w.Addr == "") {
				t.Errorf("%q: %+v", text, w)
			}
		}
	})
}

func FuzzAnswers(f *testing.F) {
	addDamagedSeeds(f, `{"cached_tokens":4096}`)
	addDamagedSeeds(f, "util=0.61,queue=2,x0=0.4")
	f.Fuzz(func(t *testing.T, text string) {
		if n, err := parseReadAnswer([]byte(text)); err == nil && (n < 0 || n > maxTokens) {
			t.Errorf("%q: %d cached tokens", text, n)
		}
		if p, err := parseLoadReport(text); err == nil && !(p.QueuedRequests >= -1 && p.QueuedTokens >= -1 && p.QueuedRequests <= maxTokens) {
			t.Errorf("%q: %+v", text, p)
		}
	})
}

func FuzzHead(f *testing.F) {
	var b bytes.Buffer
	requestHeader().Write(&b)
	addDamagedSeeds(f, b.String())
	classes := ClassesOf([]string{"chat"})
	f.Fuzz(func(t *testing.T, text string) {
		h := http.Header{}
		for line := range strings.SplitSeq(text, "\r\n") {
			if k, v, ok := strings.Cut(line, ": "); ok {
				h.Set(k, v)
			}
		}
		if q, err := classes.parseHead(h); err == nil && (q.Class != 0 || q.TimeLeft < 0 || q.DurationHint < 0 || !ValidID(h.Get(headerTxn))) {
			t.Error(fmt.Sprintf("%q: %+v", text, q))
		}
	})
}

// If discovery is overloaded, the requests of all routers together must become fewer and be spread over time, and its
// Retry-After must be obeyed: otherwise many routers that lost it at once keep it overloaded for good. If it is merely
// unreachable, it is tried again soon. No wait may reach the deadline by which a router must have applied a change,
// however many routers there are.
func TestOverloadedDiscoveryIsBackedOff(t *testing.T) {
	const interval, maxWait = 20 * overloadBackoffPerRouter, changeDeadline - answerAllowance
	busy := fmt.Errorf("watch: %w", statusError{503, 0})
	for failed := range 40 {
		waits, sum := map[time.Duration]bool{}, time.Duration(0)
		for range 200 {
			w := backoff(busy, failed, interval, maxWait)
			waits[w] = true
			sum += w
		}
		if want := min(interval<<min(failed, 10), maxWait*3/4); len(waits) < 100 || sum/200 < want*8/10 || sum/200 > want*12/10 {
			t.Errorf("after %d failures %v on average at %d times, want %v", failed, sum/200, len(waits), want)
		}
		if w := backoff(io.ErrUnexpectedEOF, failed, interval, maxWait); w > maxBackoff || failed == 0 && w > minBackoff {
			t.Errorf("unreachable, %d failures: called again after %v", failed, w)
		}
		for _, err := range []error{busy, syscall.ECONNRESET, statusError{503, time.Hour}} {
			if w := backoff(err, failed, 1000*overloadBackoffPerRouter, moveDeadline-answerAllowance); w > moveDeadline-answerAllowance {
				t.Errorf("%v, %d failures, 1000 routers: called again after %v", err, failed, w)
			}
		}
	}
	if w := backoff(statusError{503, 3 * time.Second}, 0, time.Second, maxWait); w < maxWait/2 || w > 4*time.Second {
		t.Errorf("Retry-After of 3 s: called again after %v", w)
	}
}

// A router must query discovery as soon as it starts, however many others there are: within some seconds it must have
// applied each change, and without the list it would send to workers that are draining or gone.
func TestDiscoveryIsQueriedAtOnce(t *testing.T) {
	requests := make(chan bool, 10)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		requests <- true
		io.WriteString(w, "\n")
		<-r.Context().Done()
	}))
	defer s.Close()
	c, _ := core.New(decide.Settings{RouterCount: 1 << 20, Kinds: []decide.Kind{{Role: decide.Reader}}}, 1, nil, discardLogger)
	d := NewDiscovery(Names{}, c, 0, discardLogger)
	defer d.Close()
	d.Follow(s.Listener.Addr().String(), 41)
	receive(t, requests, "the request to discovery: a turn among so many routers would take a day")
}
