// Package httpfront implements the platform's protocol: HTTP/1.1 with clients and workers, and the watch of the worker
// list that discovery serves.
//
// A Front serves clients: it parses a request's head into the values that decisions depend on, passes the request to
// package core, and relays a worker's stream unchanged. Workers is the client for workers; an Exchange carries the attempts
// of one request through it. Discovery keeps the core's worker list up to date. Everything that is decided about a request,
// such as where it is sent, whether it is sent again and what its final answer is, is left to the core.
//
// On both sides a connection type, clientConn and workerConn, scans the bytes before net/http parses them: ambiguous framing
// is rejected, and a client's request that has been read, even in part, is answered before its connection closes. When a
// new process replaces this one, running streams can be handed over to it together with their sockets.
package httpfront

import (
	"context"
	"errors"
	"fmt"
	"log"
	"log/slog"
	"net"
	"net/http"
	"net/http/httputil"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"rowanyard/decide"
	"rowanyard/internal/core"
	"rowanyard/internal/inbound"
	"rowanyard/internal/openids"
)

const (
	defaultInputMemory = 64 << 20 // bytes held of what clients send
	pathReady          = "/health/ready"
	PathChat           = "/v1/chat/completions" // the path of the requests that are passed to workers
	statusFailed       = http.StatusBadGateway  // for a request that could not be served
)

// Bridge returns a core.Transport that sends a client's request to workers over another protocol. The streams of its
// results must implement Stream.
type Bridge func(q decide.Request, id, class string, body []byte) core.Transport

// Front serves the requests of clients over HTTP/1.1. Its methods are safe for concurrent use.
type Front struct {
	// Bridges holds a Bridge for each protocol of workers besides HTTP/1.1, by the value of core.Worker.Wire. It must
	// not change once Serve has been called.
	Bridges map[string]Bridge
	// Input holds the accounts of what clients send. New requests for which there is no memory are refused with 503. It may be
	// replaced before Serve is called.
	Input *inbound.Budgets
	// HandOverAfter is how long after the start of Shutdown the streams that are still running are handed over to the
	// process that takes over, if there is one.
	HandOverAfter time.Duration
	// CutStreams is set if clients request the rest of a stream that broke. Streams that can't be handed over are then cut
	// after HandOverAfter, so that their clients go to another router while there is one. Otherwise they go on to their end
	// in this process.
	CutStreams bool

	core         *core.Core
	workers      *Workers
	classes      Classes
	log          *slog.Logger
	proxy        *httputil.ReverseProxy
	server       *http.Server
	writeTimeout time.Duration      // for a client to accept data, shorter in tests
	cutCtx       context.Context    // cancelled when streams are to be handed over or cut
	cutStreams   context.CancelFunc // cancels cutCtx
	keptStreams  *StreamReceiver    // relays streams that could not be handed over
	handedOver   atomic.Int64       // streams that another process has taken over

	mu            sync.Mutex
	clients       *clientListener // nil before Serve
	receiver      *StreamReceiver // nil if no streams are taken over from another process
	successorPath successor       // set by Shutdown
	connLimit     int             // set by Limit, 0 if it has not been called
	standby       bool            // an operator wants the router to have no clients
	closing       bool            // Shutdown has begun
	successor     bool            // Shutdown was called while another process serves at this address
	ending        bool            // CloseInactive was called, and Shutdown has not returned
	closeTimer    *time.Timer     // of the next close of inactive connections, nil: there was none
	closeAt       time.Time       // when that is due
}

// New returns a Front that passes requests to c. classNames are the names of the classes in the order of their numbers.
// pages, if not nil, wraps the Front's handler with further pages to serve on the same port.
func New(c *core.Core, w *Workers, classNames []string, pages func(http.Handler) http.Handler, logger *slog.Logger) *Front {
	cutCtx, cutStreams := context.WithCancel(context.Background())
	f := &Front{cutCtx: cutCtx, cutStreams: cutStreams, core: c, workers: w, classes: ClassesOf(classNames), log: logger, writeTimeout: clientWriteTimeout}
	f.Input = inbound.NewBudgets(1, defaultInputMemory)
	f.Input.Memory.SetLimit(defaultInputMemory)
	f.keptStreams = &StreamReceiver{front: f, cutCtx: context.Background(), retryAfter: retryAfterLine(c.BusyRetryAfter()), log: logger}
	serverLog := log.New(slogWriter{logger}, "", 0)
	f.proxy = &httputil.ReverseProxy{
		Rewrite:       func(*httputil.ProxyRequest) {}, // the core chooses the worker, in RoundTrip
		Transport:     roundTripper{f},
		FlushInterval: -1, // pass on each event at once
		BufferPool:    &bufferPool{},
		ErrorLog:      serverLog,
		ErrorHandler: func(w http.ResponseWriter, r *http.Request, err error) {
			if r.Context().Err() == nil {
				f.log.Error("no answer from the core", "err", err)
			}
			w.WriteHeader(statusFailed)
		},
	}
	var handler http.Handler = f
	if pages != nil {
		handler = pages(f)
	}
	f.server = &http.Server{Handler: withConnectionHeader(handler), MaxHeaderBytes: maxHeadBytes, ErrorLog: serverLog, ConnContext: contextWithConn, ConnState: trackConnState}
	return f
}

// Serve serves clients on l until Shutdown is called. It holds at most maxConns connections at once, or as many as Limit
// has set. It returns nil after a shutdown.
func (f *Front) Serve(l net.Listener, maxConns int) error {
	f.mu.Lock()
	if f.connLimit > 0 {
		maxConns = f.connLimit
	}
	f.clients = newClientListener(l, maxConns, f.core.BusyRetryAfter(), f.Input, f.log)
	f.clients.closing.Store(f.standby || f.closing)
	current := f.clients
	f.mu.Unlock()
	defer close(current.acceptDone)
	err := f.server.Serve(current)
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// Limit sets how many client connections are held at once. If more are open, inactive ones are closed when the next
// connection arrives.
func (f *Front) Limit(maxConns int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.connLimit = maxConns
	if f.clients != nil {
		f.clients.limit(maxConns)
	}
}

// ServeHTTP implements http.Handler. It serves readiness probes and chat requests.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == pathReady && r.Method == http.MethodGet {
		if !f.ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	if r.Method != http.MethodPost || r.URL.Path != PathChat {
		http.Error(w, "no such page", http.StatusNotFound)
		return
	}
	memory := f.Input.NewHolding()
	defer memory.Release()
	if c, ok := r.Context().Value(connKey{}).(*clientConn); ok {
		c.bodyMemory.Store(memory)
		c.beginOwing(r.Header.Get(headerTxn))
	}
	body, status, err := f.readBody(w, r, memory)
	if errors.Is(err, errBodyMemory) {
		f.refuseUnread(w, r, err.Error())
		return
	}
	if status == http.StatusRequestEntityTooLarge {
		f.log.Info("bad request", "status", status, "err", err)
		respondTooLarge(w, r)
		return
	}
	var q decide.Request
	if err == nil {
		q, status, err = f.classes.Parse(r.Header, body)
	}
	if err != nil {
		f.rejectRequest(w, status, err)
		return
	}
	q.Label = r.Header.Get(headerTxn)
	if !f.core.Admits(q.Label, completionTime(r.Context()), func() bool { return f.canMove(r) }) {
		f.respondRefused(w, r)
		return
	}
	releaseID, err := f.core.ClaimID(q.Label, q.Class, q.Resumed)
	if err != nil {
		f.rejectID(w, r, err)
		return
	}
	defer releaseID()
	q.TimeLeft = max(0, q.TimeLeft-timeSinceArrival(r.Context()))
	q.CachedTokens = f.core.CachedTokens(func() []byte { return Prompt(body) })
	f.forward(w, r, q, body, memory)
}

// refuse answers a request of which nothing was sent to a worker with 503.
func (f *Front) refuse(w http.ResponseWriter, r *http.Request, id, why string) {
	f.log.Info("refused", "why", why, "txn", id)
	f.respondRefused(w, r)
}

func (f *Front) respondRefused(w http.ResponseWriter, r *http.Request) {
	if c, ok := r.Context().Value(connKey{}).(*clientConn); ok { // again: the shutdown may have begun since the head was read
		c.announceClose(w.Header(), r)
	}
	setRetryAfter(w.Header(), f.core.BusyRetryAfter())
	w.WriteHeader(http.StatusServiceUnavailable)
}

// rejectRequest answers a request that its client must not send again as it is.
func (f *Front) rejectRequest(w http.ResponseWriter, status int, err error) {
	f.log.Info("bad request", "status", status, "err", err)
	http.Error(w, err.Error(), status)
}

// rejectID answers a request whose id could not be claimed. An open request with this id is not affected.
func (f *Front) rejectID(w http.ResponseWriter, r *http.Request, err error) {
	id := r.Header.Get(headerTxn)
	if errors.Is(err, openids.ErrOpen) || errors.Is(err, openids.ErrMayHaveRun) {
		f.rejectRequest(w, http.StatusConflict, fmt.Errorf("%s: %q %w", headerTxn, id, err))
		return
	}
	f.refuse(w, r, id, "its id "+err.Error())
}

// forward passes a parsed request to the core and relays the answer to the client.
func (f *Front) forward(w http.ResponseWriter, r *http.Request, q decide.Request, body []byte, memory *inbound.Holding) {
	x := &Exchange{Workers: f.workers, Method: r.Method, URI: r.URL.RequestURI(), Head: r.Header, Body: body}
	for wire, bridge := range f.Bridges {
		x.bridged = append(x.bridged, wireTransport{wire, bridge(q, r.Header.Get(headerTxn), r.Header.Get(headerLane), body)})
	}
	freeBody := func() { // called once the body is no longer needed
		x.DropBody()
		memory.Release()
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	if c, ok := r.Context().Value(connKey{}).(*clientConn); ok {
		if owed := c.owed.Load(); owed != nil {
			owed.exchange.Store(x)
		}
		// net/http looks for a close concurrently with the handler, and may not yet have noticed one that came while
		// the request was waiting to be read.
		x.ClientGone = func() bool {
			if !c.clientGone() {
				return false
			}
			cancel()
			return true
		}
	}
	accountOf(r.Context()).End() // a request that was taken needs no turn
	parsed := parsedRequest{x, q, http.NewResponseController(w), freeBody, w.Header()}
	f.proxy.ServeHTTP(w, r.WithContext(context.WithValue(ctx, parsedRequestKey{}, parsed)))
}

// refusedCost is charged at most for a request that the core has not served.
const refusedCost = 500 * time.Microsecond

// accountOf returns the account of work of the connection that a request came on, nil if it has none.
func accountOf(ctx context.Context) *inbound.Client {
	if c, ok := ctx.Value(connKey{}).(*clientConn); ok {
		return c.account
	}
	return nil
}

// formatSeconds formats a duration for Retry-After.
func formatSeconds(t time.Duration) string { return strconv.FormatFloat(t.Seconds(), 'f', 3, 64) }

// setRetryAfter sets the header Retry-After unless after is 0.
func setRetryAfter(h http.Header, after time.Duration) {
	if after > 0 {
		h.Set("Retry-After", formatSeconds(after))
	}
}

type parsedRequestKey struct{}

// parsedRequest passes a request that the handler has read to RoundTrip.
type parsedRequest struct {
	exchange       *Exchange
	q              decide.Request
	client         *http.ResponseController
	freeBody       func() // called once there is an answer
	responseHeader http.Header
}

// roundTripper has the core serve a request and turns the final answer into a response.
type roundTripper struct{ front *Front }

func (t roundTripper) RoundTrip(out *http.Request) (*http.Response, error) {
	parsed, ok := out.Context().Value(parsedRequestKey{}).(parsedRequest)
	if !ok {
		return nil, errors.New("request was not read by the handler")
	}
	servedSince := time.Now()
	a := t.front.core.Serve(out.Context(), parsed.q, parsed.exchange)
	if account := accountOf(out.Context()); a.Verdict == core.Streaming {
		account.Useful()
	} else {
		account.Charge(min(time.Since(servedSince), refusedCost))
	}
	parsed.freeBody()
	conn, _ := out.Context().Value(connKey{}).(*clientConn)
	if conn != nil { // again: since the request was read, more may have arrived and the shutdown may have begun
		conn.announceClose(parsed.responseHeader, out)
	}
	res := &http.Response{Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Request: out,
		Header: http.Header{}, Body: http.NoBody}
	switch a.Verdict {
	case core.Streaming:
		s := a.Stream.(Stream)
		res.StatusCode, res.ContentLength = http.StatusOK, -1
		for _, name := range []string{"Content-Type", "Cache-Control"} { // framing and load reports are not for the client
			if v := s.Header().Get(name); v != "" {
				res.Header.Set(name, v)
			}
		}
		res.Body = &relay{Stream: s, front: t.front, id: parsed.q.Label, onEnd: a.StreamEnded, client: parsed.client, conn: conn,
			chunked: out.ProtoAtLeast(1, 1)}
	case core.Refused:
		res.StatusCode = http.StatusServiceUnavailable
		setRetryAfter(res.Header, a.RetryAfter)
	case core.ClientGone:
		if conn != nil {
			conn.logEnd(endedByClient, errClientLeft.Error())
		}
		return nil, context.Canceled
	default:
		res.StatusCode = statusFailed
	}
	return res, nil
}

// slogWriter writes the log lines of net/http to a slog.Logger at debug level.
type slogWriter struct{ log *slog.Logger }

func (w slogWriter) Write(p []byte) (int, error) {
	w.log.Debug("http", "line", strings.TrimSpace(string(p)))
	return len(p), nil
}
