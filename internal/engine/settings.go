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

// Kind holds the figures that the platform's documentation gives for one kind of engine.
type Kind struct {
	Role                string    `json:"role"` // "read" (prefill) or "write" (decode)
	Slots               Range     `json:"slots"`
	QueueLimit          Range     `json:"queue"`
	MemoryKTokens       Range     `json:"memory_k"`   // thousands of tokens
	PrefillTokensPerS   Range     `json:"read_per_s"` // prompt tokens per second
	ChunkTokens         []float64 `json:"chunk"`      // the most prompt tokens in a step: one of these
	StepOverheadMs      Range     `json:"step_ms"`
	PerSequenceMs       Range     `json:"per_seq_ms"`       // for each answer that a step continues
	PerContextKMs       Range     `json:"context_ms_per_k"` // for each 1,000 tokens of those answers' contexts
	BlockTokens         []float64 `json:"block"`            // tokens per block: one of these
	ColdCapacity        Range     `json:"cold_from"`        // share of full speed right after a start
	WarmUpS             Range     `json:"warm_s"`           // from a start until full speed
	ColdOverloadFactor  float64   `json:"fall_at"`          // a cold engine fails if it gets more than this multiple of its capacity ...
	ColdOverloadWindowS float64   `json:"fall_s"`           // ... over this many seconds
	CancelStops         string    `json:"stops"`            // a cancel ends running requests: "always", "never" or on "some" engines
}

//go:embed kinds.json
var defaultKinds []byte

// validRanges bounds the ranges that a file of kinds may give.
var validRanges = map[string]Range{"slots": {1, 4096}, "queue": {0, 65536}, "memory_k": {1, 100000}, "read_per_s": {1, 1e7},
	"step_ms": {0.1, 1000}, "per_seq_ms": {0, 100}, "context_ms_per_k": {0, 100}, "cold_from": {0.01, 1}, "warm_s": {0, 3600}}

// ParseKinds parses kinds of engines in JSON; nil stands for the built-in ones. An error names the kind, the key and
// the reason.
func ParseKinds(data []byte) (map[string]Kind, error) {
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
	for key, r := range map[string]Range{"slots": k.Slots, "queue": k.QueueLimit, "memory_k": k.MemoryKTokens, "read_per_s": k.PrefillTokensPerS, "step_ms": k.StepOverheadMs,
		"per_seq_ms": k.PerSequenceMs, "context_ms_per_k": k.PerContextKMs, "cold_from": k.ColdCapacity, "warm_s": k.WarmUpS} {
		if valid := validRanges[key]; !(r[0] <= r[1] && r[0] >= valid[0] && r[1] <= valid[1]) {
			return fmt.Errorf("%s: %v, want a minimum and a maximum within %v", key, r, valid)
		}
	}
	for key, list := range map[string][]float64{"chunk": k.ChunkTokens, "block": k.BlockTokens} {
		if len(list) == 0 || slices.Min(list) < 1 || slices.Max(list) > 1<<16 || slices.ContainsFunc(list, func(v float64) bool { return v != float64(int(v)) }) {
			return fmt.Errorf("%s: %v, want whole numbers from 1 to 65536", key, list)
		}
	}
	if slices.Max(k.BlockTokens) > 1000*k.MemoryKTokens[0] {
		return fmt.Errorf("block: %v tokens do not fit into the smallest memory of %v thousand tokens", slices.Max(k.BlockTokens), k.MemoryKTokens[0])
	}
	// A step that processes a whole chunk must take longer than its fixed part, or the time per token is negative.
	if slowest, fixed := slices.Min(k.ChunkTokens)/k.PrefillTokensPerS[1], k.StepOverheadMs[1]/1000; fixed >= slowest {
		return fmt.Errorf("step_ms: %v ms, but a chunk of %v tokens at %v tokens per second takes only %.1f ms", k.StepOverheadMs[1], slices.Min(k.ChunkTokens), k.PrefillTokensPerS[1], 1000*slowest)
	}
	if !(k.ColdOverloadFactor > 1 && k.ColdOverloadFactor < 1000) || !(k.ColdOverloadWindowS > 0 && k.ColdOverloadWindowS < 3600) {
		return fmt.Errorf("fall_at, fall_s: %v for %v s, want fall_at above 1 and below 1000, fall_s above 0 and below 3600", k.ColdOverloadFactor, k.ColdOverloadWindowS)
	}
	if k.CancelStops != "always" && k.CancelStops != "never" && k.CancelStops != "some" {
		return fmt.Errorf("stops: %q, want always, never or some", k.CancelStops)
	}
	return nil
}

// Settings configure one engine.
type Settings struct {
	Prefill            bool          // it processes prompts for writers; otherwise it writes answers
	Slots              int           // the most requests in a step
	QueueLimit         int           // the most requests that may wait
	MemoryBlocks       int           // size of the memory
	BlockTokens        int           // tokens per block
	ChunkTokens        int           // the most prompt tokens in a step
	StepOverhead       time.Duration // fixed part of a step
	PerSequence        time.Duration // for each answer that a step continues
	PerContextK        time.Duration // for each 1,000 tokens of context
	PerPrefillToken    time.Duration // for each prompt token
	PrefillTokensPerS  float64       // when all steps process whole chunks
	ColdCapacity       float64       // share of full speed right after a start
	WarmUpTime         time.Duration // from a start until full speed
	ColdOverloadFactor float64       // a cold engine fails if it gets more than this multiple of its capacity ...
	ColdOverloadWindow time.Duration // ... over this long
	CancelStopsRunning bool          // a cancel ends running requests
}

// Draw returns the settings of one engine of the kind. The same seed gives the same settings.
func (k Kind) Draw(seed uint64) Settings {
	rng := rand.New(rand.NewPCG(seed, 0x656e67))
	uniform := func(r Range) float64 { return r[0] + rng.Float64()*(r[1]-r[0]) }
	choice := func(list []float64) int { return int(list[rng.IntN(len(list))]) }
	milliseconds := func(v float64) time.Duration { return time.Duration(v * float64(time.Millisecond)) }
	s := Settings{Prefill: k.Role == "read", Slots: max(1, int(uniform(k.Slots)+0.5)), QueueLimit: int(uniform(k.QueueLimit)), BlockTokens: choice(k.BlockTokens), ChunkTokens: choice(k.ChunkTokens),
		StepOverhead: milliseconds(uniform(k.StepOverheadMs)), PerSequence: milliseconds(uniform(k.PerSequenceMs)), PerContextK: milliseconds(uniform(k.PerContextKMs)), PrefillTokensPerS: uniform(k.PrefillTokensPerS),
		ColdCapacity: uniform(k.ColdCapacity), WarmUpTime: milliseconds(1000 * uniform(k.WarmUpS)), ColdOverloadFactor: k.ColdOverloadFactor, ColdOverloadWindow: milliseconds(1000 * k.ColdOverloadWindowS)}
	s.MemoryBlocks = max(1, int(1000*uniform(k.MemoryKTokens))/s.BlockTokens)
	// Steps that process one whole chunk and nothing else reach PrefillTokensPerS.
	s.PerPrefillToken = time.Duration(float64(time.Second)/s.PrefillTokensPerS) - s.StepOverhead/time.Duration(s.ChunkTokens)
	s.CancelStopsRunning = k.CancelStops == "always" || k.CancelStops == "some" && rng.IntN(2) == 0
	return s
}
