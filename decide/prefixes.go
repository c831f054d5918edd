package decide

import (
	"container/list"
	"time"

	"rowanyard/internal/holders"
)

// The record of the prompts that were lately sent to each reader. Nothing is decided here: see decide.go.

// prefixes is the record of what was lately sent to one reader.
type prefixes struct {
	serverID string // the reader's id
	entries  map[prefixKey]*list.Element
	order    *list.List // latest first
	reader   *server    // the reader, where there is an index
	index    *prefixIndex
}

// prefixIndex is which readers have a record of a prefix.
type prefixIndex = holders.Index[prefixKey, *server]

type prefixKey struct {
	session bool
	key     uint64
}

type prefix struct {
	key    prefixKey
	tokens int
	at     time.Duration
}

func newPrefixes(serverID string) prefixes {
	return prefixes{serverID: serverID, entries: make(map[prefixKey]*list.Element), order: list.New()}
}

// match is the longest known beginning of q, and when it was last sent.
func (t *prefixes) match(q *Request, now time.Duration) (tokens int, since time.Duration) {
	if kept, reported := q.Kept[t.serverID]; reported {
		return kept, now
	}
	for _, k := range []prefixKey{{false, q.Prefix}, {true, q.Session}} {
		e := t.entries[k]
		if k.key == 0 || e == nil {
			continue
		}
		if x := e.Value.(*prefix); now-x.at <= prefixTTL && x.tokens > tokens {
			tokens, since = x.tokens, x.at
		}
	}
	return tokens, since
}

// homeMatch is how much of q the first server in its hashed order is taken to keep, as all fronts send it there: its shared
// homeMatch, unless the server itself says what it keeps.
func (q *Request) homeMatch(s *server) int {
	if _, reported := q.Kept[s.ID]; reported {
		return 0
	}
	return q.PrefixLen
}

// dropOldest forgets the prefix that was sent longest ago.
func (t *prefixes) dropOldest() {
	key := t.order.Remove(t.order.Back()).(*prefix).key
	delete(t.entries, key)
	if t.index != nil {
		t.index.Remove(key, t.reader)
	}
}

// reset drops all that is recorded.
func (t *prefixes) reset() {
	for len(t.entries) > 0 {
		t.dropOldest()
	}
}

// record records that q was record.
func (t *prefixes) record(q *Request, now time.Duration) {
	t.put(prefixKey{false, q.Prefix}, q.PrefixLen, now)
	t.put(prefixKey{true, q.Session}, q.Prompt, now)
}

func (t *prefixes) put(k prefixKey, tokens int, now time.Duration) {
	if k.key == 0 {
		return
	}
	if e := t.entries[k]; e != nil {
		*e.Value.(*prefix) = prefix{k, tokens, now}
		t.order.MoveToFront(e)
		return
	}
	t.entries[k] = t.order.PushFront(&prefix{k, tokens, now})
	if t.index != nil {
		t.index.Add(k, t.reader)
	}
	for t.order.Len() > maxPrefixes || now-t.order.Back().Value.(*prefix).at > prefixTTL {
		t.dropOldest()
	}
}

// setMatches sets how much of p each server is taken to keep; the caller has set it to nothing for all of them.
func (r *Router) setMatches(p *request) {
	for _, key := range []prefixKey{{false, p.Prefix}, {true, p.Session}} {
		for _, s := range r.prefixes.Of(key) {
			s.match, _ = s.prefixes.match(&p.Request, r.now)
		}
	}
	for id := range p.Kept {
		if s := r.servers[id]; s != nil {
			s.match, _ = s.prefixes.match(&p.Request, r.now)
		}
	}
}

// reconcile takes in how much of a matched prompt was found kept. Guards against pinning sessions
// to a reader that has lost their prefixes, by a flush, a restart not yet listed or for want of
// memory: readers too forget the oldest first, so what was sent before the lost one is lost as
// well, unless it is younger than lostAge: a single loss may be one prefix's own.
func (t *prefixes) reconcile(a *attempt, kept int, now time.Duration) {
	threshold := min(a.since, now-minLostAge)
	for float64(kept) < minCachedShare*float64(a.match) && t.order.Len() > 0 {
		if t.order.Back().Value.(*prefix).at > threshold {
			return
		}
		t.dropOldest()
	}
}
