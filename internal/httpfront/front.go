// Package httpfront is the platform's protocol: HTTP/1.1 with clients and workers, and the watch on
// discovery. This file owns the side of the clients: reading a request's head into the values that
// the core knows, and passing a worker's stream on unchanged.
//
// It must never decide anything about a request, send one again, or hold back a final answer; all
// of that is the core's. It must never change what a client or a worker sent.
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
)

// Limits of what clients may send and hold.
const (
	defaultBodyMemory = 40 << 20 // bytes of bodies held at once, unless Bodies says otherwise
	pathReady         = "/health/ready"
	PathChat          = "/v1/chat/completions"
	failureStatus     = http.StatusBadGateway
)

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

	core           *core.Core
	workers        *Workers
	classes        Classes
	log            *slog.Logger
	proxy          *httputil.ReverseProxy
	server         *http.Server
	writes         time.Duration // writeLimit
	bodyMemoryUsed atomic.Int64
	over           context.Context // ends when streams are handed over
	beginHandOver  context.CancelFunc

	mu            sync.Mutex
	clients       *clients // nil before Serve
	receiver      *Handed  // nil where nothing is taken from another process
	successorPath heir     // the process that takes over
	connLimit     int      // set by Limit
	standby       bool     // operators want the router empty
	closing       bool     // Shutdown has begun
	heir          bool     // and another process serves in this one's place
}

// New returns a Front that serves the classes with the given names, in the order of their numbers.
// pages serves what else stands on its port; nil: nothing.
func New(c *core.Core, w *Workers, classNames []string, pages func(http.Handler) http.Handler, logger *slog.Logger) *Front {
	over, beginHandOver := context.WithCancel(context.Background())
	f := &Front{over: over, beginHandOver: beginHandOver, core: c, workers: w, classes: ClassesOf(classNames), log: logger, writes: writeLimit}
	f.Bodies.Store(defaultBodyMemory)
	serverLog := log.New(slogWriter{logger}, "", 0)
	f.proxy = &httputil.ReverseProxy{
		Rewrite:       func(*httputil.ProxyRequest) {}, // the worker's address is the core's choice, made in RoundTrip
		Transport:     roundTripper{f},
		FlushInterval: -1, // every event as it comes
		BufferPool:    &bufferPool{},
		ErrorLog:      serverLog,
		ErrorHandler: func(w http.ResponseWriter, r *http.Request, err error) {
			if r.Context().Err() == nil {
				f.log.Error("no answer from the core", "err", err)
			}
			w.WriteHeader(failureStatus)
		},
	}
	var handler http.Handler = f
	if pages != nil {
		handler = pages(f)
	}
	f.server = &http.Server{Handler: withConnectionHeader(handler), ReadHeaderTimeout: firstHeadTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: maxHeadBytes, ErrorLog: serverLog, ConnContext: withConn, ConnState: trackConnState}
	return f
}

// Serve serves clients on l, at most maxConns at once, until Shutdown.
func (f *Front) Serve(l net.Listener, maxConns int) error {
	f.mu.Lock()
	if f.connLimit > 0 {
		maxConns = f.connLimit
	}
	f.clients = newClients(l, maxConns, f.core.Busy(), f.log)
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

// Limit changes how many connections of clients are held.
func (f *Front) Limit(maxConns int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.connLimit = maxConns
	if f.clients != nil {
		f.clients.limit(maxConns)
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
	_ = http.NewResponseController(w).SetReadDeadline(bodyDeadline(r.Context()))
	if r.Method != http.MethodPost || r.URL.Path != PathChat {
		http.Error(w, "no such page", http.StatusNotFound)
		return
	}
	memory, ok := f.reserveBody(r.ContentLength)
	defer memory.release()
	if !ok {
		f.log.Info("refused", "why", "too many bodies are held", "txn", r.Header.Get(headTxn))
		setRetryAfter(w.Header(), f.core.Busy())
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	body, status, err := readBody(w, r)
	memory.resize(len(body))
	if status == http.StatusRequestEntityTooLarge {
		f.log.Info("bad request", "status", status, "err", err)
		respondTooLarge(w, r)
		return
	}
	var q decide.Request
	if err == nil {
		q, status, err = f.classes.Parse(r.Header, body)
	}
	if err == nil {
		id := r.Header.Get(headTxn)
		if release, ok := f.core.Claim(id); ok {
			defer release()
		} else { // the first request with it goes on untouched
			status, err = http.StatusConflict, fmt.Errorf("%s: %q is open already", headTxn, id)
		}
	}
	if err != nil {
		f.log.Info("bad request", "status", status, "err", err)
		http.Error(w, err.Error(), status)
		return
	}
	q.Label = r.Header.Get(headTxn)
	q.TimeLeft = max(0, q.TimeLeft-onItsWay(r.Context()))
	q.Kept = f.core.Kept(func() []byte { return Prompt(body) })
	f.forward(w, r, q, body, memory)
}

// forward has the core serve a request that was read.
func (f *Front) forward(w http.ResponseWriter, r *http.Request, q decide.Request, body []byte, memory *bodyReservation) {
	x := &Exchange{Workers: f.workers, Method: r.Method, URI: r.URL.RequestURI(), Head: r.Header, Body: body}
	for wire, bridge := range f.Bridges {
		x.others = append(x.others, other{wire, bridge(q, r.Header.Get(headTxn), r.Header.Get(laneHeader), body)})
	}
	freeBody := func() { // the body is not needed any more
		x.Drop()
		memory.release()
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	if c, ok := r.Context().Value(connKey{}).(*clientConn); ok {
		// Guards against a close that came while the request waited to be read: net/http looks for one beside the handler.
		x.Left = func() bool {
			if !c.clientGone() {
				return false
			}
			cancel()
			return true
		}
	}
	parsed := parsedRequest{x, q, http.NewResponseController(w), freeBody, w.Header()}
	f.proxy.ServeHTTP(w, r.WithContext(context.WithValue(ctx, exchangeKey{}, parsed)))
}

// formatSeconds is a time as Retry-After has it.
func formatSeconds(t time.Duration) string { return strconv.FormatFloat(t.Seconds(), 'f', 3, 64) }

func setRetryAfter(h http.Header, after time.Duration) {
	if after > 0 {
		h.Set("Retry-After", formatSeconds(after))
	}
}

type exchangeKey struct{}

// parsedRequest is a request that the handler has read, on its way to RoundTrip.
type parsedRequest struct {
	exchange       *Exchange
	q              decide.Request
	client         *http.ResponseController
	freeBody       func() // the answer has begun
	responseHeader http.Header
}

// roundTripper hands a request to the core and makes a response of its final answer.
type roundTripper struct{ front *Front }

func (t roundTripper) RoundTrip(out *http.Request) (*http.Response, error) {
	parsed, ok := out.Context().Value(exchangeKey{}).(parsedRequest)
	if !ok {
		return nil, errors.New("a request that the handler has not read")
	}
	a := t.front.core.Serve(out.Context(), parsed.q, parsed.exchange)
	conn, _ := out.Context().Value(connKey{}).(*clientConn)
	if conn != nil { // much may have come, and the shutdown begun, since the request was taken
		conn.announceClose(parsed.responseHeader, out)
	}
	res := &http.Response{Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Request: out,
		Header: http.Header{}, Body: http.NoBody}
	switch a.Verdict {
	case core.Streaming:
		s := a.Stream.(Stream)
		parsed.freeBody()
		res.StatusCode, res.ContentLength = http.StatusOK, -1
		for _, name := range []string{"Content-Type", "Cache-Control"} { // framing and load reports are the worker's own
			if v := s.Header().Get(name); v != "" {
				res.Header.Set(name, v)
			}
		}
		res.Body = &relay{Stream: s, ended: a.Ended, client: parsed.client, writes: t.front.writes, over: t.front.over, heirs: &t.front.successorPath, log: t.front.log}
		if out.ProtoAtLeast(1, 1) {
			res.Body.(*relay).conn = conn
		}
	case core.Refused:
		res.StatusCode = http.StatusServiceUnavailable
		setRetryAfter(res.Header, a.RetryAfter)
	case core.Gone:
		return nil, context.Canceled
	default:
		res.StatusCode = failureStatus
	}
	return res, nil
}

// slogWriter turns the libraries' own log lines into ours.
type slogWriter struct{ log *slog.Logger }

func (w slogWriter) Write(p []byte) (int, error) {
	w.log.Debug("http", "line", strings.TrimSpace(string(p)))
	return len(p), nil
}
