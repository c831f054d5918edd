// Package engine emulates one engine of a model server: batching, memory in blocks, a prefix cache with eviction, and
// the cache events that it publishes. The caller moves its clock: the package does no I/O, reads no clock and starts no
// goroutine, and the same settings, seed and calls give the same run, byte for byte.
//
// It behaves like a real engine only roughly, with figures from the platform's documentation. Don't take its speed for
// a measurement of one.
package engine

// The settings of an engine, drawn at random from the ranges that its kind allows.

import (
	"bytes"
	_ "embed"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"time"
)

// Range is the minimum and the maximum of a figure.
type Range [2]float64

// Kind is what the platform's documentation says of one kind of engine.
type Kind struct {
	Role      string    `json:"role"` // "read" (prefill) or "write" (decode)
	Slots     Range     `json:"slots"`
	Queue     Range     `json:"queue"`
	MemoryK   Range     `json:"memory_k"`   // thousands of tokens
	ReadPerS  Range     `json:"read_per_s"` // prompt tokens per second
	Chunk     []float64 `json:"chunk"`      // the most prompt tokens in a step: one of these
	StepMs    Range     `json:"step_ms"`
	PerSeqMs  Range     `json:"per_seq_ms"`       // for each answer that a step continues
	ContextMs Range     `json:"context_ms_per_k"` // for each 1,000 tokens of those answers' contexts
	Block     []float64 `json:"block"`            // tokens per block: one of these
	ColdFrom  Range     `json:"cold_from"`        // share of full speed right after a start
	WarmS     Range     `json:"warm_s"`           // from a start until full speed
	FallAt    float64   `json:"fall_at"`          // a cold engine fails if it gets more than this multiple of its capacity ...
	FallS     float64   `json:"fall_s"`           // ... over this many seconds
	Stops     string    `json:"stops"`            // a cancel ends running requests: "always", "never" or on "some" engines
}

//go:embed kinds.json
var defaultKinds []byte

// validRanges bounds the ranges that a file of kinds may give.
var validRanges = map[string]Range{"slots": {1, 4096}, "queue": {0, 65536}, "memory_k": {1, 100000}, "read_per_s": {1, 1e7},
	"step_ms": {0.1, 1000}, "per_seq_ms": {0, 100}, "context_ms_per_k": {0, 100}, "cold_from": {0.01, 1}, "warm_s": {0, 3600}}

// ParseKinds parses kinds of engines in JSON; nil stands for the built-in ones. An error names the kind, the key and
// the reason.
func Kinds(data []byte) (map[string]Kind, error) {
	if data == nil {
		data = defaultKinds
	}
	kinds := make(map[string]Kind)
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&kinds); err != nil {
		return nil, fmt.Errorf("engine kinds: %w", err)
	}
	if _, err := decoder.Token(); err != io.EOF {
		return nil, fmt.Errorf("engine kinds: data after the JSON object")
	}
	for name, k := range kinds {
		if err := k.check(); err != nil {
			return nil, fmt.Errorf("%s.%w", name, err)
		}
	}
	return kinds, nil
}

func (k Kind) check() error {
	if k.Role != "read" && k.Role != "write" {
		return fmt.Errorf("role: %q, want read or write", k.Role)
	}
	for key, r := range map[string]Range{"slots": k.Slots, "queue": k.Queue, "memory_k": k.MemoryK, "read_per_s": k.ReadPerS, "step_ms": k.StepMs,
		"per_seq_ms": k.PerSeqMs, "context_ms_per_k": k.ContextMs, "cold_from": k.ColdFrom, "warm_s": k.WarmS} {
		if valid := validRanges[key]; !(r[0] <= r[1] && r[0] >= valid[0] && r[1] <= valid[1]) {
			return fmt.Errorf("%s: %v, want a minimum and a maximum within %v", key, r, valid)
		}
	}
	for key, list := range map[string][]float64{"chunk": k.Chunk, "block": k.Block} {
		if len(list) == 0 || slices.Min(list) < 1 || slices.Max(list) > 1<<16 || slices.ContainsFunc(list, func(v float64) bool { return v != float64(int(v)) }) {
			return fmt.Errorf("%s: %v, want whole numbers from 1 to 65536", key, list)
		}
	}
	if slices.Max(k.Block) > 1000*k.MemoryK[0] {
		return fmt.Errorf("block: %v tokens do not fit into the smallest memory of %v thousand tokens", slices.Max(k.Block), k.MemoryK[0])
	}
	// A step that processes a whole chunk must take longer than its fixed part, or the time per token is negative.
	if slowest, fixed := slices.Min(k.Chunk)/k.ReadPerS[1], k.StepMs[1]/1000; fixed >= slowest {
		return fmt.Errorf("step_ms: %v ms, but a chunk of %v tokens at %v tokens per second takes only %.1f ms", k.StepMs[1], slices.Min(k.Chunk), k.ReadPerS[1], 1000*slowest)
	}
	if !(k.FallAt > 1 && k.FallAt < 1000) || !(k.FallS > 0 && k.FallS < 3600) {
		return fmt.Errorf("fall_at, fall_s: %v for %v s, want fall_at above 1 and below 1000, fall_s above 0 and below 3600", k.FallAt, k.FallS)
	}
	if k.Stops != "always" && k.Stops != "never" && k.Stops != "some" {
		return fmt.Errorf("stops: %q, want always, never or some", k.Stops)
	}
	return nil
}

// Settings configure one engine.
type Settings struct {
	Reads       bool          // it processes prompts for writers; otherwise it writes answers
	Slots       int           // the most requests in a step
	Queue       int           // the most requests that may wait
	Blocks      int           // size of the memory
	Block       int           // tokens per block
	Chunk       int           // the most prompt tokens in a step
	Step        time.Duration // fixed part of a step
	PerSeq      time.Duration // for each answer that a step continues
	PerContext  time.Duration // for each 1,000 tokens of context
	PerToken    time.Duration // for each prompt token
	ReadPerS    float64       // when all steps process whole chunks
	ColdFrom    float64       // share of full speed right after a start
	Warm        time.Duration // from a start until full speed
	FallAt      float64       // a cold engine fails if it gets more than this multiple of its capacity ...
	Fall        time.Duration // ... over this long
	CancelStops bool          // a cancel ends running requests
}

// Draw returns the settings of one engine of the kind. The same seed gives the same settings.
func (k Kind) Draw(seed uint64) Settings {
	rng := rand.New(rand.NewPCG(seed, 0x656e67))
	uniform := func(r Range) float64 { return r[0] + rng.Float64()*(r[1]-r[0]) }
	choice := func(list []float64) int { return int(list[rng.IntN(len(list))]) }
	milliseconds := func(v float64) time.Duration { return time.Duration(v * float64(time.Millisecond)) }
	s := Settings{Reads: k.Role == "read", Slots: max(1, int(uniform(k.Slots)+0.5)), Queue: int(uniform(k.Queue)), Block: choice(k.Block), Chunk: choice(k.Chunk),
		Step: milliseconds(uniform(k.StepMs)), PerSeq: milliseconds(uniform(k.PerSeqMs)), PerContext: milliseconds(uniform(k.ContextMs)), ReadPerS: uniform(k.ReadPerS),
		ColdFrom: uniform(k.ColdFrom), Warm: milliseconds(1000 * uniform(k.WarmS)), FallAt: k.FallAt, Fall: milliseconds(1000 * k.FallS)}
	s.Blocks = max(1, int(1000*uniform(k.MemoryK))/s.Block)
	// Steps that process one whole chunk and nothing else reach PrefillTokensPerS.
	s.PerToken = time.Duration(float64(time.Second)/s.ReadPerS) - s.Step/time.Duration(s.Chunk)
	s.CancelStops = k.Stops == "always" || k.Stops == "some" && rng.IntN(2) == 0
	return s
}
