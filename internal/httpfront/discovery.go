package httpfront

// The worker list that discovery serves, and its changes, are passed to the core as they arrive. One address is followed at a
// time (follower.go), and the lists of two are never mixed. After an unreadable list the full list is requested.

import (
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"slices"
	"sync"
	"time"

	"rowanyard/decide"
	"rowanyard/internal/core"
)

const discoveryDialTimeout = time.Second

// Reasons for which the calls to an address end.
var (
	errAddressChanged = errors.New("another address is followed")
	errClosed         = errors.New("the process ends")
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
	current   *follower     // of the address that is followed; nil: none
	previous  *follower     // of the address before, until current has received a list; nil: none
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

// Follow watches addr from now on. after is the version of the list that the core has. Versions of different addresses
// can't be compared: if another address was followed before, the full list is requested. The current list stays in use until
// that arrives, and so does the watch at the address before, to which no further calls are made. Following the same address
// again has no effect.
func (d *Discovery) Follow(addr string, after int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.current != nil {
		if d.current.addr == addr {
			return
		}
		if d.current.retire() {
			d.endPrevious(nil)
			d.previous = d.current
		}
		after = unknownVersion
	}
	d.current = newFollower(d, addr, after)
	go d.current.run()
}

// Close ends all calls.
func (d *Discovery) Close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, f := range []*follower{d.current, d.previous} {
		if f != nil {
			f.end(errClosed)
		}
	}
}

// endPrevious ends the watch at the address before, unless that is the one that has received a list. The caller holds d.mu.
func (d *Discovery) endPrevious(received *follower) {
	if d.previous != nil && d.previous != received {
		d.previous.end(errAddressChanged)
		d.previous = nil
	}
}

// apply passes a list to the core. The caller holds d.mu.
func (d *Discovery) apply(l List) error {
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
