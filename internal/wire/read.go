// Package wire reads and prints the simulator's line protocol and maps its
// words to the types of package decide.
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

// Batch is what happened at one moment, in order of arrival.
type Batch struct {
	Now    time.Duration
	Seq    uint64
	Events []Event
}

// Event is one thing that an instance is told. Body is one of Hello, Exit,
// Left, Ring, Ignored, decide.ServerList, decide.Request, decide.Started or
// decide.Outcome.
type Event struct {
	Front string
	Body  any
}

type (
	// Hello starts an instance.
	Hello struct {
		Seed     uint64
		Settings decide.Settings
	}
	// Exit ends an instance.
	Exit struct{}
	// Left says that a client is gone.
	Left struct{ ID decide.RequestID }
	// Ring is a timer come due.
	Ring struct{ Token uint64 }
	// Ignored is a well-formed event that no decision rests on.
	Ignored struct{}
)

var (
	statuses = map[string]decide.Status{
		"GOOD": decide.Served, "half_done": decide.Read, "FULL": decide.Full, "BAD": decide.Errored,
		"LATE": decide.TimedOut, "NOCONN": decide.ConnectFailed, "RST": decide.Reset,
		"CXL": decide.Cancelled, "NOP": decide.Moot,
	}
	states = map[string]decide.ServerState{
		"healthy": decide.Ready, "cordoned": decide.Draining, "deregistered": decide.Gone,
	}
)

// Reader reads batches.
type Reader struct {
	in   *bufio.Reader
	line int
}

// NewReader returns a Reader of r.
func NewReader(r io.Reader) *Reader {
	return &Reader{in: bufio.NewReaderSize(r, 1<<16)}
}

// Next reads one batch. It returns io.EOF at the end of the input between
// batches; any other error names batch, line and field.
func (r *Reader) Next() (Batch, error) {
	var b Batch
	r.line = 0
	text, err := r.readLine()
	if errors.Is(err, io.EOF) && text == "" {
		return b, io.EOF
	}
	if err != nil {
		return b, fmt.Errorf("before a batch: %w", noEOF(err))
	}
	f := newFields(text)
	if f.word("message") != "tick" {
		return b, fmt.Errorf("line 1: field message: want tick, got %q", text)
	}
	b.Now = f.clock("sim_time")
	b.Seq = f.uint("turn")
	if err := f.end(); err != nil {
		return b, fmt.Errorf("line 1: %w", err)
	}
	for {
		done, err := r.event(&b)
		if err != nil {
			return b, fmt.Errorf("batch %d, line %d: %w", b.Seq, r.line, err)
		}
		if done {
			return b, nil
		}
	}
}

// event reads one event into b, or the end of the batch.
func (r *Reader) event(b *Batch) (done bool, err error) {
	text, err := r.readLine()
	if err != nil {
		return false, noEOF(err)
	}
	if text == "eof_batch" {
		return true, nil
	}
	f := newFields(text)
	name := f.word("message")
	parse, ok := parsers[name]
	if !ok {
		return false, fmt.Errorf("field message: unknown message %q", name)
	}
	ev := Event{Front: f.word("front")}
	if ev.Front == "" {
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
	r.line++
	if err != nil {
		return text, err
	}
	return strings.TrimSuffix(text, "\n"), nil
}

func noEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return fmt.Errorf("field message: input ends inside a batch: %w", io.ErrUnexpectedEOF)
	}
	return err
}

// parsers read the fields of each message.
var parsers = map[string]func(*fields, *Reader) any{
	"hello": hello, "exit": func(*fields, *Reader) any { return Exit{} },
	"roster_change": roster, "inbound": inbound, "head_received": started, "reply": reply,
	"left": func(f *fields, _ *Reader) any { return Left{f.id("handle")} },
	"ring": func(f *fields, _ *Reader) any { return Ring{f.uint("key_back")} },
	"pong": pong, "whisper": ignore(2), "place_note": ignore(5),
}

// pong reads a probe's result. One that brings no load is nothing to decide on.
func pong(f *fields, _ *Reader) any {
	f.clock("rtt")
	word := f.word("state_code")
	if _, ok := statuses[word]; !ok {
		f.fail("state_code", fmt.Sprintf("unknown word %q", word))
	}
	p := decide.Probed{Server: f.word("engine"), Queue: -1, Tokens: -1}
	told := false
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
			p.Queue, told = v, true
		case "x0":
			p.Held = v
		case "x1":
			p.Tokens, told = v*1000, true
		}
	}
	if !told || word != "GOOD" {
		return Ignored{}
	}
	return p
}

// ignore reads over an event's n fields.
func ignore(n int) func(*fields, *Reader) any {
	return func(f *fields, _ *Reader) any {
		for i := range n {
			f.word(strconv.Itoa(i + 1))
		}
		return Ignored{}
	}
}

func hello(f *fields, _ *Reader) any {
	h := Hello{Seed: f.seed("entropy")}
	s, err := parseSettings(f.text())
	if err != nil {
		f.fail("config", err.Error())
	}
	h.Settings = s
	return h
}

func roster(f *fields, r *Reader) any {
	var l decide.ServerList
	switch form := f.word("form"); form {
	case "incr":
	case "total", "warm_copy":
		l.Whole = true
	case "lost":
		l.Failed = true
	default:
		f.fail("form", fmt.Sprintf("unknown word %q", form))
	}
	f.word("stamp")
	n := f.uint("nodes_list")
	if f.err != nil {
		return l
	}
	for range n {
		text, err := r.readLine()
		if err != nil {
			f.fail("entry", noEOF(err).Error())
			return l
		}
		s, err := entry(text)
		if err != nil {
			f.fail("entry", err.Error())
			return l
		}
		l.Servers = append(l.Servers, s)
	}
	return l
}

func entry(text string) (decide.Server, error) {
	var s decide.Server
	f := newFields(text)
	if w := f.word("message"); w != "entry" {
		f.fail("message", fmt.Sprintf("want entry, got %q", w))
	}
	s.Since = f.clock("since")
	state := f.word("health")
	known, ok := states[state]
	if !ok {
		f.fail("health", fmt.Sprintf("unknown word %q", state))
	}
	s.State = known
	s.Kind = int(f.uint("machine"))
	s.Cell = int(f.uint("pack"))
	s.Weight = f.number("share")
	s.Zone = int(f.uint("region_part"))
	if s.ID = f.word("engine"); s.ID == "" {
		f.fail("engine", "missing")
	}
	return s, f.end()
}

// Bits of an inbound's state_bits.
const (
	bitHint    = 1
	bitRepeat  = 2
	bitResumed = 16
)

func inbound(f *fields, _ *Reader) any {
	q := decide.Request{ID: f.id("handle"), Class: int(f.uint("category")), Tenant: int(f.uint("user_group"))}
	q.Session = f.key("dialogue")
	q.TimeLeft = f.clock("time_left")
	hint := f.clock("cost_guess")
	q.Prefix = f.key("prefix")
	q.Prompt = int(f.number("prompt_tokens"))
	q.PrefixLen = int(f.number("prefix_len"))
	q.MaxOutput = int(f.number("n_max"))
	bits := f.uint("state_bits")
	if bits&bitHint != 0 {
		q.Hint = hint
	}
	q.Repeat = bits&bitRepeat != 0
	q.Resumed = bits&bitResumed != 0
	return q
}

func started(f *fields, _ *Reader) any {
	return decide.Started{ID: f.id("handle"), Attempt: int(f.uint("round_no")),
		Server: f.word("engine"), Took: f.clock("rtt")}
}

func reply(f *fields, _ *Reader) any {
	o := decide.Outcome{ID: f.id("handle"), Attempt: int(f.uint("round_no")), Server: f.word("engine")}
	word := f.word("state_code")
	status, ok := statuses[word]
	if !ok {
		f.fail("state_code", fmt.Sprintf("unknown word %q", word))
	}
	o.Status = status
	o.Took = f.clock("rtt")
	o.Final = f.bool("finished")
	info := int(f.uint("info"))
	if status == decide.Full {
		o.NoState = info == 1
	} else {
		o.Kept = info
	}
	f.word("load")
	return o
}
