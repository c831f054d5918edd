package decide

import (
	"cmp"
	"container/list"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// What a Router keeps, and the arithmetic on it. Nothing is decided here: see decide.go.

// Router decides for one front. It is not safe for concurrent use.
type Router struct {
	set      Settings
	out      Front
	rng      *rand.Rand
	now      time.Duration
	servers  map[string]*server
	listed   []*server // by id
	open     map[RequestID]*request
	tokens   int    // own tokens under way, from taking to the end
	asked    []rate // requests by tenant
	kinds    []kind
	cells    map[int]*cell
	zones    map[int]*zone
	begun    tally              // requests by beginning
	came     [Mixed + 1]rate    // sends, while a server of the role was warm
	reads    rate               // states held
	readers  float64            // ready ones
	room     [Mixed + 1]float64 // the ready servers' memory for answers, by role
	held     [Mixed + 1]int     // own tokens under way there
	streams  [Mixed + 1]int     // own attempts that hold them
	perToken float64            // seconds that an unhindered read takes for a token that is not kept
	near     mean               // time to the first token in the cell of the state
	moves    mean               // of both
	far      mean               // and out of it
	toldAt   time.Duration      // the latest answer to a probe
	began    time.Duration      // the first server list came
	worth    float64            // the highest worth of a class
}

// newRouter is a Router that has heard nothing yet.
func newRouter(set Settings, seed uint64, out Front) *Router {
	r := &Router{set: set, out: out, rng: rand.New(rand.NewPCG(seed, 0)),
		servers: make(map[string]*server), open: make(map[RequestID]*request)}
	r.kinds, r.asked = make([]kind, len(set.Kinds)), make([]rate, len(set.Tenants))
	r.cells, r.zones, r.reads.span = make(map[int]*cell), make(map[int]*zone), usualSpan
	for i := range r.kinds {
		r.kinds[i].asked.span, r.kinds[i].took.span = usualSpan, usualSpan
	}
	for i := range r.asked {
		r.asked[i].span = shareSpan
	}
	for _, c := range set.Classes {
		r.worth = max(r.worth, c.Worth)
	}
	return r
}

// kind is what this front knows of all servers of one kind.
type kind struct {
	ready int
	peers int           // ready ones of its role
	warm  int           // ready ones that are warm ...
	at    time.Duration // ... as counted then, under zero = not yet
	out   int           // own in-flight
	asked rate          // requests ranked
	took  rate          // what a warm one took
	wait  mean          // waits lately seen
}

// cell is what this front knows of servers that share a link.
type cell struct {
	readers float64 // ready ones
	memory  float64 // of its ready writers
	reads   rate    // states held there
	moves   mean    // time to the first token of those
}

// zone is what this front knows of the way to a zone.
type zone struct {
	sign     time.Duration // the last sign of life from any server there
	missed   float64       // attempts since then that met none
	missedAt time.Duration // the latest of them
	rest     rest
}

// server is what this front knows of one listed server.
type server struct {
	Server
	role     Role
	tokens   int // own tokens under way
	prefixes prefixes
	sends    []time.Duration // what this front sent it lately, while it is cold
	asked    rate            // requests for which it was the best or the next best
	told     float64         // seconds of reading that waited there ...
	toldAt   time.Duration   // ... when it was probed
	probedAt time.Duration   // last probed then
	queue    float64         // requests that waited and ...
	load     float64         // ... share of its memory held, ...
	loadAt   time.Duration   // ... as a probe told then, 0 = never
	hash     uint64          // of its id
	match    int             // of the request that is ranked
	fill     float64         // of the writer that is picked
	order    uint64          // its place in the hashed order of that
	good     rate            // attempts that went well
	bad      rate            // attempts that failed or met silence
	wait     mean            // time to the end of a read or to the first token
	streams  streams         // its answers, against their hints
	sign     time.Duration   // last sign of life
	passed   time.Duration   // when the latest one was sent of those that went well
	out      int             // own in-flight: attempts without an outcome or a first token
	suspect  bool
	rest     rest
	full     map[party]*rest // rests of a server that said full to a class of one tenant
}

// party is what a server may refuse alone: a class of one tenant.
type party struct{ class, tenant int }

// rest is a time for which a server is left alone.
type rest struct{ length, till time.Duration }

// extend rests from now on for twice as long as the last time, within the limits.
func (t *rest) extend(now, least, most time.Duration) {
	t.length = min(max(least, 2*t.length), most)
	t.till = now + t.length
}

// mean is a running mean that forgets.
type mean struct {
	value float64
	n     float64
	at    time.Duration // of the latest value
}

func (m *mean) add(v float64, now time.Duration) { m.weigh(v, now, 1) }

// weigh adds a value that counts for less than a whole one.
func (m *mean) weigh(v float64, now time.Duration, weight float64) {
	m.n = min(m.n+weight, 1/waitWeight)
	m.value += (v - m.value) * weight / m.n
	m.at = now
}

// known is how many values m stands for, older ones for less.
func (m *mean) known(now, span time.Duration) float64 {
	return m.n * math.Exp(-float64(now-m.at)/float64(span))
}

// among leans m on the mean of its peers: the more, the fewer values it has and the older they are.
func (m *mean) among(peers mean, now, span time.Duration) float64 {
	n := m.known(now, span)
	return (n*m.value + peers.value) / (n + 1)
}

// streams is how long answers take in hints of their length: an answer that runs counts with its time so far.
type streams struct {
	spent, done rate    // hints that ended answers took, and how many ended
	each, since float64 // of those that run: the sum of 1/hint, and of their beginnings in hints
}

// begin and end book an answer of the given hint that began at a time.
func (t *streams) begin(at, hint time.Duration) {
	t.each += 1 / hint.Seconds()
	t.since += at.Seconds() / hint.Seconds()
}

func (t *streams) end(at, hint, now time.Duration) {
	t.each -= 1 / hint.Seconds()
	t.since -= at.Seconds() / hint.Seconds()
	t.spent.add(now, (now-at).Seconds()/hint.Seconds())
	t.done.add(now, 1)
}

// sum is the hints that have been spent, and the answers that have ended.
func (t *streams) sum(now time.Duration) (spent, done float64) {
	return t.spent.value(now) + max(0, t.each*now.Seconds()-t.since), t.done.value(now)
}

// rate counts events, older ones for less.
type rate struct {
	count float64
	at    time.Duration
	span  time.Duration // the mean age of what counts
}

func (c *rate) add(now time.Duration, n float64) { c.count, c.at = c.value(now)+n, now }

func (c *rate) value(now time.Duration) float64 {
	return c.count * math.Exp(-float64(now-c.at)/float64(c.span))
}

// request is one client request until its last attempt has ended.
type request struct {
	Request
	class    *Class
	home     uint64  // the beginning that its reader is hashed from, 0: its session is
	popular  float64 // the part that its beginning has of all requests, as far as is known
	reader   *server // that read it last
	value    float64 // worth against the highest there is
	arrived  time.Duration
	deadline time.Duration
	sent     []attempt
	failed   []*server     // asked in vain
	named    *server       // the cold writer that its state may go to
	holder   *server       // the reader where a state waits
	heldAt   time.Duration // its last outcome, for the pin limit
	checkAt  time.Duration // is the server asked last silent by then?
	retryAt  time.Duration // looked at again then, 0 = not waiting for a server
	looked   bool          // its servers have been probed
	second   *server       // next in its order to the one that it would go to
	back     time.Duration // until the wait for which it was refused is gone, 0 = not known
	answered bool          // nothing is owed any more
	ran      *attempt      // the first attempt that may have had an effect
}

type attempt struct {
	server *server
	at     time.Duration
	read   bool
	out    bool
	begun  bool          // its answer streams
	first  time.Duration // since then
	match  int           // prompt tokens that the record held for it ...
	since  time.Duration // ... from a send at this time
}

// part makes a number from 0 to under 1 of a hash.
func part(h uint64) float64 { return float64(h>>11) / (1 << 53) }

// mix spreads the bits of v.
func mix(v uint64) uint64 {
	v ^= v >> 30
	v *= 0xbf58476d1ce4e5b9
	v ^= v >> 27
	v *= 0x94d049bb133111eb
	return v ^ v>>31
}

// filter lists the servers to keep.
func filter(of []*server, keep func(*server) bool) []*server {
	var out []*server
	for _, s := range of {
		if keep(s) {
			out = append(out, s)
		}
	}
	return out
}

// lately is how many sends to a cold server lie in the window that ends now.
func (s *server) lately(now, window time.Duration) int {
	s.sends = slices.DeleteFunc(s.sends, func(at time.Duration) bool { return at <= now-window })
	return len(s.sends)
}

// tried says that p has been sent to s.
func (p *request) tried(s *server) bool {
	return slices.ContainsFunc(p.sent, func(a attempt) bool { return a.server == s })
}

// waits says whether an outcome is still to come.
func (p *request) waits() bool {
	return slices.ContainsFunc(p.sent, func(a attempt) bool { return a.out })
}

func (p *request) party() party { return party{p.Class, p.Tenant} }

func seconds(v float64) time.Duration { return time.Duration(v * float64(time.Second)) }

// count sums up the ready servers by kind and cell.
func (r *Router) count() {
	r.room, r.readers = [Mixed + 1]float64{Writer: 1, Mixed: 1}, 0
	for i := range r.kinds {
		r.kinds[i].ready, r.kinds[i].peers, r.kinds[i].at = 0, 0, -1
	}
	for id, c := range r.cells {
		c.memory, c.readers = 0, 0
		if c.reads.value(r.now) < forgotten {
			delete(r.cells, id)
		}
	}
	for _, s := range r.listed {
		c := r.cell(s)
		if s.State != Ready {
			continue
		}
		r.kinds[s.Kind].ready++
		for i := range r.kinds {
			if r.set.Kinds[i].Role == s.role {
				r.kinds[i].peers++
			}
		}
		switch s.role {
		case Reader:
			c.readers++
			r.readers++
		case Writer:
			c.memory += r.memory(s)
			fallthrough
		default:
			r.room[s.role] += r.memory(s)
		}
	}
}

// takes says that s is ready and warm.
func (r *Router) takes(s *server) bool { return s.State == Ready && r.warm(s) }

// warmOnes is how many ready servers of a kind are warm, counted once for all that is decided at one time: guards against
// a decision that takes as long as the square of the list.
func (r *Router) warmOnes(kind int) int {
	k := &r.kinds[kind]
	if k.at == r.now {
		return k.warm
	}
	k.warm, k.at = 0, r.now
	for _, s := range r.listed {
		if s.Kind == kind && s.State == Ready && r.warm(s) {
			k.warm++
		}
	}
	return k.warm
}

func (r *Router) cell(s *server) *cell {
	if r.cells[s.Cell] == nil {
		r.cells[s.Cell] = &cell{reads: rate{span: usualSpan}}
	}
	return r.cells[s.Cell]
}

func (r *Router) zone(id int) *zone {
	if r.zones[id] == nil {
		r.zones[id] = &zone{}
	}
	return r.zones[id]
}

// signs notes a sign of life.
func (r *Router) signs(s *server) {
	s.sign = r.now
	z := r.zone(s.Zone)
	z.sign, z.missed = r.now, 0
	if r.now >= z.rest.till {
		z.rest = rest{}
	}
}

// book counts own tokens under way at s.
func (r *Router) book(s *server, tokens, streams int) {
	s.tokens += tokens
	r.held[s.role] += tokens
	r.streams[s.role] += streams
}

// memory is a server's memory for answers, in tokens; where it is not told there is no end to it.
func (r *Router) memory(s *server) float64 {
	return float64(cmp.Or(r.set.Kinds[s.Kind].MemoryTokens, 1<<30))
}

// crowd is a cell's part of the states against its part of the writers' memory.
func (r *Router) crowd(s *server) float64 {
	c := r.cell(s)
	all := r.reads.value(r.now)
	if all == 0 || c.memory == 0 || r.readers == 0 {
		return 1
	}
	return shrunk(c.reads.value(r.now), all*c.readers/r.readers) / all * r.room[Writer] / c.memory
}

// prefixes is the record of what was lately sent to one reader.
type prefixes struct {
	of      string // the reader's id
	entries map[prefixKey]*list.Element
	order   *list.List // latest first
}

type prefixKey struct {
	session bool
	key     uint64
}

type prefix struct {
	key    prefixKey
	tokens int
	at     time.Duration
}

func newPrefixes(of string) prefixes {
	return prefixes{of: of, entries: make(map[prefixKey]*list.Element), order: list.New()}
}

// match is the longest known beginning of q, and when it was last sent.
func (t *prefixes) match(q *Request, now time.Duration) (tokens int, since time.Duration) {
	if kept, told := q.Kept[t.of]; told {
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

// beginning is how much of q the first server in its hashed order is taken to keep, as all fronts send it there: its shared
// beginning, unless the server itself says what it keeps.
func (q *Request) beginning(s *server) int {
	if _, told := q.Kept[s.ID]; told {
		return 0
	}
	return q.PrefixLen
}

// drop forgets the prefix that was sent longest ago.
func (t *prefixes) drop() {
	delete(t.entries, t.order.Remove(t.order.Back()).(*prefix).key)
}

// sent records that q was sent.
func (t *prefixes) sent(q *Request, now time.Duration) {
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
	for t.order.Len() > prefixTable || now-t.order.Back().Value.(*prefix).at > prefixTTL {
		t.drop()
	}
}

// seen is how much of what took and came can hold this front has been here for.
func (r *Router) seen() float64 { return 1 - math.Exp(-float64(r.now-r.began)/float64(usualSpan)) }

// warm says that s has been up for longer than the ramp takes.
func (r *Router) warm(s *server) bool { return s.Since == 0 || r.now-s.Since >= r.set.ColdFor }

// hints is the mean number of hints that an answer takes at the ready servers of a role.
func (r *Router) hints(role Role) float64 {
	var spent, done float64
	for _, s := range r.listed {
		if s.role == role && s.State == Ready {
			a, b := s.streams.sum(r.now)
			spent, done = spent+a, done+b
		}
	}
	return spent / max(done, 1)
}

// told says that the load of s is known from a probe.
func (r *Router) told(s *server) bool { return s.loadAt > 0 && r.now-s.loadAt < probeOld }

// goes counts a send to a server of the role, while one of it is warm. What is turned away before it is sent weighs on none.
func (r *Router) goes(role Role) {
	if slices.ContainsFunc(r.listed, func(s *server) bool { return s.role == role && r.takes(s) }) {
		r.came[role].span = usualSpan
		r.came[role].add(r.now, 1)
	}
}

// cellPart is how much of all reads a reader's cell has, as far as this front has seen, with the doubt of a tally.
func (r *Router) cellPart(reader *server) float64 {
	return (r.cell(reader).reads.value(r.now) + shareDoubt) / (r.reads.value(r.now) + 4*shareDoubt)
}

// shareDoubt is how many requests less than nothing one must have seen of to tell its part.
const shareDoubt = 0.4

// tally counts the work of requests by their beginning, older ones for less. It forgets those that faded, and holds so many
// at most.
type tally struct {
	work     rate // of all
	requests rate
	of       map[uint64]*rate // work by beginning
}

// weight is how much more room a request of so much work needs than one of mean work, where it is the larger. What a server
// bears is counted in requests of mean work; the root lies between counting requests alike and counting their work alone.
func (t *tally) weight(work float64, now time.Duration) float64 {
	requests := t.requests.value(now)
	if requests <= forgotten {
		return 1
	}
	return max(1, math.Sqrt(work*requests/t.work.value(now)))
}

// part is how much of all work a beginning makes, leaning to much where little has been seen, 0 for none. What is not
// known of it is taken to be like the request at hand, which is counted after that.
func (t *tally) part(key uint64, work float64, now time.Duration) float64 {
	if t.of == nil {
		t.work.span, t.requests.span, t.of = usualSpan, usualSpan, make(map[uint64]*rate)
	}
	all, mean := t.work.value(now), work
	if requests := t.requests.value(now); requests > forgotten {
		mean = all / requests
	}
	t.work.add(now, work)
	t.requests.add(now, 1)
	if key == 0 {
		return 0
	}
	n, ok := t.of[key]
	if !ok && len(t.of) >= prefixTable {
		maps.DeleteFunc(t.of, func(_ uint64, n *rate) bool { return n.value(now) < forgotten*mean })
	}
	if !ok && len(t.of) < prefixTable {
		n = &rate{span: usualSpan}
		t.of[key] = n
	}
	seen := 0.0
	if n != nil {
		seen = n.value(now)
		n.add(now, work)
	}
	return (seen + shareDoubt*work) / (all + 4*shareDoubt*mean)
}

func (r *Router) list(e Server) {
	if e.Kind < 0 || e.Kind >= len(r.set.Kinds) {
		return
	}
	s := r.servers[e.ID]
	if s == nil {
		s = &server{}
		r.servers[e.ID] = s
	}
	if s.Since != e.Since || s.ID == "" { // a new process: what we knew of the old one is void
		*s = server{prefixes: newPrefixes(e.ID), out: s.out, tokens: s.tokens, sends: s.sends,
			asked: s.asked, streams: s.streams}
		s.asked.span, s.good.span, s.bad.span = usualSpan, rateSpan, rateSpan
		s.streams.spent.span, s.streams.done.span = slowSpan, slowSpan
		for i := range len(e.ID) {
			s.hash = mix(s.hash*31 + uint64(e.ID[i]))
		}
	}
	s.Server, s.role = e, r.set.Kinds[e.Kind].Role
}

// Probed takes what waits at a server, as the time to read it.
func (r *Router) Probed(now time.Duration, l Probed) {
	r.now = now
	s := r.servers[l.Server]
	r.toldAt = now
	switch {
	case s == nil || math.IsInf(l.Tokens, 1) || math.IsInf(l.Queue, 1):
	case l.Tokens >= 0:
		s.told, s.toldAt = r.perToken*l.Tokens, now
	case l.Queue >= 0:
		s.told, s.toldAt = r.perToken*l.Queue*tokenLeast, now
	default:
		s.probedAt = 0 // it has answered
	}
	if s != nil && l.Queue >= 0 {
		s.queue, s.load, s.loadAt = l.Queue, l.Held, now
	}
}

// correct takes in how much of a matched prompt was found kept. Guards against pinning sessions
// to a reader that has lost their prefixes, by a flush, a restart not yet listed or for want of
// memory: readers too forget the oldest first, so what was sent before the lost one is lost as
// well, unless it is younger than lostAge: a single loss may be one prefix's own.
func (t *prefixes) correct(a *attempt, kept int, now time.Duration) {
	lost := min(a.since, now-lostAge)
	for float64(kept) < keptShare*float64(a.match) && t.order.Len() > 0 {
		if t.order.Back().Value.(*prefix).at > lost {
			return
		}
		t.drop()
	}
}

// learnPace takes the time of a read for a token. It follows the quick ones: slow ones had to wait.
func (r *Router) learnPace(perToken float64) {
	weight := slowWeight
	if perToken < r.perToken || r.perToken == 0 {
		weight = waitWeight
	}
	r.perToken += weight * (perToken - r.perToken)
}

// homeRank orders servers for a key alike at every front (rendezvous hashing).
func homeRank(s *server, key uint64) uint64 { return mix(s.hash ^ mix(key)) }
