// Package wire reads and writes the simulator's line protocol and translates it to and from the types of package decide.
// It also parses the JSON settings, which routers inside and outside the simulator share.
package wire

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"rowanyard/decide"
)

// Batch holds the events of one moment, in order of arrival.
type Batch struct {
	Now    time.Duration // time of the events
	Seq    uint64        // identifies the batch in the reply, see Writer.EndBatch
	Events []Event
}

// Event is an input to one router instance. Body is one of InstanceStarted, InstanceStopped, ClientLeft, TimerFired,
// Ignored, decide.ServerList, decide.Request, decide.Started, decide.Outcome or decide.Probed.
type Event struct {
	InstanceName string
	Body         any
}

type (
	// InstanceStarted starts a router instance. An instance of the same name is replaced.
	InstanceStarted struct {
		Seed     uint64
		Settings decide.Settings
	}
	// InstanceStopped ends a router instance.
	InstanceStopped struct{}
	// ClientLeft reports that the client of a request has gone away.
	ClientLeft struct{ ID decide.RequestID }
	// TimerFired reports that a timer is due.
	TimerFired struct{ Token uint64 }
	// Ignored stands for a well-formed event that the router doesn't use.
	Ignored struct{}
)

var (
	attemptStatuses = map[string]decide.Status{
		"GOOD": decide.Served, "half_done": decide.Read, "FULL": decide.Rejected, "BAD": decide.Errored,
		"LATE": decide.TimedOut, "NOCONN": decide.ConnectFailed, "RST": decide.Reset,
		"CXL": decide.Cancelled, "NOP": decide.Unsent,
	}
	serverStates = map[string]decide.ServerState{
		"healthy": decide.Ready, "cordoned": decide.Draining, "deregistered": decide.Gone,
	}
)

// Reader reads batches of events.
type Reader struct {
	in         *bufio.Reader
	lineNumber int
}

// NewReader returns a Reader that reads from r.
func NewReader(r io.Reader) *Reader {
	return &Reader{in: bufio.NewReaderSize(r, 1<<16)}
}

// Next reads one batch. It returns io.EOF where the input ends between two batches. Any other error includes its
// position and does not wrap io.EOF, even where the input ends inside the batch.
func (r *Reader) Next() (Batch, error) {
	var b Batch
	r.lineNumber = 0
	text, err := r.readLine()
	if errors.Is(err, io.EOF) && text == "" {
		return b, io.EOF
	}
	if err != nil {
		return b, fmt.Errorf("before a batch: %w", unexpectedEOF(err))
	}
	f := newFieldParser(text)
	if f.word("message") != "tick" {
		return b, fmt.Errorf("line 1: field message: want tick, got %q", text)
	}
	b.Now = f.microseconds("sim_time")
	b.Seq = f.uint("turn")
	if err := f.end(); err != nil {
		return b, fmt.Errorf("line 1: %w", err)
	}
	for {
		done, err := r.readEvent(&b)
		if err != nil {
			return b, fmt.Errorf("batch %d, line %d: %w", b.Seq, r.lineNumber, err)
		}
		if done {
			return b, nil
		}
	}
}

// readEvent reads one event into b. done reports that the batch has ended instead.
func (r *Reader) readEvent(b *Batch) (done bool, err error) {
	text, err := r.readLine()
	if err != nil {
		return false, unexpectedEOF(err)
	}
	if text == "eof_batch" {
		return true, nil
	}
	f := newFieldParser(text)
	name := f.word("message")
	parse, ok := parsers[name]
	if !ok {
		return false, fmt.Errorf("field message: unknown message %q", name)
	}
	ev := Event{InstanceName: f.word("front")}
	if ev.InstanceName == "" {
		f.fail("front", "missing")
	}
	if f.err == nil {
		ev.Body = parse(f, r)
	}
	if err := f.end(); err != nil {
		return false, fmt.Errorf("%s: %w", name, err)
	}
	b.Events = append(b.Events, ev)
	return false, nil
}

func (r *Reader) readLine() (string, error) {
	text, err := r.in.ReadString('\n')
	r.lineNumber++
	if err != nil {
		return text, err
	}
	return strings.TrimSuffix(text, "\n"), nil
}

// unexpectedEOF replaces io.EOF by an error that wraps io.ErrUnexpectedEOF. It returns other errors as they are.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return fmt.Errorf("field message: input ends inside a batch: %w", io.ErrUnexpectedEOF)
	}
	return err
}

// parsers maps the name of each message to the function that reads its fields.
var parsers = map[string]func(*fieldParser, *Reader) any{
	"hello": parseHello, "exit": func(*fieldParser, *Reader) any { return InstanceStopped{} },
	"roster_change": parseServerList, "inbound": parseRequest, "head_received": parseStarted, "reply": parseOutcome,
	"left": func(f *fieldParser, _ *Reader) any { return ClientLeft{f.requestID("handle")} },
	"ring": func(f *fieldParser, _ *Reader) any { return TimerFired{f.uint("key_back")} },
	"pong": parseProbeResult, "whisper": skipFields(2), "place_note": skipFields(5),
}

// parseProbeResult reads a probe's result. A failed probe and one that reports no load are Ignored.
func parseProbeResult(f *fieldParser, _ *Reader) any {
	f.microseconds("rtt")
	word := f.word("state_code")
	if _, ok := attemptStatuses[word]; !ok {
		f.fail("state_code", fmt.Sprintf("unknown word %q", word))
	}
	result := decide.Probed{Server: f.word("engine"), QueuedRequests: -1, QueuedTokens: -1}
	hasLoad := false
	for pair := range strings.SplitSeq(f.word("load"), ",") {
		name, value, ok := strings.Cut(pair, ":")
		if !ok {
			continue
		}
		v, err := strconv.ParseFloat(value, 64)
		if err != nil {
			f.fail("load", fmt.Sprintf("%s: not a number: %q", name, value))
			return Ignored{}
		}
		switch name {
		case "pending":
			result.QueuedRequests, hasLoad = v, true
		case "x0":
			result.MemoryUse = v
		case "x1":
			result.QueuedTokens, hasLoad = v*1000, true
		}
	}
	if !hasLoad || word != "GOOD" {
		return Ignored{}
	}
	return result
}

// skipFields returns a parser that skips the n fields of an event.
func skipFields(n int) func(*fieldParser, *Reader) any {
	return func(f *fieldParser, _ *Reader) any {
		for i := range n {
			f.word(strconv.Itoa(i + 1))
		}
		return Ignored{}
	}
}

func parseHello(f *fieldParser, _ *Reader) any {
	h := InstanceStarted{Seed: f.seed("entropy")}
	s, err := parseSettings(f.remainder())
	if err != nil {
		f.fail("config", err.Error())
	}
	h.Settings = s
	return h
}

func parseServerList(f *fieldParser, r *Reader) any {
	var list decide.ServerList
	switch form := f.word("form"); form {
	case "incr":
	case "total", "warm_copy":
		list.Complete = true
	case "lost":
		list.Failed = true
	default:
		f.fail("form", fmt.Sprintf("unknown word %q", form))
	}
	f.word("stamp")
	n := f.uint("nodes_list")
	if f.err != nil {
		return list
	}
	for range n {
		text, err := r.readLine()
		if err != nil {
			f.fail("entry", unexpectedEOF(err).Error())
			return list
		}
		s, err := parseServer(text)
		if err != nil {
			f.fail("entry", err.Error())
			return list
		}
		list.Servers = append(list.Servers, s)
	}
	return list
}

func parseServer(text string) (decide.Server, error) {
	var server decide.Server
	f := newFieldParser(text)
	if w := f.word("message"); w != "entry" {
		f.fail("message", fmt.Sprintf("want entry, got %q", w))
	}
	server.StartedAt = f.microseconds("since")
	state := f.word("health")
	known, ok := serverStates[state]
	if !ok {
		f.fail("health", fmt.Sprintf("unknown word %q", state))
	}
	server.State = known
	server.Kind = int(f.uint("machine"))
	server.Cell = int(f.uint("pack"))
	server.Weight = f.float("share")
	server.Zone = int(f.uint("region_part"))
	if server.ID = f.word("engine"); server.ID == "" {
		f.fail("engine", "missing")
	}
	return server, f.end()
}

// Bits of the state_bits field of an inbound message.
const (
	flagHint        = 1
	flagClientRetry = 2
	flagResumed     = 16
)

func parseRequest(f *fieldParser, _ *Reader) any {
	request := decide.Request{ID: f.requestID("handle"), Class: int(f.uint("category")), Tenant: int(f.uint("user_group"))}
	request.Session = f.hexKey("dialogue")
	request.TimeLeft = f.microseconds("time_left")
	hint := f.microseconds("cost_guess")
	request.Prefix = f.hexKey("prefix")
	request.PromptLength = int(f.float("prompt_tokens"))
	request.PrefixLength = int(f.float("prefix_len"))
	request.MaxOutput = int(f.float("n_max"))
	bits := f.uint("state_bits")
	if bits&flagHint != 0 {
		request.DurationHint = hint
	}
	request.ClientRetry = bits&flagClientRetry != 0
	request.Resumed = bits&flagResumed != 0
	return request
}

func parseStarted(f *fieldParser, _ *Reader) any {
	return decide.Started{ID: f.requestID("handle"), Attempt: int(f.uint("round_no")),
		Server: f.word("engine"), Elapsed: f.microseconds("rtt")}
}

func parseOutcome(f *fieldParser, _ *Reader) any {
	outcome := decide.Outcome{ID: f.requestID("handle"), Attempt: int(f.uint("round_no")), Server: f.word("engine")}
	word := f.word("state_code")
	status, ok := attemptStatuses[word]
	if !ok {
		f.fail("state_code", fmt.Sprintf("unknown word %q", word))
	}
	outcome.Status = status
	outcome.Elapsed = f.microseconds("rtt")
	outcome.Final = f.bool("finished")
	info := int(f.uint("info"))
	if status == decide.Rejected {
		outcome.NoState = info == 1
	} else {
		outcome.CachedTokens = info
	}
	f.word("load")
	return outcome
}
