// Package decide implements the routing policy of a two-stage language-model router: which server reads the prompt
// (prefill), which one writes the answer (decode), when an attempt is retried and when a request is refused.
//
// A reader runs the first stage, the read, and holds the resulting state (KV cache) until a writer fetches it. The
// writer runs the second stage, the write, and streams the answer. A mixed server can run both stages of a request by
// itself. The readers, the writers and the mixed servers form a pool each. An attempt is one send of a request to one
// server.
//
// The servers of a cell share a network link, and the cells of a zone a network path to the rest, so a state goes to a
// writer as near to its reader as possible.
//
// Any number of routers send to the same servers and do not communicate. Each decides from its own record of what it
// has sent, from the server list and from probes. Where routers have to agree, they hash: the first reader in
// rendezvous order for a shared prefix, or for a session, is its home, where all routers expect the prefix to be
// cached.
//
// A server is cold for a while after its start. It then has only a part of its capacity and fails if all routers
// together send more than a multiple of that, so attempts at cold servers are limited.
//
// A Router handles one event at a time and acts through an Executor. It starts no goroutines, reads no clock and does
// no I/O, so that equal seeds and events give equal decisions.
package decide

import (
	"errors"
	"fmt"
	"time"
)

// RequestID identifies a client request within one router process. IDs are never reused.
type RequestID uint64

// Role is the set of stages of a request that the servers of a kind can run.
type Role int

// The roles of a kind of server.
const (
	Reader Role = iota + 1 // prefill: reads prompts and holds the resulting state (KV cache)
	Writer                 // decode: fetches a state and streams the answer
	Mixed                  // both stages
)

// Effect determines whether a request may be repeated.
type Effect int

// The effects of a class of requests.
const (
	Safe   Effect = iota // any repeat is harmless
	Keyed                // servers of one scope drop repeats for a while
	Unsafe               // must not run twice
)

// Scope is the group of servers that drops repeats of a keyed request.
type Scope int

// The scopes of a keyed class.
const (
	ScopeAll Scope = iota
	ScopeZone
	ScopeCell
)

// Class holds what the requests of one class have in common: latency targets, value and repeat rules.
type Class struct {
	TTFTTarget        time.Duration // target time to first token (TTFT)
	TTFTTargetPer1000 time.Duration // added to TTFTTarget for each 1,000 prompt tokens
	Deadline          time.Duration // total time that a client waits
	TPOTTarget        time.Duration // target mean time per output token (TPOT)
	Value             float64       // value of an answer in time, relative to other classes
	LateValueShare    float64       // share of Value that an answer after TTFTTarget is worth; not used by the Router
	Effect            Effect
	Scope             Scope         // keyed classes: the servers that drop repeats
	RepeatWindow      time.Duration // keyed classes: how long repeats are dropped
}

// Tenant is one customer of the service.
type Tenant struct {
	Quota float64 // requests per second over all routers, 0 = unlimited
}

// Kind describes servers of one type, such as those with the same hardware and role.
type Kind struct {
	Role         Role
	MemoryTokens int // KV cache memory in tokens, 0 = unknown
}

// Settings configures a Router. A zero duration disables its limit unless the field says otherwise.
type Settings struct {
	RouterIndex, RouterCount int // index of this router among all, and their number
	Zone                     int // zone of this router; not used by the Router
	Classes                  []Class
	Tenants                  []Tenant
	Kinds                    []Kind
	OverQuotaFactor          float64       // factor on the value of a request whose tenant is over its quota
	ClockStep                time.Duration // shortest step between the clocks of two events
	MaxAttempts              int           // attempts per request, 0 = unlimited
	ConnectTimeout           time.Duration // an attempt reaches its server within this time or not at all
	MaxRetryAfter            time.Duration // longest retry delay suggested to refused clients, 0 = none
	CanCancel                bool          // the Executor can cancel attempts
	CanProbe                 bool          // servers report their load to probes
	WritersCanRead           bool          // a writer without a state reads the prompt itself
	PollServerList           bool          // the server list arrives only on request
	PollInterval             time.Duration // PollServerList: longest time between two requests for it; not used by the Router
	PinLimit                 time.Duration // a held state must be taken or released within this time
	PinSlack                 time.Duration // added to PinLimit where the write has probably reached its server
	ColdCapacity             float64       // share of full capacity right after a start
	WarmUpTime               time.Duration // time from a start to full capacity
	ColdOverloadFactor       float64       // a cold server fails above this multiple of its capacity ...
	ColdOverloadWindow       time.Duration // ... if the load lasts for this long
}

// check returns an error for inconsistent or out-of-range settings.
func check(s Settings) error {
	if s.RouterCount < 1 || s.RouterIndex < 0 || s.RouterIndex >= s.RouterCount {
		return fmt.Errorf("front %d of %d", s.RouterIndex, s.RouterCount)
	}
	for i, k := range s.Kinds {
		if k.Role < Reader || k.Role > Mixed || k.MemoryTokens < 0 {
			return fmt.Errorf("kind %d: role %d, memory %d", i, k.Role, k.MemoryTokens)
		}
	}
	for i, c := range s.Classes {
		if c.TTFTTarget < 0 || c.Deadline < 0 || c.TPOTTarget < 0 || c.Value < 0 || c.RepeatWindow < 0 {
			return fmt.Errorf("class %d: negative limit", i)
		}
		if c.Effect < Safe || c.Effect > Unsafe || c.Scope < ScopeAll || c.Scope > ScopeCell {
			return fmt.Errorf("class %d: effect %d, scope %d", i, c.Effect, c.Scope)
		}
	}
	if s.MaxAttempts < 0 || s.PinLimit < 0 || s.PinSlack < 0 || s.WarmUpTime < 0 || s.ColdOverloadWindow < 0 ||
		s.PollInterval < 0 || s.ConnectTimeout < 0 {
		return errors.New("negative limit")
	}
	return nil
}

// Request is a client request. The Router gives each exactly one final answer.
type Request struct {
	ID           RequestID
	Label        string // the client's name for it, for logs only
	Class        int
	Tenant       int
	TimeLeft     time.Duration // until the client gives up this try
	Session      uint64        // 0 = none
	Prefix       uint64        // identifies the shared prefix of the prompt, 0 = none
	PromptLength int           // length of the prompt in tokens
	PrefixLength int           // length of the shared prefix in tokens
	MaxOutput    int           // upper bound on the answer in tokens
	DurationHint time.Duration // estimate of the answer's duration at TPOTTarget, 0 = none
	ClientRetry  bool          // known to be a further try of a client
	Resumed      bool          // sent again after its stream broke
	// Leased means that the transport itself releases held states once their router shows no sign of life.
	Leased bool
	// CachedTokens is the number of prompt tokens that servers report as cached, by server ID. A report overrides the
	// Router's own record; for a server without an entry nothing is reported. It is nil where there are no reports.
	CachedTokens map[string]int
}

// Status is how an attempt ended.
type Status int

// The ways an attempt can end.
const (
	Served        Status = iota + 1 // answered
	Read                            // the prompt has been read and the reader holds the state
	Rejected                        // the server rejected it, or had no state to fetch
	Errored                         // the server returned an error
	TimedOut                        // no answer in time
	ConnectFailed                   // no connection
	Reset                           // the connection broke
	Cancelled                       // cancelled by this router
	Unsent                          // never sent
)

// Outcome reports the end of one attempt of a request.
type Outcome struct {
	ID           RequestID
	Attempt      int // its number, see Executor
	Server       string
	Status       Status
	Elapsed      time.Duration // since the attempt began
	Final        bool          // the client has its answer: no more attempts
	CachedTokens int           // Read and Served: prompt tokens that the server had cached
	NoState      bool          // Rejected: there was no state to fetch
}

// Started reports the first token of an attempt's answer.
type Started struct {
	ID      RequestID
	Attempt int // its number, see Executor
	Server  string
	Elapsed time.Duration // since the attempt began
}

// Probed reports a server's answer to a probe. Negative values are unknown.
type Probed struct {
	Server         string
	QueuedRequests float64 // requests in its queue
	QueuedTokens   float64 // prompt tokens in its queue, to be read or fetched
	MemoryUse      float64 // share of its memory in use; known whenever QueuedRequests is
}

// ServerState is the state of a server in the server list.
type ServerState int

// The states of a listed server.
const (
	Ready ServerState = iota
	Draining
	Gone
)

// Server is one entry of the server list.
type Server struct {
	ID        string
	State     ServerState
	Kind      int
	Cell      int // group of servers that share a network link
	Zone      int
	Weight    float64       // relative to servers of the same role; not used by the Router
	StartedAt time.Duration // clock time of its last start, 0 = long ago
}

// ServerList is the server list or a change to it.
type ServerList struct {
	Complete bool // the complete list: servers that are not in it are gone
	Failed   bool // the request for the list failed; the previous one stays in force
	Servers  []Server
}

// Reason states in logs why a decision was made.
type Reason string

// The reasons.
const (
	FirstAttempt  Reason = "first attempt"
	NextStage     Reason = "the prompt has been read"
	AfterFailure  Reason = "the attempt before has failed"
	StateGone     Reason = "the state is gone"
	SilentServer  Reason = "no sign of the server"
	DeadlineNear  Reason = "the deadline is near"
	NoServer      Reason = "no server may be sent to"
	TooMuchLoad   Reason = "waits are too long"
	AttemptsSpent Reason = "no attempts are left"
	StateExpired  Reason = "the state was held for too long"
	MayHaveRun    Reason = "it may have run"
	ShuttingDown  Reason = "this front ends"
)

// Explainer is an optional interface of an Executor: it receives the reason for a Send, Cancel, Refuse or Fail right
// before the call itself.
type Explainer interface {
	Explain(id RequestID, why Reason)
}

// Executor carries out the decisions of a Router. Its methods are called while the Router handles an event and take
// effect in the order of the calls. The attempts of a request are numbered from 0 in the order of their Sends.
type Executor interface {
	// Send sends a request to a server. The timeout always ends before the client gives up.
	Send(id RequestID, server string, timeout time.Duration)
	// Cancel stops waiting for an attempt. Its Outcome still follows.
	Cancel(id RequestID, attempt int)
	// Refuse gives the final answer that nothing has run and that a retry is harmless.
	Refuse(id RequestID, retryAfter time.Duration)
	// Fail gives the final answer that the request failed, without a promise that it has not run.
	Fail(id RequestID)
	// Release frees every state held for the request that no attempt waits for.
	Release(id RequestID)
	// SetTimer schedules a call of Router.Timer(token) at the given clock time.
	SetTimer(token uint64, at time.Duration)
	// Probe asks a server for its load. The answer, if any, arrives as Router.Probed.
	Probe(server string)
	// RequestServerList asks for the server list and, if watch is set, for its changes.
	RequestServerList(watch bool)
}
