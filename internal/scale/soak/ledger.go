package soak

import (
	"net"
	"net/rpc"
	"sync"
	"time"
)

// entryKind is what a worker got or did.
type entryKind string

const (
	arrived  entryKind = "arrived" // an attempt's last byte
	over     entryKind = "over"    // the worker's part in an attempt
	held     entryKind = "held"    // a state, from now on
	taken    entryKind = "taken"   // by a write
	released entryKind = "released"
	lost     entryKind = "lost"   // with the reader's process
	effect   entryKind = "effect" // a write has run
)

// entry is one line of the ledger.
type entry struct {
	kind        entryKind
	at          time.Time
	id, host    string
	incarnation int           // of the worker's process
	left        time.Duration // arrived: what the router said that it will wait
}

// state is one that waits at a reader.
type state struct {
	host        string
	incarnation int
}

// ledger is the record of all workers' processes, and where their states are kept.
type ledger struct {
	mu       sync.Mutex
	entries  []entry
	states   map[string]state
	lives    map[string]int // the latest process of each worker
	told     map[string]time.Duration
	begun    map[string]bool // requests whose answer has begun
	listener net.Listener
}

// Call is what a worker's process tells the ledger.
type Call struct {
	What, ID, Host string
	Incarnation    int
	Left           time.Duration
}

// Ledger is the service that workers' processes call.
type Ledger struct{ ledger *ledger }

// startLedger serves workers' processes.
func startLedger() (*ledger, error) {
	l := &ledger{states: make(map[string]state), lives: make(map[string]int), told: make(map[string]time.Duration), begun: make(map[string]bool)}
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

// Tell takes one call; yes is its answer.
func (s *Ledger) Tell(c Call, yes *bool) error {
	*yes = s.ledger.take(c)
	return nil
}

func (l *ledger) take(c Call) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lives[c.Host] != c.Incarnation { // a process that has been killed meanwhile
		return false
	}
	e := entry{at: time.Now(), id: c.ID, host: c.Host, incarnation: c.Incarnation, left: c.Left}
	switch c.What {
	case callHold:
		if l.begun[c.ID] { // with the first token of the answer all else that is held for its request goes by itself
			return false
		}
		l.states[c.ID] = state{c.Host, c.Incarnation}
		e.kind = held
	case callFetch, callRelease:
		s, ok := l.states[c.ID]
		if !ok || l.lives[s.host] != s.incarnation {
			return false
		}
		delete(l.states, c.ID)
		if e.kind = taken; c.What == callRelease {
			e.kind = released
		}
	case callTold:
		l.told[c.ID+c.Host] = c.Left
		return true
	case callOut:
		e.kind, e.left = arrived, l.told[c.ID+c.Host]
	case callIn:
		e.kind = over
	case callEffect:
		e.kind = effect
		l.begun[c.ID] = true
	default:
		return false
	}
	l.entries = append(l.entries, e)
	return true
}

// born notes a new process of a worker. What the one before held is lost.
func (l *ledger) born(host string) (incarnation int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	for id, s := range l.states {
		if s.host == host {
			delete(l.states, id)
			l.entries = append(l.entries, entry{kind: lost, at: now, id: id, host: host})
		}
	}
	l.lives[host]++
	return l.lives[host]
}

// all is what was recorded so far.
func (l *ledger) all() []entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]entry(nil), l.entries...)
}
