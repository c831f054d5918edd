package httpfront

// This file owns the connections to workers: attempts, releases and probes over HTTP/1.1. What
// comes back is turned into the core's outcomes here and nowhere else. It must never send an
// attempt a second time on its own, nor let a library do so.

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"rowanyard/decide"
	"rowanyard/internal/core"
)

const (
	idleShare   = 0.6             // idle connections close after this share of the workers' limit
	idlePerHost = 96              // idle connections kept to a worker
	StallLimit  = 4 * time.Second // a stream without an event for so long is broken
	answerLimit = 64 << 10        // bytes read of an answer that is no stream
	pathHolds   = "/v1/holds/"
	pathStats   = "/stats"
	turnedAway  = "X-Turned-Away"
)

// Workers is the client side towards workers.
type Workers struct {
	transport *http.Transport
	log       *slog.Logger
	open      atomic.Int64
	limit     int64
}

// NewWorkers returns a client that holds at most maxConns connections, none of them idle for as
// long as the workers' limit.
func NewWorkers(connectTimeout, connIdle time.Duration, maxConns int, log *slog.Logger) *Workers {
	w := &Workers{log: log, limit: int64(maxConns)}
	dialer := net.Dialer{Timeout: connectTimeout, KeepAlive: -1}
	w.transport = &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			if w.open.Add(1) > w.limit { // guards the limit of descriptors: the connection counts as not come up
				w.open.Add(-1)
				return nil, errors.New("too many connections to workers")
			}
			c, err := dialer.DialContext(ctx, network, addr)
			if err != nil {
				w.open.Add(-1)
				return nil, err
			}
			return &countedConn{Conn: c, open: &w.open}, nil
		},
		DisableCompression: true, MaxIdleConnsPerHost: idlePerHost,
		IdleConnTimeout: time.Duration(idleShare * float64(connIdle)),
		WriteBufferSize: 16 << 10,
	}
	return w
}

type countedConn struct {
	net.Conn
	open   *atomic.Int64
	closed atomic.Bool
}

func (c *countedConn) Close() error {
	if c.closed.CompareAndSwap(false, true) {
		c.open.Add(-1)
	}
	return c.Conn.Close()
}

// Exchange is one client's request as it is sent to workers over HTTP. It is a core.Carrier.
type Exchange struct {
	Workers     *Workers
	Method, URI string
	Head        http.Header
	Body        []byte
	others      []other
}

// other carries the request to the workers of another wire.
type other struct {
	wire string
	core.Carrier
}

// bodyReader gives a request's body to the transport once. It is no type that net/http knows how
// to rewind, so that the transport can't send the request again by itself.
type bodyReader struct {
	r       *bytes.Reader
	allowed func() bool
	drained atomic.Bool // the transport has had the last byte
}

var errWithdrawn = errors.New("the worker drains or is gone")

func (b *bodyReader) Read(p []byte) (int, error) {
	// Guards against sending to a worker that began to drain between the choice and the dial.
	if int64(b.r.Len()) == b.r.Size() && !b.allowed() {
		return 0, errWithdrawn
	}
	n, err := b.r.Read(p)
	if b.r.Len() == 0 {
		b.drained.Store(true)
	}
	return n, err
}

func (b *bodyReader) Close() error { return nil }

// Try implements core.Carrier.
func (x *Exchange) Try(ctx context.Context, a core.Attempt) core.Result {
	for _, o := range x.others {
		if o.wire == a.To.Wire {
			return o.Try(ctx, a)
		}
	}
	w := x.Workers
	body := &bodyReader{r: bytes.NewReader(x.Body), allowed: a.Allowed}
	var wrote, broke atomic.Bool
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		WroteRequest: func(i httptrace.WroteRequestInfo) {
			wrote.Store(i.Err == nil)
			broke.Store(i.Err != nil)
		},
	})
	req, err := http.NewRequestWithContext(traced, x.Method, "http://"+a.To.Addr+x.URI, body)
	if err != nil {
		return core.Result{Status: decide.Moot, Err: err}
	}
	req.ContentLength = int64(len(x.Body))
	for _, name := range []string{"Content-Type", "Accept", headTxn, "X-Lane", "X-Entity", "X-Labels", "X-Estimate", "X-Resent"} {
		if v := x.Head.Values(name); len(v) > 0 {
			req.Header[name] = v
		}
	}
	req.Header.Set(headLeft, strconv.FormatInt(max(1, a.Wait.Milliseconds()), 10))
	res, err := w.transport.RoundTrip(req)
	if err != nil {
		// Whether it may have run turns on the request's last byte. Where the transport has had it
		// and told nothing of a failed write, it may have been on its way.
		ran := wrote.Load() || body.drained.Load() && !broke.Load()
		return core.Result{Status: failure(ctx, err, ran), Err: err}
	}
	return w.answer(ctx, a, res)
}

// failure names the end of an attempt without an answer.
func failure(ctx context.Context, err error, ran bool) decide.Status {
	switch {
	case errors.Is(err, errWithdrawn), !ran && ctx.Err() != nil && !errors.Is(context.Cause(ctx), context.DeadlineExceeded):
		return decide.Moot
	case !ran:
		return decide.ConnectFailed
	case ctx.Err() != nil:
		return decide.Cancelled
	}
	return decide.Reset
}

// answer turns a worker's answer into a result.
func (w *Workers) answer(ctx context.Context, a core.Attempt, res *http.Response) core.Result {
	if res.StatusCode == http.StatusOK && !a.Read {
		s := &stream{res: res, in: bufio.NewReaderSize(res.Body, 4<<10)}
		if _, err := s.in.Peek(1); err != nil { // it broke before its first event
			res.Body.Close()
			return core.Result{Status: failure(ctx, err, true), Err: err}
		}
		s.stall = time.AfterFunc(time.Hour, func() { res.Body.Close() })
		s.stall.Stop()
		return core.Result{Stream: s}
	}
	text, err := io.ReadAll(io.LimitReader(res.Body, answerLimit))
	res.Body.Close()
	if code := res.StatusCode; code != http.StatusAccepted || !a.Read {
		return refuseStream(Judge(code, res.Header.Get(turnedAway) != ""))
	}
	if err != nil {
		return core.Result{Status: failure(ctx, err, true), Err: err}
	}
	kept, err := parseRead(text)
	if err != nil { // the state waits all the same
		w.log.Warn("malformed answer of a reader", "worker", a.To.ID, "err", err)
	}
	return core.Result{Status: decide.Read, Kept: kept}
}

// Judge says what a worker's status means for a write; 200 is the beginning of its answer.
func Judge(code int, away bool) core.Result {
	switch {
	case code == http.StatusOK:
		return core.Result{}
	case away && code == http.StatusGone:
		return core.Result{Status: decide.Full, NoState: true}
	case away && (code == http.StatusServiceUnavailable || code == http.StatusGatewayTimeout):
		return core.Result{Status: decide.Full, Err: fmt.Errorf("turned away: %d", code)}
	}
	return core.Result{Status: decide.Errored, Err: fmt.Errorf("status %d", code)}
}

// refuseStream makes an error of a stream where none is due, from a reader.
func refuseStream(r core.Result) core.Result {
	if r.Status == 0 {
		r = core.Result{Status: decide.Errored, Err: errors.New("a stream from a reader")}
	}
	return r
}

// parseRead reads a reader's answer: how much of the prompt was found kept.
func parseRead(text []byte) (int, error) {
	var b struct {
		Cached float64 `json:"cached_tokens"`
	}
	if err := json.Unmarshal(text, &b); err != nil {
		return 0, err
	}
	if !(b.Cached >= 0 && b.Cached <= maxTokens) {
		return 0, fmt.Errorf("cached_tokens: %v", b.Cached)
	}
	return int(b.Cached), nil
}

// Release implements core.Carrier.
func (x *Exchange) Release(ctx context.Context, at core.Worker) error {
	for _, o := range x.others {
		if o.wire == at.Wire {
			return o.Release(ctx, at)
		}
	}
	return x.Workers.Release(ctx, at, x.Head.Get(headTxn))
}

// Release lets go of all that is held for the request with this id, at any worker.
func (w *Workers) Release(ctx context.Context, at core.Worker, id string) error {
	_, err := w.call(ctx, http.MethodDelete, at, pathHolds+id)
	return err
}

// Probe implements core.Prober.
func (w *Workers) Probe(ctx context.Context, at core.Worker) (decide.Probed, error) {
	text, err := w.call(ctx, http.MethodGet, at, pathStats)
	if err != nil {
		return decide.Probed{}, err
	}
	return parseLoad(string(text))
}

// call makes a call without a body.
func (w *Workers) call(ctx context.Context, method string, at core.Worker, path string) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+at.Addr+path, nil)
	if err != nil {
		return nil, err
	}
	res, err := w.transport.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	defer res.Body.Close()
	text, err := io.ReadAll(io.LimitReader(res.Body, answerLimit))
	if err != nil {
		return nil, err
	}
	if res.StatusCode/100 != 2 {
		return nil, fmt.Errorf("%s %s: status %d", method, path, res.StatusCode)
	}
	return text, nil
}

// parseLoad reads a load report, pairs set apart by commas. Names that it does not know are passed
// over; what is not told is under zero.
func parseLoad(text string) (decide.Probed, error) {
	p := decide.Probed{Queue: -1, Tokens: -1}
	if strings.TrimSpace(text) == "" { // the worker runs but has made no report yet
		return p, nil
	}
	for pair := range strings.SplitSeq(strings.TrimSpace(text), ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(pair), "=")
		v, err := strconv.ParseFloat(value, 64)
		if !ok || err != nil || !(v >= 0 && v <= maxTokens) {
			return decide.Probed{}, fmt.Errorf("load report: %q", text)
		}
		switch name {
		case "queue", "pending":
			p.Queue = v
		case "x1":
			p.Tokens = v * 1000
		}
	}
	return p, nil
}

// stream is a worker's answer from its first event on.
type stream struct {
	res   *http.Response
	in    *bufio.Reader
	stall *time.Timer
}

// Header is the head of the worker's answer.
func (s *stream) Header() http.Header { return s.res.Header }

// Read passes on what comes. A worker that says nothing for StallLimit after an event is taken for
// gone: a machine that vanishes leaves its connections open and silent, and the client must not wait.
func (s *stream) Read(p []byte) (int, error) {
	s.stall.Reset(StallLimit)
	n, err := s.in.Read(p)
	s.stall.Stop()
	return n, err
}

// Close ends the stream and, if it has not come to its end, its connection.
func (s *stream) Close() error {
	s.stall.Stop()
	return s.res.Body.Close()
}
