package httpfront

// This file owns the watch on discovery: it reads the list of workers and its changes and hands
// them to the core as they come, from one address at a time. It must never hold a change back, never
// let a line that it can't read end the watch for good, and never mix what two addresses say.

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

// Times. A change counts as told newsDue after discovery has it and can be reached, or newsMoved after SIGHUP has named
// another address, whatever became of the call before. So no call begins later than newsDue less newsSpare after discovery's
// last word or the beginning of the call before, jitter and that call's own limit included: what is left is for the answer.
const (
	pathList      = "/registry/instances"
	newsDue       = 6 * time.Second
	newsMoved     = 4 * time.Second
	newsSpare     = 1500 * time.Millisecond
	backoffLeast  = 200 * time.Millisecond  // a watch that ended is asked for again after up to this, doubled ...
	backoffMost   = 2 * time.Second         // ... for each that failed since one held, up to this
	backoffEach   = 150 * time.Millisecond  // where discovery has no room all routers together ask so often, doubled likewise
	watchSilent   = 3 * time.Second         // an empty line comes every 2 s,
	watchFirst    = 2500 * time.Millisecond // and so does the first
	listWait      = time.Second             // the whole list comes at once or not at all
	watchLine     = 4 << 20
	discoveryDial = time.Second
)

// List is discovery's form of the worker list.
type List struct {
	Seq   int64   `json:"seq"`
	Whole bool    `json:"whole"`
	Hosts []Entry `json:"hosts"`
}

// Entry is one worker in it.
type Entry struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	BornMs float64 `json:"born_ms"`
}

// Names are the deployment's names in the order of their numbers.
type Names struct {
	Kinds, Zones []string
	Wire         func(Entry) string // how a worker is spoken to; nil: all by HTTP
}

var states = map[string]decide.ServerState{"up": decide.Ready, "draining": decide.Draining, "removed": decide.Gone}

// worker turns an entry into the core's form.
func (n Names) worker(e Entry) (core.Worker, error) {
	state, ok := states[e.Health]
	kind, zone := slices.Index(n.Kinds, e.Class), slices.Index(n.Zones, e.Site)
	if state != decide.Gone {
		_, _, err := net.SplitHostPort(e.Dial)
		if !ok || e.Host == "" || kind < 0 || zone < 0 || err != nil || !(e.BornMs >= 0 && e.BornMs < 1e15) {
			return core.Worker{}, fmt.Errorf("entry %+v", e)
		}
	}
	spoken := ""
	if n.Wire != nil {
		spoken = n.Wire(e)
	}
	return core.Worker{Addr: e.Dial, Wire: spoken, Born: time.Duration(e.BornMs * float64(time.Millisecond)),
		Server: decide.Server{ID: e.Host, State: state, Kind: kind, Cell: e.Block, Zone: zone, Weight: e.Share}}, nil
}

// Workers turns a list into the core's form. Entries that make no sense are logged and left out.
func (n Names) Workers(l List, log *slog.Logger) []core.Worker {
	all, _ := n.sort(l, log)
	return all
}

// sort sets the entries that make sense apart from the hosts of those that don't.
func (n Names) sort(l List, log *slog.Logger) (all []core.Worker, garbled []string) {
	for _, e := range l.Hosts {
		w, err := n.worker(e)
		if err != nil {
			log.Error("worker list: left out", "err", err)
			garbled = append(garbled, e.Host)
			continue
		}
		all = append(all, w)
	}
	return all, garbled
}

// Discovery follows one address of discovery at a time.
type Discovery struct {
	Names Names
	Core  *core.Core
	Log   *slog.Logger
	Line  int // the longest line that is read, 0 = watchLine
	// Spare is where descriptors come from when there are none left. Not to be replaced.
	Spare *Descriptors

	dial dialFunc // the network's, but for tests

	mu   sync.Mutex
	addr string
	stop context.CancelFunc
	told chan struct{} // closed once discovery has said anything
}

// NewDiscovery returns a Discovery that follows nobody yet and reads lines of so many bytes, 0 = watchLine.
func NewDiscovery(names Names, c *core.Core, line int, log *slog.Logger) *Discovery {
	d := &Discovery{Names: names, Core: c, Log: log, Line: line, told: make(chan struct{}), Spare: &Descriptors{}}
	d.dial = d.Spare.dialing((&net.Dialer{Timeout: discoveryDial}).DialContext)
	return d
}

// Told is closed once discovery has told the first line.
func (d *Discovery) Told() <-chan struct{} { return d.told }

// wholeList asks for the whole list before the watch.
const wholeList = -1

// Follow watches addr from now on and no other. after is the version of the list that the core has.
// Where an address was followed before, addr need not count its versions alike: the whole list is
// taken from there, and what is known holds until it comes. The same address again changes nothing.
func (d *Discovery) Follow(addr string, after int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.addr == addr {
		return
	}
	if d.stop != nil {
		d.stop()
		after = wholeList
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
	for failed := 0; ; {
		begun := time.Now()
		word := begun // discovery's last, or when this call for one began
		err := d.watchOnce(ctx, client, addr, &after, &word)
		if time.Since(begun) > newsDue { // it has held for a while
			failed = 0
		}
		due := newsDue
		if after == wholeList {
			due = newsMoved
		}
		turn := max(backoffLeast, backoffEach*time.Duration(d.Core.Settings().Fronts)) // all of them share discovery
		pause := backoff(err, failed, turn, due-newsSpare-time.Since(word))
		failed++
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

// notNow is an answer of discovery other than 200, with its advice on when to ask again, 0 = none.
type notNow struct {
	status int
	after  time.Duration
}

func (e notNow) Error() string { return fmt.Sprintf("status %d", e.status) }

// backoff is how long to wait after so many failures before this one, with jitter. turn is the time in which each of
// all routers may ask once, most the longest wait. Guards discovery against routers that all ask again at once,
// and again: where it has no room it must get less to do, not more, or it never catches up. And guards the rule
// on drains against waits after which news that was not asked for counts as told.
func backoff(err error, failed int, turn, most time.Duration) time.Duration {
	var busy notNow
	var wait time.Duration
	switch {
	case errors.As(err, &busy) && busy.after > 0:
		wait = busy.after + rand.N(turn)
	case errors.As(err, &busy), errors.Is(err, syscall.ECONNRESET):
		turn <<= min(failed, 10)
		wait = turn/2 + rand.N(turn)
	default:
		seldom := min(backoffLeast<<min(failed, 10), backoffMost)
		wait = seldom/2 + rand.N(seldom/2)
	}
	if most = max(most, backoffLeast); wait > most {
		wait = most/2 + rand.N(most/2)
	}
	return wait
}

// watchOnce follows one watch to its end.
func (d *Discovery) watchOnce(ctx context.Context, client *http.Client, addr string, after *int64, word *time.Time) error {
	ctx, stop := context.WithCancelCause(ctx)
	defer stop(nil)
	// Guards against a discovery that keeps the connection open and says nothing.
	silent := time.AfterFunc(listWait, func() { stop(errors.New("discovery is silent")) })
	defer silent.Stop()
	url := "http://" + addr + pathList
	if *after == wholeList {
		if err := d.read(ctx, client, url, silent, after, word); err != nil {
			return err
		}
	}
	silent.Reset(watchFirst)
	if err := d.read(ctx, client, url+"?watch=1&after="+strconv.FormatInt(*after, 10), silent, after, word); err != nil {
		return err
	}
	return io.ErrUnexpectedEOF
}

// read takes an answer's lines to its end.
func (d *Discovery) read(ctx context.Context, client *http.Client, url string, silent *time.Timer, after *int64, word *time.Time) error {
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
		return notNow{res.StatusCode, time.Duration(after * float64(time.Second))}
	}
	values := newLists(res.Body, cmp.Or(d.Line, watchLine), silent, word)
	values.unchanged = d.Core.ListConfirmed
	for {
		text, err := values.next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil && !values.begun { // it ended between two, which says nothing about either
			return err
		}
		var l List
		if err == nil {
			l, err = parseList(text)
		}
		if err == nil && !l.Whole && l.Seq < *after {
			err = fmt.Errorf("version %d after %d: what changed in between is not known", l.Seq, *after)
		}
		if err == nil {
			err = d.take(ctx, l)
		}
		if err != nil { // what it said is unknown: ask for the whole list
			*after = wholeList
			return err
		}
		*after = l.Seq
	}
}

// lists reads the JSON values of an answer one by one, on one line each or indented over many. Empty lines between
// them are signs of life. A value that has begun has to end soon: a cut one would swallow those after it.
type lists struct {
	from   io.Reader
	values *json.Decoder
	most   int // bytes of a value
	read   int // bytes since the last value ended
	begun  bool
	silent *time.Timer
	word   *time.Time // when the last one ended, or an empty line came

	unchanged func() // told of each empty line, nil: nobody is
}

func newLists(from io.Reader, most int, silent *time.Timer, word *time.Time) *lists {
	l := &lists{from: from, most: most, silent: silent, word: word}
	l.values = json.NewDecoder(l)
	return l
}

// next is the text of the next value, or io.EOF where the answer ends between two.
func (l *lists) next() (json.RawMessage, error) {
	l.read = 0
	var text json.RawMessage
	err := l.values.Decode(&text)
	if err == nil {
		rest, _ := io.ReadAll(l.values.Buffered()) // the decoder keeps it
		l.begun = len(bytes.TrimSpace(rest)) > 0
		*l.word = time.Now()
		l.sign()
	}
	return text, err
}

// Read reads for the decoder.
func (l *lists) Read(p []byte) (int, error) {
	if l.read >= l.most {
		return 0, fmt.Errorf("a list of more than %d bytes", l.most)
	}
	n, err := l.from.Read(p)
	l.read += n
	switch blank := len(bytes.TrimSpace(p[:n])) == 0; {
	case l.begun:
	case !blank:
		l.begun = true
		l.sign()
	case n > 0:
		l.read = 0
		*l.word = time.Now()
		l.sign()
		if l.unchanged != nil {
			l.unchanged()
		}
	}
	return n, err
}

// sign notes a sign of life: the next is due in some seconds, the rest of a value that has begun at once.
func (l *lists) sign() {
	if l.begun {
		l.silent.Reset(listWait)
	} else {
		l.silent.Reset(watchSilent)
	}
}

// take hands a line to the core, unless another address is followed by now: what the old one
// said late must not undo what the new one has told.
func (d *Discovery) take(ctx context.Context, l List) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	workers, garbled := d.Names.sort(l, d.Log)
	if l.Whole && len(workers) == 0 && len(garbled) > 0 {
		return fmt.Errorf("none of %d entries makes sense, the last good list holds", len(garbled))
	}
	if l.Whole { // a worker whose entry can't be read is not gone: what was last told of it holds
		for _, id := range garbled {
			if w, ok := d.Core.Worker(id); ok {
				workers = append(workers, w)
			}
		}
	}
	d.Core.SetWorkers(l.Whole, workers)
	d.Core.ListConfirmed()
	select {
	case <-d.told:
	default:
		close(d.told)
	}
	d.Log.Info("worker list", "seq", l.Seq, "whole", l.Whole, "entries", len(l.Hosts))
	return nil
}

func parseList(line []byte) (List, error) {
	var l List
	if err := json.Unmarshal(line, &l); err != nil {
		return l, fmt.Errorf("malformed line: %w", err)
	}
	if l.Hosts == nil { // null and {} are JSON too: taken for a list they would say that nothing has changed
		return l, errors.New("malformed line: no hosts")
	}
	return l, nil
}
