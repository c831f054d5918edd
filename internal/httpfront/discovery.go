package httpfront

// The watch of the worker list that discovery serves. It passes the list and its changes to the core as they arrive. It
// follows one address at a time and never mixes the lists of two. After an unreadable list it is restarted.

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"

	"rowanyard/decide"
	"rowanyard/internal/core"
)

// Timeouts. The router must have applied a change at most changeDeadline after discovery has it and can be reached, or
// moveDeadline after a SIGHUP named another address, whatever became of earlier calls. So a call begins at the latest at
// that deadline, less answerAllowance for its answer, counted from discovery's last line or the beginning of the previous
// call. This includes jitter and the timeout of that previous call.
const (
	pathList                 = "/registry/instances"
	changeDeadline           = 6 * time.Second
	moveDeadline             = 4 * time.Second
	answerAllowance          = 1500 * time.Millisecond
	minBackoff               = 200 * time.Millisecond  // a watch that has ended is restarted after up to this, doubled ...
	maxBackoff               = 2 * time.Second         // ... for each failure since the last one that lasted, up to this
	overloadBackoffPerRouter = 150 * time.Millisecond  // under overload all routers together make one call in this time, doubled likewise
	watchSilenceTimeout      = 3 * time.Second         // between two lines of a watch; discovery sends an empty one every 2 s
	firstLineTimeout         = 2500 * time.Millisecond // from the call until the first line, which may be an empty one
	listTimeout              = time.Second             // for a list that has begun; the full list is sent at once
	defaultMaxListBytes      = 4 << 20
	discoveryDialTimeout     = time.Second
)

// List is discovery's representation of the worker list, or of a change to it.
type List struct {
	Seq   int64   `json:"seq"`   // version of the worker list
	Whole bool    `json:"whole"` // Hosts is the full list, not a change
	Hosts []Entry `json:"hosts"`
}

// Entry is a worker in a List.
type Entry struct {
	Host   string  `json:"host"`    // id
	Dial   string  `json:"dial"`    // host:port
	Site   string  `json:"site"`    // name of its zone
	Class  string  `json:"class"`   // name of its kind
	Block  int     `json:"block"`   // number of its cell
	Health string  `json:"health"`  // a key of healthStates
	Share  float64 `json:"share"`   // weight
	BornMs float64 `json:"born_ms"` // Unix time of its start in milliseconds, 0: long ago
}

// Names holds the names that a deployment's lists use for kinds and zones, in the order of their numbers, and converts
// lists to core's types.
type Names struct {
	Kinds, Zones []string
	Wire         func(Entry) string // the wire protocol of a worker; nil: HTTP for all
}

var healthStates = map[string]decide.ServerState{"up": decide.Ready, "draining": decide.Draining, "removed": decide.Gone}

// decodeEntry converts an entry to the core's representation.
func (n Names) decodeEntry(e Entry) (core.Worker, error) {
	state, ok := healthStates[e.Health]
	kind, zone := slices.Index(n.Kinds, e.Class), slices.Index(n.Zones, e.Site)
	if state != decide.Gone {
		_, _, err := net.SplitHostPort(e.Dial)
		if !ok || e.Host == "" || kind < 0 || zone < 0 || err != nil || !(e.BornMs >= 0 && e.BornMs < 1e15) {
			return core.Worker{}, fmt.Errorf("invalid entry %+v", e)
		}
	}
	wire := ""
	if n.Wire != nil {
		wire = n.Wire(e)
	}
	return core.Worker{Addr: e.Dial, Wire: wire, UnixStart: time.Duration(e.BornMs * float64(time.Millisecond)),
		Server: decide.Server{ID: e.Host, State: state, Kind: kind, Cell: e.Block, Zone: zone, Weight: e.Share}}, nil
}

// Workers converts a list to the core's representation. Invalid entries are logged and left out.
func (n Names) Workers(l List, log *slog.Logger) []core.Worker {
	workers, _ := n.decodeList(l, log)
	return workers
}

// decodeList returns the valid entries' workers and the hosts of the invalid entries.
func (n Names) decodeList(l List, log *slog.Logger) (workers []core.Worker, rejected []string) {
	for _, e := range l.Hosts {
		w, err := n.decodeEntry(e)
		if err != nil {
			log.Error("worker list: left out", "err", err)
			rejected = append(rejected, e.Host)
			continue
		}
		workers = append(workers, w)
	}
	return workers, rejected
}

// Discovery follows one discovery address at a time and keeps the core's worker list up to date. Create it with
// NewDiscovery. Its methods are safe for concurrent use.
type Discovery struct {
	Names        Names
	Core         *core.Core
	Log          *slog.Logger
	MaxListBytes int // maximum size of a list, 0 means defaultMaxListBytes
	// Descriptors frees file descriptors when the process has none left. Configure it, but don't replace it.
	Descriptors *DescriptorSource

	dial dialFunc // replaced in tests

	mu        sync.Mutex
	addr      string
	stop      context.CancelFunc
	firstList chan struct{} // closed once a list was received
}

// NewDiscovery returns a Discovery that follows no address yet. maxListBytes bounds a list, 0 means
// defaultMaxListBytes.
func NewDiscovery(names Names, c *core.Core, maxListBytes int, log *slog.Logger) *Discovery {
	d := &Discovery{Names: names, Core: c, Log: log, MaxListBytes: maxListBytes, firstList: make(chan struct{}), Descriptors: &DescriptorSource{}}
	d.dial = d.Descriptors.wrapDial((&net.Dialer{Timeout: discoveryDialTimeout}).DialContext)
	return d
}

// FirstListReceived returns a channel that is closed once the first list or change was received.
func (d *Discovery) FirstListReceived() <-chan struct{} { return d.firstList }

// unknownVersion makes the watch request the full list first.
const unknownVersion = -1

// Follow watches addr from now on and no other address. after is the version of the list that the core has. Versions of
// different addresses can't be compared: if another address was followed before, the full list is requested, and the
// current one stays in use until it arrives. Following the same address again has no effect.
func (d *Discovery) Follow(addr string, after int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.addr == addr {
		return
	}
	if d.stop != nil {
		d.stop()
		after = unknownVersion
	}
	ctx, stop := context.WithCancel(context.Background())
	d.addr, d.stop = addr, stop
	go d.watch(ctx, addr, after)
}

// Close ends the watch.
func (d *Discovery) Close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.stop != nil {
		d.stop()
	}
}

// watch follows addr until ctx ends.
func (d *Discovery) watch(ctx context.Context, addr string, after int64) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: d.dial}}
	for failures := 0; ; {
		callStart := time.Now()
		lastHeard := callStart // when discovery last sent something, or when this call began
		err := d.watchOnce(ctx, client, addr, &after, &lastHeard)
		if time.Since(callStart) > changeDeadline { // the watch lasted for a while
			failures = 0
		}
		deadline := changeDeadline
		if after == unknownVersion {
			deadline = moveDeadline
		}
		interval := max(minBackoff, overloadBackoffPerRouter*time.Duration(d.Core.Settings().RouterCount)) // all routers share discovery
		pause := backoff(err, failures, interval, deadline-answerAllowance-time.Since(lastHeard))
		failures++
		if ctx.Err() == nil {
			d.Log.Warn("watch ended", "addr", addr, "seq", after, "again_ms", pause.Milliseconds(), "err", err)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
	}
}

// statusError is an answer of discovery other than 200 with its Retry-After, 0 if there was none.
type statusError struct {
	status     int
	retryAfter time.Duration
}

func (e statusError) Error() string { return fmt.Sprintf("status %d", e.status) }

// backoff returns how long to wait, with jitter, after a call that failed with err and so many failures before it.
// interval is the time in which each router may call once, maxWait the longest wait. Routers that all retry at once
// would keep an overloaded discovery from recovering, so its load must fall with each failure. maxWait keeps the wait
// short enough to apply a drain within the deadline for changes.
func backoff(err error, failures int, interval, maxWait time.Duration) time.Duration {
	var statusErr statusError
	var wait time.Duration
	switch {
	case errors.As(err, &statusErr) && statusErr.retryAfter > 0:
		wait = statusErr.retryAfter + rand.N(interval)
	case errors.As(err, &statusErr), errors.Is(err, syscall.ECONNRESET):
		interval <<= min(failures, 10)
		wait = interval/2 + rand.N(interval)
	default:
		base := min(minBackoff<<min(failures, 10), maxBackoff)
		wait = base/2 + rand.N(base/2)
	}
	if maxWait = max(maxWait, minBackoff); wait > maxWait {
		wait = maxWait/2 + rand.N(maxWait/2)
	}
	return wait
}

// watchOnce makes one watch call, after one for the full list if after is unknownVersion, and applies what arrives until it
// ends. It updates after, the version of the core's list, and lastHeard.
func (d *Discovery) watchOnce(ctx context.Context, client *http.Client, addr string, after *int64, lastHeard *time.Time) error {
	ctx, stop := context.WithCancelCause(ctx)
	defer stop(nil)
	// Discovery might keep the connection open without sending anything.
	silenceTimer := time.AfterFunc(listTimeout, func() { stop(errors.New("discovery is silent")) })
	defer silenceTimer.Stop()
	url := "http://" + addr + pathList
	if *after == unknownVersion {
		if err := d.readLists(ctx, client, url, silenceTimer, after, lastHeard); err != nil {
			return err
		}
	}
	silenceTimer.Reset(firstLineTimeout)
	if err := d.readLists(ctx, client, url+"?watch=1&after="+strconv.FormatInt(*after, 10), silenceTimer, after, lastHeard); err != nil {
		return err
	}
	return io.ErrUnexpectedEOF
}

// readLists reads the lists of an answer to its end and applies them.
func (d *Discovery) readLists(ctx context.Context, client *http.Client, url string, silenceTimer *time.Timer, after *int64, lastHeard *time.Time) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	res, err := client.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		after, _ := strconv.ParseFloat(res.Header.Get("Retry-After"), 64)
		if !(after >= 0 && after < 1e6) {
			after = 0
		}
		return statusError{res.StatusCode, time.Duration(after * float64(time.Second))}
	}
	reader := newListReader(res.Body, cmp.Or(d.MaxListBytes, defaultMaxListBytes), silenceTimer, lastHeard)
	reader.onUnchanged = d.Core.ListConfirmed
	for {
		text, err := reader.next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil && !reader.inValue { // it broke off between two lists, so no change was lost
			return err
		}
		var l List
		if err == nil {
			l, err = parseList(text)
		}
		if err == nil && !l.Whole && l.Seq < *after {
			err = fmt.Errorf("version %d after %d: the changes in between are not known", l.Seq, *after)
		}
		if err == nil {
			err = d.apply(ctx, l)
		}
		if err != nil { // the change is lost: request the full list next
			*after = unknownVersion
			return err
		}
		*after = l.Seq
	}
}

// listReader reads the JSON values of an answer one by one, each on one line or indented over many. Empty lines
// between them are keep-alives. A value that has begun has to end soon, because a truncated one would swallow those
// that follow.
type listReader struct {
	src          io.Reader
	decoder      *json.Decoder
	maxBytes     int // maximum size of a value
	valueBytes   int // bytes read since the last value ended
	inValue      bool
	silenceTimer *time.Timer
	lastHeard    *time.Time // when the last value ended or an empty line arrived

	onUnchanged func() // called for each empty line, may be nil
}

func newListReader(src io.Reader, maxBytes int, silenceTimer *time.Timer, lastHeard *time.Time) *listReader {
	l := &listReader{src: src, maxBytes: maxBytes, silenceTimer: silenceTimer, lastHeard: lastHeard}
	l.decoder = json.NewDecoder(l)
	return l
}

// next returns the text of the next value, or io.EOF if the answer ends between two.
func (l *listReader) next() (json.RawMessage, error) {
	l.valueBytes = 0
	var text json.RawMessage
	err := l.decoder.Decode(&text)
	if err == nil {
		rest, _ := io.ReadAll(l.decoder.Buffered()) // read by the decoder already
		l.inValue = len(bytes.TrimSpace(rest)) > 0
		*l.lastHeard = time.Now()
		l.resetSilenceTimer()
	}
	return text, err
}

// Read implements io.Reader for the decoder.
func (l *listReader) Read(p []byte) (int, error) {
	if l.valueBytes >= l.maxBytes {
		return 0, fmt.Errorf("list over %d bytes", l.maxBytes)
	}
	n, err := l.src.Read(p)
	l.valueBytes += n
	switch blank := len(bytes.TrimSpace(p[:n])) == 0; {
	case l.inValue:
	case !blank:
		l.inValue = true
		l.resetSilenceTimer()
	case n > 0:
		l.valueBytes = 0
		*l.lastHeard = time.Now()
		l.resetSilenceTimer()
		if l.onUnchanged != nil {
			l.onUnchanged()
		}
	}
	return n, err
}

// resetSilenceTimer restarts the timer: empty lines come every few seconds, but the rest of a value must come at once.
func (l *listReader) resetSilenceTimer() {
	if l.inValue {
		l.silenceTimer.Reset(listTimeout)
	} else {
		l.silenceTimer.Reset(watchSilenceTimeout)
	}
}

// apply passes a list to the core unless another address is followed by now: a late list from the old address must not
// undo what the new one has sent.
func (d *Discovery) apply(ctx context.Context, l List) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	workers, rejected := d.Names.decodeList(l, d.Log)
	if l.Whole && len(workers) == 0 && len(rejected) > 0 {
		return fmt.Errorf("none of %d entries is valid, keeping the last good list", len(rejected))
	}
	if l.Whole { // a worker with an unreadable entry is not gone: keep its last known state
		for _, id := range rejected {
			if w, ok := d.Core.Worker(id); ok {
				workers = append(workers, w)
			}
		}
	}
	d.Core.SetWorkers(l.Whole, workers)
	d.Core.ListConfirmed()
	select {
	case <-d.firstList:
	default:
		close(d.firstList)
	}
	d.Log.Info("worker list", "seq", l.Seq, "whole", l.Whole, "entries", len(l.Hosts))
	return nil
}

func parseList(line []byte) (List, error) {
	var l List
	if err := json.Unmarshal(line, &l); err != nil {
		return l, fmt.Errorf("malformed line: %w", err)
	}
	if l.Hosts == nil { // null and {} are valid JSON but would be taken for a list without changes
		return l, errors.New("malformed line: no hosts")
	}
	return l, nil
}
