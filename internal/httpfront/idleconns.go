package httpfront

// Open connections to workers. The idle ones are closed when their worker has stopped replying; busy ones may still
// work and are left alone. A worker that has answered a request twice may do so later than any wait, so that for some time its
// connections carry one attempt each.

import (
	"sync"
	"time"
)

// secondAnswerMemory is how long after its latest second answer a worker's connections carry one attempt each.
const secondAnswerMemory = 10 * time.Second

// connRegistry holds the open connections by worker address. The zero value is empty.
type connRegistry struct {
	mu            sync.Mutex
	byAddr        map[string]map[*workerConn]bool // whether it is for reads
	answeredTwice map[string]time.Time            // when a second answer last came from an address
}

// recordSecondAnswer notes that a second answer came from an address.
func (r *connRegistry) recordSecondAnswer(addr string) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.answeredTwice == nil {
		r.answeredTwice = make(map[string]time.Time)
	}
	for other, at := range r.answeredTwice {
		if time.Since(at) > secondAnswerMemory {
			delete(r.answeredTwice, other)
		}
	}
	r.answeredTwice[addr] = time.Now()
}

// hasAnsweredTwice reports whether a second answer came from an address within secondAnswerMemory.
func (r *connRegistry) hasAnsweredTwice(addr string) bool {
	if r == nil {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	at, ok := r.answeredTwice[addr]
	return ok && time.Since(at) <= secondAnswerMemory
}

func (r *connRegistry) add(c *workerConn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.byAddr == nil {
		r.byAddr = make(map[string]map[*workerConn]bool)
	}
	if r.byAddr[c.addr] == nil {
		r.byAddr[c.addr] = make(map[*workerConn]bool)
	}
	r.byAddr[c.addr][c] = false
}

// setForReads notes that a connection is for reads.
func (r *connRegistry) setForReads(c *workerConn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, open := r.byAddr[c.addr][c]; open {
		r.byAddr[c.addr][c] = true
	}
}

// hasForReads reports whether there is an open connection for reads to an address.
func (r *connRegistry) hasForReads(addr string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, forReads := range r.byAddr[addr] {
		if forReads {
			return true
		}
	}
	return false
}

func (r *connRegistry) remove(c *workerConn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.byAddr[c.addr], c)
	if len(r.byAddr[c.addr]) == 0 {
		delete(r.byAddr, c.addr)
	}
}

// closeIdle closes the idle connections to an address. It is called when a reused connection left a call unanswered:
// the others may have died as silently, and each would cost another request that waits.
func (r *connRegistry) closeIdle(addr string) {
	r.mu.Lock()
	var idle []*workerConn
	for c := range r.byAddr[addr] {
		if !c.awaitingAnswer.Load() {
			idle = append(idle, c)
		}
	}
	r.mu.Unlock()
	for _, c := range idle {
		_ = c.Close()
	}
}
