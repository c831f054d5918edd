package httpfront

// This file owns the connections to workers: attempts, releases and probes over HTTP/1.1. What
// comes back is turned into the core's outcomes here and nowhere else. It must never send an
// attempt a second time on its own, nor let a library do so.

import (
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
	"sync"
	"sync/atomic"
	"time"

	"rowanyard/decide"
	"rowanyard/internal/core"
)

const (
	stallGaps   = 10                      // where clients ask for the rest, a stream is broken after so many times its longest gap ...
	stallLeast  = 1500 * time.Millisecond // ... but not before this
	idleShare   = 0.6                     // idle connections close after this share of the workers' limit
	idlePerHost = 96                      // idle connections kept to a worker
	StallLimit  = 4 * time.Second         // a stream without an event for so long is broken
	answerLimit = 64 << 10                // bytes read of an answer that is no stream
	sendAgain   = 3                       // connections that had ended are passed over so often
	verifyWait  = 150 * time.Millisecond  // a worker's sign on the connection of a write comes within this ...
	verifiedFor = 50 * time.Millisecond   // ... and stands for so long
	pathHolds   = "/v1/holds/"
	pathStats   = "/stats"
	turnedAway  = "X-Turned-Away"
)

// Workers is the client side towards workers.
type Workers struct {
	transport *http.Transport
	log       *slog.Logger
	// Resume says that clients ask for the rest of a stream that broke: one that falls silent is then broken
	// sooner. Set before use.
	Resume bool
	// Spare is where descriptors come from when there are none left. Not to be replaced.
	Spare *Descriptors
	open  atomic.Int64
	limit atomic.Int64
	idle  idleConns
	after func(time.Duration) <-chan time.Time // time.After, but for tests
}

// NewWorkers returns a client that holds at most maxConns connections, none of them idle for as
// long as the workers' limit.
func NewWorkers(connectTimeout, connIdle time.Duration, maxConns int, log *slog.Logger) *Workers {
	w := &Workers{log: log, after: time.After, Spare: &Descriptors{}}
	w.limit.Store(int64(maxConns))
	dial := w.Spare.dialing((&net.Dialer{Timeout: connectTimeout, KeepAlive: -1}).DialContext)
	w.transport = &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			if w.open.Add(1) > w.limit.Load() { // guards the limit of descriptors: idle ones make room
				w.transport.CloseIdleConnections()
				if w.open.Load() > w.limit.Load() {
					w.open.Add(-1)
					return nil, errTooMany
				}
			}
			c, err := dial(ctx, network, addr)
			if err != nil {
				w.open.Add(-1)
				return nil, err
			}
			conn := &workerConn{Conn: c, open: &w.open, over: make(chan struct{}), addr: addr, known: &w.idle}
			w.idle.add(conn)
			return conn, nil
		},
		DisableCompression: true, MaxIdleConnsPerHost: max(2, min(idlePerHost, maxConns/4)), MaxIdleConns: max(4, maxConns*2/3),
		IdleConnTimeout: time.Duration(idleShare * float64(connIdle)),
		WriteBufferSize: 8 << 10, MaxResponseHeaderBytes: answerHead,
	}
	return w
}

// Limit changes how many connections are held; idle ones make room.
func (w *Workers) Limit(maxConns int) {
	w.limit.Store(int64(maxConns))
	if w.open.Load() > int64(maxConns) {
		w.transport.CloseIdleConnections()
	}
}

// Exchange is one client's request as it is sent to workers over HTTP. It is a core.Carrier.
type Exchange struct {
	Workers     *Workers
	Method, URI string
	Head        http.Header
	Body        []byte // what is sent, until Drop
	// Left says that the client has gone, though its request's context may not have ended yet; nil: that tells.
	Left   func() bool
	mu     sync.Mutex
	others []other
}

// Drop lets go of the body: an answer has begun, and nothing more is sent for the request.
func (x *Exchange) Drop() {
	x.mu.Lock()
	x.Body, x.others = nil, nil
	x.mu.Unlock()
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
	touched atomic.Bool // the transport has begun to read it
	drained atomic.Bool // and has had the last byte
}

var (
	errNoSign  = errors.New("no sign of the worker on the connection")
	errNotFine = errors.New("status")
)

var errWithdrawn = errors.New("the worker drains or is gone, or the client is")

func (b *bodyReader) Read(p []byte) (int, error) {
	b.touched.Store(true)
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
	x.mu.Lock()
	text, others := x.Body, x.others
	x.mu.Unlock()
	if wanted := a.Allowed; x.Left != nil {
		a.Allowed = func() bool { return !x.Left() && wanted() }
	}
	for _, o := range others {
		if o.wire == a.To.Wire {
			return o.Try(ctx, a)
		}
	}
	if text == nil {
		return core.Result{Status: decide.Moot}
	}
	if a.Verify {
		if err := x.Workers.verify(ctx, a); err != nil {
			return core.Result{Status: failure(ctx, err, false), Err: fmt.Errorf("not written: %w", err)}
		}
	}
	for again := sendAgain; ; again-- {
		res, unsent := x.send(ctx, a, text)
		if !unsent || again == 0 || ctx.Err() != nil {
			return res
		}
	}
}

// verify has a worker answer on the connection that a write is to go on: the transport gives out the one that served last. Guards
// against writing into one that has fallen silent with no error, of which nobody could say whether the write has arrived.
func (w *Workers) verify(ctx context.Context, a core.Attempt) error {
	if !a.Allowed() {
		return errWithdrawn
	}
	within, stop := context.WithTimeoutCause(ctx, verifyWait, errNoSign)
	defer stop()
	if _, err := w.call(within, http.MethodGet, a.To, pathStats); err != nil && !errors.Is(err, errNotFine) {
		return errors.Join(err, context.Cause(within))
	}
	return nil
}

// send makes one attempt. unsent says that nothing of it was written, because the connection at hand
// had ended or serves no further use: the worker has no part in that.
func (x *Exchange) send(ctx context.Context, a core.Attempt, text []byte) (result core.Result, unsent bool) {
	w := x.Workers
	body := &bodyReader{r: bytes.NewReader(text), allowed: a.Allowed}
	var wrote, broke, reused, came atomic.Bool
	var idle atomic.Int64
	var attempt atomic.Pointer[http.Request]
	end := watchCalledOff(ctx, a.Settle, &body.drained, w.after)
	traced := httptrace.WithClientTrace(end.request, &httptrace.ClientTrace{
		GotConn: func(i httptrace.GotConnInfo) {
			reused.Store(i.Reused)
			idle.Store(int64(i.IdleTime))
			if c, ok := i.Conn.(*workerConn); ok {
				called := c.called.Swap(false)
				if a.Verify && c.answeredWithin(verifiedFor) {
					a.Verified()
				}
				end.conn.Store(c)
				c.serve(end)
				c.may.Store(&a.Allowed)
				// A read has no effect, and nothing of its answer passes on. A second answer to a call without a body is no
				// stream and turns nothing away, and what was verified must not wait: a silence may begin meanwhile.
				if i.Reused && !a.Read && !called {
					c.settle(ctx, w.after)
				}
			}
			// Only now, before the transport writes the head: the connection may have taken long to come up.
			if req := attempt.Load(); req != nil {
				req.Header.Set(headLeft, strconv.FormatInt(max(1, a.Remaining().Milliseconds()), 10))
			}
		},
		WroteRequest: func(i httptrace.WroteRequestInfo) {
			wrote.Store(i.Err == nil)
			broke.Store(i.Err != nil)
		},
		GotFirstResponseByte: func() { came.Store(true) },
	})
	req, err := http.NewRequestWithContext(traced, x.Method, "http://"+a.To.Addr+x.URI, body)
	if err != nil {
		end.over()
		return core.Result{Status: decide.Moot, Err: err}, false
	}
	req.ContentLength = int64(len(text))
	for _, name := range []string{"Content-Type", "Accept", headTxn, "X-Lane", "X-Entity", "X-Labels", "X-Estimate", "X-Resent"} {
		if v := x.Head.Values(name); len(v) > 0 {
			req.Header[name] = v
		}
	}
	attempt.Store(req)
	res, err := w.transport.RoundTrip(req)
	if err != nil {
		end.over()
		// Whether it may have run turns on the request's last byte. Where the transport has had it
		// and told nothing of a failed write, it may have been on its way.
		ran := wrote.Load() || body.drained.Load() && !broke.Load()
		if reused.Load() {
			err = fmt.Errorf("after %v idle: %w", time.Duration(idle.Load()).Round(time.Millisecond), err)
		}
		unsent = errors.Is(err, errUnsent) || reused.Load() && !body.touched.Load()
		// What has begun to answer has fetched the state, whatever it went on with.
		return core.Result{Status: failure(ctx, err, ran), NoState: !a.Read && ran && (came.Load() || errors.Is(err, errSpoilt)), Err: err}, unsent
	}
	if res.StatusCode == http.StatusOK && !a.Read {
		if !end.begun() { // nobody will read it
			res.Body.Close()
			return core.Result{Status: decide.Cancelled, NoState: true, Err: context.Cause(ctx)}, false
		}
		return w.stream(ctx, res, end.conn.Load()), false
	}
	defer end.over()
	return w.answer(ctx, a, res), false
}

// failure names the end of an attempt without an answer.
func failure(ctx context.Context, err error, ran bool) decide.Status {
	switch {
	case errors.Is(err, errWithdrawn), errors.Is(err, errTooMany), !ran && isLocal(err), !ran && ctx.Err() != nil && !errors.Is(context.Cause(ctx), context.DeadlineExceeded):
		return decide.Moot
	case !ran:
		return decide.ConnectFailed
	case ctx.Err() != nil:
		return decide.Cancelled
	}
	return decide.Reset
}

// stream makes a result of an answer that streams, once its first event is whole.
func (w *Workers) stream(ctx context.Context, res *http.Response, conn *workerConn) core.Result {
	s := &stream{res: res, conn: conn, resume: w.Resume}
	s.stall = time.AfterFunc(firstEvent, func() { res.Body.Close() })
	if err := s.open(); err != nil { // it broke, or makes no sense, before its first event was whole
		s.Close()
		return core.Result{Status: failure(ctx, err, true), NoState: true, Err: err}
	}
	s.stall.Stop()
	return core.Result{Stream: s}
}

// answer turns a worker's answer that is no stream into a result.
func (w *Workers) answer(ctx context.Context, a core.Attempt, res *http.Response) core.Result {
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
	p, err := parseLoad(string(text))
	if err != nil { // it has answered all the same, that counts
		w.log.Info("load report", "worker", at.ID, "err", err)
		return decide.Probed{Queue: -1, Tokens: -1}, nil
	}
	return p, nil
}

// call makes a call without a body.
func (w *Workers) call(ctx context.Context, method string, at core.Worker, path string) ([]byte, error) {
	var reused atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) {
		reused.Store(i.Reused)
		if c, ok := i.Conn.(*workerConn); ok { // what an attempt that was never written has left there
			c.called.Store(true)
			c.may.Store(nil)
		}
	}})
	req, err := http.NewRequestWithContext(ctx, method, "http://"+at.Addr+path, nil)
	if err != nil {
		return nil, err
	}
	res, err := w.transport.RoundTrip(req)
	if err != nil {
		if reused.Load() && errors.Is(ctx.Err(), context.DeadlineExceeded) {
			w.idle.drop(at.Addr)
		}
		return nil, err
	}
	defer res.Body.Close()
	text, err := io.ReadAll(io.LimitReader(res.Body, answerLimit))
	if err != nil {
		return nil, err
	}
	if res.StatusCode/100 != 2 {
		return nil, fmt.Errorf("%s %s: %w %d", method, path, errNotFine, res.StatusCode)
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
		case "x0":
			p.Held = v
		case "x1":
			p.Tokens = v * 1000
		}
	}
	return p, nil
}

// stream is a worker's answer from its first event on.
type stream struct {
	res   *http.Response
	conn  *workerConn // that it comes on
	first []byte      // read and not passed on
	scan  eventScan
	stall *time.Timer

	resume bool
	last   time.Time     // when something came
	gap    time.Duration // the longest time in which nothing did
}

// Header is the head of the worker's answer.
func (s *stream) Header() http.Header { return s.res.Header }

// open reads until a whole first event has come that makes sense.
func (s *stream) open() error {
	buf := make([]byte, 0, 1<<10)
	from := 0 // of the blocks that hold no data, comments for one
	for {
		n, err := s.res.Body.Read(buf[len(buf):cap(buf)])
		at := len(buf)
		buf = buf[:at+n]
		_, blank, bad := s.scan.feed(buf[at:])
		if bad != nil {
			return bad
		}
		if blank > 0 {
			ok, bad := whole(buf[from : at+blank])
			if bad != nil {
				return bad
			}
			if from = at + blank; ok {
				s.first = buf
				return nil
			}
		}
		switch {
		case err == io.EOF:
			return io.ErrUnexpectedEOF
		case err != nil:
			return err
		case len(buf) >= maxEvent:
			return spoilt("no event in %d bytes", len(buf))
		}
		if cap(buf)-len(buf) < 256 {
			buf = append(make([]byte, 0, 2*cap(buf)), buf...)
		}
	}
}

// Read passes on what comes, as far as it makes sense. A worker that says nothing for StallLimit after an
// event is taken for gone: a machine that vanishes leaves its connections open and silent, and the client
// must not wait.
func (s *stream) Read(p []byte) (int, error) {
	if len(s.first) > 0 {
		n := copy(p, s.first)
		if s.first = s.first[n:]; len(s.first) == 0 {
			s.first = nil
		}
		return n, nil
	}
	s.stall.Reset(s.patience())
	n, err := s.res.Body.Read(p)
	s.stall.Stop()
	if now := time.Now(); n > 0 {
		if !s.last.IsZero() {
			s.gap = max(s.gap, now.Sub(s.last))
		}
		s.last = now
	}
	n, _, bad := s.scan.feed(p[:n])
	if bad != nil {
		return n, bad
	}
	if err == io.EOF && s.scan.count > 0 {
		return n, spoilt("it ends inside a line")
	}
	return n, err
}

// patience is how long the stream may say nothing. Guards against connections that fall silent to a worker that
// is well: each second until its client asks for the rest makes the whole answer slower.
func (s *stream) patience() time.Duration {
	if !s.resume || s.gap == 0 {
		return StallLimit
	}
	return min(max(stallLeast, stallGaps*s.gap), StallLimit)
}

// handOver has Read end with errHanded at the next byte that has not come.
func (s *stream) handOver() bool {
	if s.conn == nil {
		return false
	}
	s.conn.hand.Store(true)
	return s.conn.Conn.SetReadDeadline(time.Now()) == nil
}

// Close ends the stream and, if it has not come to its end, its connection.
func (s *stream) Close() error {
	s.stall.Stop()
	return s.res.Body.Close()
}
