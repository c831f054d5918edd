package decide

import (
	"container/list"
	"time"

	"rowanyard/internal/holders"
)

// The record of the prompts that were recently sent to each reader. The decisions are in decide.go.

// prefixes records what was recently sent to one reader and is therefore probably in its cache.
type prefixes struct {
	serverID string // of the reader
	entries  map[prefixKey]*list.Element
	order    *list.List // of *prefix, most recently sent first
	reader   *server    // nil where there is no index
	index    *prefixIndex
}

// prefixIndex maps each prefix to the readers that have a record of it.
type prefixIndex = holders.Index[prefixKey, *server]

// prefixKey identifies a shared prefix or the history of a session.
type prefixKey struct {
	session bool
	key     uint64
}

// prefix is one entry of a record: a key, the length of the prompt under it and the time of its last send.
type prefix struct {
	key    prefixKey
	tokens int
	at     time.Duration
}

func newPrefixes(serverID string) prefixes {
	return prefixes{serverID: serverID, entries: make(map[prefixKey]*list.Element), order: list.New()}
}

// match returns the length in tokens of the longest prefix of q that the reader has probably cached, and when it was
// last sent.
// The reader's own report, if there is one, overrides the record.
func (p *prefixes) match(q *Request, now time.Duration) (tokens int, sentAt time.Duration) {
	if cached, reported := q.CachedTokens[p.serverID]; reported {
		return cached, now
	}
	for _, k := range []prefixKey{{false, q.Prefix}, {true, q.Session}} {
		e := p.entries[k]
		if k.key == 0 || e == nil {
			continue
		}
		if x := e.Value.(*prefix); now-x.at <= prefixTTL && x.tokens > tokens {
			tokens, sentAt = x.tokens, x.at
		}
	}
	return tokens, sentAt
}

// homeMatch returns how much of q the first server in rendezvous order is taken to have cached: the shared prefix,
// because all routers send it there, unless the server itself reports what it has.
func (q *Request) homeMatch(s *server) int {
	if _, reported := q.CachedTokens[s.ID]; reported {
		return 0
	}
	return q.PrefixLength
}

// dropOldest removes the prefix that was sent longest ago.
func (p *prefixes) dropOldest() {
	key := p.order.Remove(p.order.Back()).(*prefix).key
	delete(p.entries, key)
	if p.index != nil {
		p.index.Remove(key, p.reader)
	}
}

// reset removes all prefixes.
func (p *prefixes) reset() {
	for len(p.entries) > 0 {
		p.dropOldest()
	}
}

// record adds the shared prefix and the session of a request sent to the reader.
func (p *prefixes) record(q *Request, now time.Duration) {
	p.put(prefixKey{false, q.Prefix}, q.PrefixLength, now)
	p.put(prefixKey{true, q.Session}, q.PromptLength, now)
}

// put adds or renews an entry. Adding drops the oldest ones beyond prefixTTL or maxPrefixes.
func (p *prefixes) put(k prefixKey, tokens int, now time.Duration) {
	if k.key == 0 {
		return
	}
	if e := p.entries[k]; e != nil {
		*e.Value.(*prefix) = prefix{k, tokens, now}
		p.order.MoveToFront(e)
		return
	}
	p.entries[k] = p.order.PushFront(&prefix{k, tokens, now})
	if p.index != nil {
		p.index.Add(k, p.reader)
	}
	for p.order.Len() > maxPrefixes || now-p.order.Back().Value.(*prefix).at > prefixTTL {
		p.dropOldest()
	}
}

// setMatches sets the match of every server that has cached part of p. The caller has set all matches to 0.
func (r *Router) setMatches(p *request) {
	for _, key := range []prefixKey{{false, p.Prefix}, {true, p.Session}} {
		for _, s := range r.prefixes.Holders(key) {
			s.match, _ = s.prefixes.match(&p.Request, r.now)
		}
	}
	for id := range p.CachedTokens {
		if s := r.servers[id]; s != nil {
			s.match, _ = s.prefixes.match(&p.Request, r.now)
		}
	}
}

// reconcile corrects the record after an attempt that found less cached than recorded. Readers evict their oldest
// prefixes first, so everything sent before the lost one counts as lost too, unless it is younger than minLostAge: a
// single loss may concern that prefix alone. This keeps sessions from being pinned to a reader that has lost its
// cache in a flush, in a restart that is not yet listed, or for lack of memory.
func (p *prefixes) reconcile(a *attempt, cached int, now time.Duration) {
	threshold := min(a.matchSentAt, now-minLostAge)
	for float64(cached) < minCachedShare*float64(a.match) && p.order.Len() > 0 {
		if p.order.Back().Value.(*prefix).at > threshold {
			return
		}
		p.dropOldest()
	}
}
