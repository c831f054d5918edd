// Package httpfront is the platform's protocol: HTTP/1.1 with clients and workers, and the watch on
// discovery. This file owns the side of the clients: reading a request's head into the values that
// the core knows, and passing a worker's stream on unchanged.
//
// It must never decide anything about a request, send one again, or hold back a final answer; all
// of that is the core's. It must never change what a client or a worker sent.
package httpfront

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log"
	"log/slog"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httputil"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"rowanyard/decide"
	"rowanyard/internal/core"
)

// Limits of what clients may send and hold.
const (
	maxBody    = 256 << 10
	maxHead    = 16 << 10
	maxTokens  = 1 << 30
	maxBodies  = 40 << 20               // bytes of bodies held at once, unless Bodies says otherwise
	drainTime  = 3 * time.Second        // a body that is too long is read for so long after its answer ...
	drainQuiet = 300 * time.Millisecond // ... and no longer than this after its last byte
	copyBuffer = 8 << 10
	pathReady  = "/health/ready"
	PathChat   = "/v1/chat/completions"
	headTxn    = "X-Txn"
	headLeft   = "X-Remaining-Ms"
	statusFail = http.StatusBadGateway
	handSpread = 600 * time.Millisecond  // streams are handed over one by one within this
	closeAfter = 600 * time.Millisecond  // after SIGTERM connections still arrive for so long
	emptyAfter = 1500 * time.Millisecond // in standby connections without a request end after this ...
	emptyAgain = 100 * time.Millisecond  // ... and are looked for so often
	writeLimit = 30 * time.Second        // a client that takes nothing for so long is let go
)

// Stream is what an Answer of this front streams: a worker's events as they stand on the wire.
type Stream interface {
	io.ReadCloser
	Header() http.Header
}

// Bridge carries a client's request to workers that speak another wire. The streams of its results
// are of type Stream.
type Bridge func(q decide.Request, id, class string, body []byte) core.Carrier

// Front serves clients.
type Front struct {
	// Bridges has a way to the workers of each other wire. Set before Serve.
	Bridges map[string]Bridge
	// Bodies is how many bytes of bodies are held at once; past it new requests are refused.
	Bodies atomic.Int64
	// HandOver is how long after the beginning of Shutdown the streams that still run are cut, so that their
	// clients ask another router for the rest while there is one; 0 where clients don't.
	HandOver time.Duration

	core    *core.Core
	workers *Workers
	classes Classes
	log     *slog.Logger
	proxy   *httputil.ReverseProxy
	server  *http.Server
	writes  time.Duration // writeLimit
	bodies  atomic.Int64
	over    context.Context // ends when streams are handed over
	cut     context.CancelFunc

	mu      sync.Mutex
	clients *clients // nil before Serve
	handed  *Handed  // nil where nothing is taken from another process
	heirs   heir     // the process that takes over
	most    int      // set by Limit
	standby bool     // operators want the router empty
	ending  bool     // Shutdown has begun
	heir    bool     // and another process serves in this one's place
}

// New returns a Front that serves the classes with the given names, in the order of their numbers.
// pages serves what else stands on its port; nil: nothing.
func New(c *core.Core, w *Workers, classNames []string, pages func(http.Handler) http.Handler, logger *slog.Logger) *Front {
	over, cut := context.WithCancel(context.Background())
	f := &Front{over: over, cut: cut, core: c, workers: w, classes: ClassesOf(classNames), log: logger, writes: writeLimit}
	f.Bodies.Store(maxBodies)
	quiet := log.New(slogWriter{logger}, "", 0)
	f.proxy = &httputil.ReverseProxy{
		Rewrite:       func(*httputil.ProxyRequest) {}, // the worker's address is the core's choice, made in RoundTrip
		Transport:     roundTripper{f},
		FlushInterval: -1, // every event as it comes
		BufferPool:    &bufferPool{},
		ErrorLog:      quiet,
		ErrorHandler: func(w http.ResponseWriter, r *http.Request, err error) {
			if r.Context().Err() == nil {
				f.log.Error("no answer from the core", "err", err)
			}
			w.WriteHeader(statusFail)
		},
	}
	var handler http.Handler = f
	if pages != nil {
		handler = pages(f)
	}
	f.server = &http.Server{Handler: announcing(handler), ReadHeaderTimeout: firstWord, IdleTimeout: idleTime,
		MaxHeaderBytes: maxHead, ErrorLog: quiet, ConnContext: withConn, ConnState: connState}
	return f
}

// Serve serves clients on l, at most maxConns at once, until Shutdown.
func (f *Front) Serve(l net.Listener, maxConns int) error {
	f.mu.Lock()
	if f.most > 0 {
		maxConns = f.most
	}
	f.clients = newClients(l, maxConns, f.core.Busy(), f.log)
	f.clients.ending.Store(f.standby || f.ending)
	held := f.clients
	f.mu.Unlock()
	defer close(held.served)
	err := f.server.Serve(held)
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// Limit changes how many connections of clients are held.
func (f *Front) Limit(maxConns int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.most = maxConns
	if f.clients != nil {
		f.clients.limit(maxConns)
	}
}

// ready says whether new clients are wanted. A process that ends while another serves in its place says so
// too: the router as a whole goes on.
func (f *Front) ready() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.clients != nil && !f.standby && (!f.ending || f.heir)
}

// Standby empties the front: it is not ready any more, each connection ends with its answer, and those at
// which no request is at work end soon. Off puts it back to work. What comes all the same is served.
func (f *Front) Standby(on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.ending || f.standby == on {
		return
	}
	f.standby = on
	if f.clients != nil {
		f.clients.endAfterAnswers(on)
	}
	if on {
		time.AfterFunc(emptyAfter, f.empty)
	}
}

// empty closes again and again what holds no request, for as long as the front is in standby.
func (f *Front) empty() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.standby || f.ending {
		return
	}
	if f.clients != nil {
		f.clients.sweep()
	}
	time.AfterFunc(emptyAgain, f.empty)
}

// Shutdown ends the front in good order: it answers what has come and what still comes for a
// while, ends idle connections at once, and cuts the streams that still run when ctx ends. heir is the
// path at which another process takes streams, which listens at the same address by now and gets all that is
// new; "" where there is none.
func (f *Front) Shutdown(ctx context.Context, heir string) {
	f.mu.Lock()
	f.ending, f.heir = true, heir != ""
	if f.heir && f.clients != nil {
		f.clients.leave()
	}
	taken, held := f.handed, f.clients
	f.mu.Unlock()
	f.heirs.set(heir)
	if held != nil {
		held.endAfterAnswers(true)
	}
	if f.HandOver > 0 {
		defer time.AfterFunc(f.HandOver, func() {
			f.log.Info("handing streams over")
			f.cut()
		}).Stop()
	}
	select {
	case <-time.After(closeAfter):
	case <-ctx.Done():
	}
	if held != nil && !held.shutdown(ctx) {
		f.log.Warn("streams cut at the end", "err", ctx.Err())
	}
	f.server.Close()
	if taken != nil {
		taken.end(ctx)
	}
}

// ServeHTTP takes one request from a client.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == pathReady && r.Method == http.MethodGet {
		if !f.ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	// Guards against a body that stops halfway: net/http waits for its rest before it sends any answer.
	_ = http.NewResponseController(w).SetReadDeadline(bodyBy(r.Context()))
	if r.Method != http.MethodPost || r.URL.Path != PathChat {
		http.Error(w, "no such page", http.StatusNotFound)
		return
	}
	reserved := int64(maxBody)
	if r.ContentLength >= 0 {
		reserved = min(reserved, r.ContentLength)
	}
	defer func() { f.bodies.Add(-reserved) }()
	if f.bodies.Add(reserved) > f.Bodies.Load() { // guards the memory limit against many large bodies at once
		refuse(w.Header(), f.core.Busy())
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	body, status, err := readBody(w, r)
	f.bodies.Add(int64(len(body)) - reserved)
	reserved = int64(len(body))
	if status == http.StatusRequestEntityTooLarge {
		f.log.Info("bad request", "status", status, "err", err)
		tooLarge(w, r)
		return
	}
	var q decide.Request
	if err == nil {
		q, status, err = f.classes.Parse(r.Header, body)
	}
	if err == nil {
		id := r.Header.Get(headTxn)
		if free, ok := f.core.Claim(id); ok {
			defer free()
		} else { // the first request with it goes on untouched
			status, err = http.StatusConflict, fmt.Errorf("%s: %q is open already", headTxn, id)
		}
	}
	if err != nil {
		f.log.Info("bad request", "status", status, "err", err)
		http.Error(w, err.Error(), status)
		return
	}
	q.TimeLeft = max(0, q.TimeLeft-onItsWay(r.Context()))
	q.Kept = f.core.Kept(func() []byte { return Prompt(body) })
	x := &Exchange{Workers: f.workers, Method: r.Method, URI: r.URL.RequestURI(), Head: r.Header, Body: body}
	for wire, bridge := range f.Bridges {
		x.others = append(x.others, other{wire, bridge(q, r.Header.Get(headTxn), r.Header.Get("X-Lane"), body)})
	}
	begun := func() { // the body is not needed any more
		x.Drop()
		f.bodies.Add(-reserved)
		reserved = 0
	}
	here, leave := context.WithCancel(r.Context())
	defer leave()
	if c, ok := r.Context().Value(connKey{}).(*clientConn); ok {
		// Guards against a close that came while the request waited to be read: net/http looks for one beside the handler.
		x.Left = func() bool {
			if !c.left() {
				return false
			}
			leave()
			return true
		}
	}
	r = r.WithContext(context.WithValue(here, exchangeKey{}, taken{x, q, http.NewResponseController(w), begun, w.Header()}))
	f.proxy.ServeHTTP(w, r)
}

// seconds is a time as Retry-After has it.
func seconds(t time.Duration) string { return strconv.FormatFloat(t.Seconds(), 'f', 3, 64) }

func refuse(h http.Header, after time.Duration) {
	if after > 0 {
		h.Set("Retry-After", seconds(after))
	}
}

func readBody(w http.ResponseWriter, r *http.Request) ([]byte, int, error) {
	if r.ContentLength > maxBody {
		return nil, http.StatusRequestEntityTooLarge, fmt.Errorf("body: %d bytes", r.ContentLength)
	}
	var buf bytes.Buffer
	if n := r.ContentLength; n > 0 && n <= maxBody {
		buf.Grow(int(n) + bytes.MinRead)
	}
	n, err := buf.ReadFrom(io.LimitReader(r.Body, maxBody+1))
	switch {
	case n > maxBody:
		return nil, http.StatusRequestEntityTooLarge, fmt.Errorf("body: over %d bytes", maxBody)
	case errors.Is(err, os.ErrDeadlineExceeded):
		// The deadline stays: net/http would wait for the rest of the body before it answers.
		w.Header().Set("Connection", "close")
		return nil, http.StatusRequestTimeout, fmt.Errorf("body: %w", err)
	case err != nil:
		return nil, http.StatusBadRequest, fmt.Errorf("body: %w", err)
	}
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	return buf.Bytes(), 0, nil
}

// tooLarge answers a body that is too long, and reads on for a while: closing with bytes unread makes a
// reset, which can eat the answer before its client has read it.
func tooLarge(w http.ResponseWriter, r *http.Request) {
	control := http.NewResponseController(w)
	_ = control.EnableFullDuplex()
	w.Header().Set("Connection", "close")
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(http.StatusRequestEntityTooLarge)
	if control.Flush() != nil {
		return
	}
	junk := make([]byte, 32<<10)
	for end := time.Now().Add(drainTime); time.Now().Before(end); {
		_ = control.SetReadDeadline(time.Now().Add(drainQuiet))
		if _, err := r.Body.Read(junk); err != nil {
			return
		}
	}
}

// Prompt is the text that a request's body has readers read: its messages, one after the other.
func Prompt(body []byte) []byte {
	var b struct {
		Messages []struct {
			Content json.RawMessage `json:"content"`
		} `json:"messages"`
	}
	if json.Unmarshal(body, &b) != nil {
		return nil
	}
	var text []byte
	for _, m := range b.Messages {
		var s string
		if json.Unmarshal(m.Content, &s) != nil { // parts: as they stand
			s = string(m.Content)
		}
		text = append(text, s...)
	}
	return text
}

// Classes are the numbers of the classes by their names.
type Classes map[string]int

// ClassesOf numbers the classes with these names.
func ClassesOf(names []string) Classes {
	c := make(Classes)
	for i, name := range names {
		c[name] = i
	}
	return c
}

// Parse reads a request's head and checks its body. What is malformed is told to the client, with
// the status that is returned, and nothing is sent for it.
func (c Classes) Parse(h http.Header, body []byte) (decide.Request, int, error) {
	q, err := c.parseHead(h)
	if err != nil {
		return q, http.StatusBadRequest, err
	}
	var b struct {
		Model    *string  `json:"model"`
		Stream   *bool    `json:"stream"`
		Max      *float64 `json:"max_tokens"`
		Messages some     `json:"messages"`
	}
	if err := json.Unmarshal(body, &b); err != nil {
		return q, http.StatusBadRequest, fmt.Errorf("body: %w", err)
	}
	if !b.Messages {
		return q, http.StatusBadRequest, errors.New("body: no messages")
	}
	if q.MaxOutput == 0 && b.Max != nil && *b.Max > 0 && *b.Max <= maxTokens {
		q.MaxOutput = int(*b.Max)
	}
	return q, 0, nil
}

// some says that a list is there and holds something. Its text, most of a body, is not copied.
type some bool

// UnmarshalJSON implements json.Unmarshaler.
func (s *some) UnmarshalJSON(text []byte) error {
	inside, ok := bytes.CutPrefix(text, []byte("["))
	*s = some(ok && len(bytes.TrimLeft(inside, " \t\r\n")) > 1)
	return nil
}

// parseHead reads the values that decisions rest on from a request's head.
func (c Classes) parseHead(h http.Header) (decide.Request, error) {
	var q decide.Request
	for _, name := range []string{headTxn, "X-Lane", "X-Entity", headLeft, "X-Resent", "X-Estimate", "X-Labels"} {
		if len(h.Values(name)) > 1 { // which one counts would be anybody's guess
			return q, fmt.Errorf("%s: %d times", name, len(h.Values(name)))
		}
	}
	if id := h.Get(headTxn); !ValidID(id) {
		return q, fmt.Errorf("%s: %q", headTxn, id)
	}
	class, ok := c[h.Get("X-Lane")]
	if !ok {
		return q, fmt.Errorf("X-Lane: unknown class %q", h.Get("X-Lane"))
	}
	q.Class = class
	left, err := strconv.ParseUint(h.Get(headLeft), 10, 31)
	if err != nil {
		return q, fmt.Errorf("%s: %q", headLeft, h.Get(headLeft))
	}
	q.TimeLeft = time.Duration(left) * time.Millisecond
	if q.Session, err = key(h.Get("X-Entity")); err != nil {
		return q, fmt.Errorf("X-Entity: %w", err)
	}
	switch v := h.Get("X-Resent"); v {
	case "":
	case "1":
		q.Repeat = true
	case "again":
		q.Repeat, q.Resumed = true, true
	default:
		return q, fmt.Errorf("X-Resent: %q", v)
	}
	if v := h.Get("X-Estimate"); v != "" {
		us, err := strconv.ParseFloat(v, 64)
		if err != nil || !(us >= 0 && us <= math.MaxInt32*1e3) {
			return q, fmt.Errorf("X-Estimate: %q", v)
		}
		q.Hint = time.Duration(us * float64(time.Microsecond))
	}
	return q, labels(&q, h.Get("X-Labels"))
}

// labels reads the pairs of X-Labels. Labels that it does not know are passed over.
func labels(q *decide.Request, text string) error {
	if text == "" {
		return nil
	}
	for pair := range strings.SplitSeq(text, ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(pair), "=")
		if !ok {
			return fmt.Errorf("X-Labels: %q", pair)
		}
		var err error
		switch name {
		case "prefix":
			q.Prefix, err = key(value)
		case "prompt_len":
			q.Prompt, err = tokens(value)
		case "prefix_len":
			q.PrefixLen, err = tokens(value)
		case "max_out":
			q.MaxOutput, err = tokens(value)
		}
		if err != nil {
			return fmt.Errorf("X-Labels: %s: %w", name, err)
		}
	}
	return nil
}

func tokens(text string) (int, error) {
	n, err := strconv.ParseFloat(text, 64)
	if err != nil || !(n >= 0 && n <= maxTokens) {
		return 0, fmt.Errorf("not a count of tokens: %q", text)
	}
	return int(n), nil
}

// key reads a key of up to 16 hex digits; none is 0.
func key(text string) (uint64, error) {
	if text == "" {
		return 0, nil
	}
	k, err := strconv.ParseUint(text, 16, 64)
	if err != nil {
		return 0, fmt.Errorf("not a key: %q", text)
	}
	return k, nil
}

// ValidID says that an id can stand in a head and in a path as it is.
func ValidID(id string) bool {
	if id == "" || len(id) > 64 {
		return false
	}
	for _, b := range []byte(id) {
		if !(b >= '0' && b <= '9' || b >= 'a' && b <= 'z' || b >= 'A' && b <= 'Z' || b == '-' || b == '_') {
			return false
		}
	}
	return true
}

type exchangeKey struct{}

// taken is a request that the handler has read, on its way to RoundTrip.
type taken struct {
	x      *Exchange
	q      decide.Request
	client *http.ResponseController
	begun  func() // the answer has begun
	answer http.Header
}

// roundTripper hands a request to the core and makes a response of its final answer.
type roundTripper struct{ f *Front }

func (t roundTripper) RoundTrip(out *http.Request) (*http.Response, error) {
	got, ok := out.Context().Value(exchangeKey{}).(taken)
	if !ok {
		return nil, errors.New("a request that the handler has not read")
	}
	a := t.f.core.Serve(out.Context(), got.q, got.x)
	conn, _ := out.Context().Value(connKey{}).(*clientConn)
	if conn != nil { // much may have come, and the shutdown begun, since the request was taken
		conn.announceEnd(got.answer, out)
	}
	res := &http.Response{Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Request: out,
		Header: http.Header{}, Body: http.NoBody}
	switch a.Verdict {
	case core.Streaming:
		s := a.Stream.(Stream)
		got.begun()
		res.StatusCode, res.ContentLength = http.StatusOK, -1
		for _, name := range []string{"Content-Type", "Cache-Control"} { // framing and load reports are the worker's own
			if v := s.Header().Get(name); v != "" {
				res.Header.Set(name, v)
			}
		}
		res.Body = &relay{Stream: s, ended: a.Ended, client: got.client, writes: t.f.writes, over: t.f.over, heirs: &t.f.heirs, log: t.f.log}
		if out.ProtoAtLeast(1, 1) {
			res.Body.(*relay).conn = conn
		}
	case core.Refused:
		res.StatusCode = http.StatusServiceUnavailable
		refuse(res.Header, a.RetryAfter)
	case core.Gone:
		return nil, context.Canceled
	default:
		res.StatusCode = statusFail
	}
	return res, nil
}

// relay passes a worker's stream on and tells the core how it ended. A stream that breaks is an
// error here, on which the proxy ends the client's connection without the last chunk.
type relay struct {
	Stream
	ended  func(decide.Status)
	client *http.ResponseController
	writes time.Duration
	over   context.Context // when it ends the stream is cut, but not before something of it has passed
	keep   func() bool
	moved  atomic.Bool
	heirs  *heir
	conn   *clientConn // nil where the answer has no chunks
	given  bool        // Read ends with errHanded next
	log    *slog.Logger
}

func (r *relay) Read(p []byte) (int, error) {
	n, err := 0, errHanded
	if !r.given {
		n, err = r.Stream.Read(p)
	}
	if err == errHanded {
		if r.given = true; n > 0 { // is passed on first
			return n, nil
		}
		if r.give() {
			r.ended(decide.Served) // as far as this process goes
		}
	}
	if r.keep == nil && n > 0 {
		r.keep = context.AfterFunc(r.over, func() {
			if s, ok := r.Stream.(*stream); ok && r.conn != nil && r.heirs.get() != "" && s.handOver() {
				return
			}
			// Guards the other routers: all at once would be a burst of prompts to read.
			time.Sleep(rand.N(handSpread))
			r.moved.Store(true)
			r.Stream.Close()
		})
	}
	// Guards against a client that stops reading and would hold its stream, and a writer's slot, for good.
	_ = r.client.SetWriteDeadline(time.Now().Add(r.writes))
	switch {
	case err == io.EOF:
		r.ended(decide.Served)
	case err != nil && r.moved.Load(), err == errHanded:
		r.ended(decide.Cancelled)
	case err != nil:
		r.ended(decide.Reset)
	}
	return n, err
}

// give hands the stream to the process that takes over. If that fails it breaks, and its client asks for
// the rest.
func (r *relay) give() bool {
	s := r.Stream.(*stream)
	defer syscall.Close(s.conn.gift)
	client, err := dup(r.conn.Conn)
	if err == nil {
		defer syscall.Close(client)
		err = give(r.heirs.get(), handedOf(s.conn.chunk, s.scan), client, s.conn.gift)
	}
	if err != nil {
		r.log.Warn("a stream was not handed on", "err", err)
	}
	return err == nil
}

func (r *relay) Close() error {
	if r.keep != nil {
		r.keep()
	}
	_ = r.client.SetWriteDeadline(time.Time{}) // the connection may be used again
	r.ended(decide.Cancelled)                  // the client has gone, if the stream has not ended before
	return r.Stream.Close()
}

// bufferPool bounds what copying the streams takes.
type bufferPool struct{ pool sync.Pool }

func (b *bufferPool) Get() []byte {
	if p, ok := b.pool.Get().(*[]byte); ok {
		return *p
	}
	return make([]byte, copyBuffer)
}

func (b *bufferPool) Put(p []byte) { b.pool.Put(&p) }

// slogWriter turns the libraries' own log lines into ours.
type slogWriter struct{ log *slog.Logger }

func (w slogWriter) Write(p []byte) (int, error) {
	w.log.Debug("http", "line", strings.TrimSpace(string(p)))
	return len(p), nil
}
