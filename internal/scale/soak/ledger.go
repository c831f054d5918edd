package soak

import (
	"net"
	"net/rpc"
	"sync"
	"time"
)

// eventKind is the kind of an event at a worker.
type eventKind string

const (
	attemptArrived eventKind = "arrived" // the last byte of an attempt's request arrived
	attemptEnded   eventKind = "over"    // the worker has ended an attempt
	stateHeld      eventKind = "held"    // a reader holds state for a request from now on
	stateFetched   eventKind = "taken"   // a writer fetched the state
	stateReleased  eventKind = "released"
	stateLost      eventKind = "lost"   // the state was lost with the reader's process
	effectRan      eventKind = "effect" // a write took effect
)

// event is one event in the ledger.
type event struct {
	kind        eventKind
	at          time.Time
	id, host    string
	incarnation int           // of the worker
	deadline    time.Duration // of attemptArrived: how long the router will wait, as sent to the worker
}

// heldState identifies the reader process that holds a request's state.
type heldState struct {
	host        string
	incarnation int
}

// ledger records the events of all worker processes and tracks which process holds state for which request.
type ledger struct {
	mu           sync.Mutex
	events       []event
	states       map[string]heldState
	incarnations map[string]int // number of the latest process of each worker
	deadlines    map[string]time.Duration
	responding   map[string]bool // requests whose response has begun
	listener     net.Listener
}

// Call is the argument of Ledger.Tell.
type Call struct {
	What, ID, Host string
	Incarnation    int
	Left           time.Duration
}

// Ledger is the RPC service that worker processes call.
type Ledger struct{ ledger *ledger }

// startLedger starts serving Ledger on a loopback address.
func startLedger() (*ledger, error) {
	l := &ledger{states: make(map[string]heldState), incarnations: make(map[string]int),
		deadlines: make(map[string]time.Duration), responding: make(map[string]bool)}
	server := rpc.NewServer()
	if err := server.Register(&Ledger{l}); err != nil {
		return nil, err
	}
	var err error
	if l.listener, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return nil, err
	}
	go server.Accept(l.listener)
	return l, nil
}

// Tell records an event. accepted reports whether the ledger accepted it: a hold, fetch or release may fail.
func (s *Ledger) Tell(c Call, accepted *bool) error {
	*accepted = s.ledger.record(c)
	return nil
}

func (l *ledger) record(c Call) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.incarnations[c.Host] != c.Incarnation { // the calling process has been replaced
		return false
	}
	e := event{at: time.Now(), id: c.ID, host: c.Host, incarnation: c.Incarnation, deadline: c.Left}
	switch c.What {
	case callHold:
		if l.responding[c.ID] { // the platform frees everything held for a request with the first token of its response
			return false
		}
		l.states[c.ID] = heldState{c.Host, c.Incarnation}
		e.kind = stateHeld
	case callFetch, callRelease:
		s, ok := l.states[c.ID]
		if !ok || l.incarnations[s.host] != s.incarnation {
			return false
		}
		delete(l.states, c.ID)
		if e.kind = stateFetched; c.What == callRelease {
			e.kind = stateReleased
		}
	case callDeadline:
		l.deadlines[c.ID+c.Host] = c.Left
		return true
	case callArrived:
		e.kind, e.deadline = attemptArrived, l.deadlines[c.ID+c.Host]
	case callEnded:
		e.kind = attemptEnded
	case callEffect:
		e.kind = effectRan
		l.responding[c.ID] = true
	default:
		return false
	}
	l.events = append(l.events, e)
	return true
}

// newIncarnation registers a new process of a worker and returns its number. State held by the previous process is lost.
func (l *ledger) newIncarnation(host string) (incarnation int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	for id, s := range l.states {
		if s.host == host {
			delete(l.states, id)
			l.events = append(l.events, event{kind: stateLost, at: now, id: id, host: host})
		}
	}
	l.incarnations[host]++
	return l.incarnations[host]
}

// snapshot returns a copy of the events recorded so far.
func (l *ledger) snapshot() []event {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]event(nil), l.events...)
}
