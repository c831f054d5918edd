// Package kvevents encodes and decodes the batches of KV cache events that engines publish, in the msgpack layout of
// vLLM. The decoder takes hostile input: it checks nesting, lengths and event types before it allocates anything for
// them.
//
// A batch is [ts, [event, ...]], optionally followed by further fields, which are skipped; an event is
//
//	["BlockStored", [hash, ...], parent or nil, [token, ...], block size, lora id or nil, ...]
//	["BlockRemoved", [hash, ...], ...]
//	["AllBlocksCleared"]
package kvevents

import (
	"errors"
	"fmt"
	"math"

	"github.com/tinylib/msgp/msgp"
)

// Batch is the cache events that an engine publishes in one message.
type Batch struct {
	At     float64 // seconds on the engine's clock
	Events []Event
}

// Event is one change to an engine's cache: blocks stored, blocks removed, or the whole cache cleared.
type Event struct {
	Stored      []uint64
	Parent      uint64 // hash of the block before the first stored one; 0 at the start of a prompt
	BlockTokens int    // tokens per block
	Removed     []uint64
	Cleared     bool
}

// Limits of a batch. Decode refuses a batch that exceeds one.
const (
	MaxBatchBytes  = 1 << 20
	MaxEvents      = 1 << 15
	MaxHashes      = 1 << 16 // in all events of a batch
	MaxBlockTokens = 1 << 16
	maxElements    = 1 << 18 // in a skipped array or map, such as an event's token ids
	maxDepth       = 8       // of skipped fields
)

// Errors of Decode wrap one of these.
var (
	ErrTooLong      = errors.New("too long")
	ErrMalformed    = errors.New("malformed")
	ErrUnknownEvent = errors.New("unknown kind of event")
	ErrTooDeep      = errors.New("nested too deeply")
)

const (
	blockStored      = "BlockStored"
	blockRemoved     = "BlockRemoved"
	allBlocksCleared = "AllBlocksCleared"
)

// Encode returns the msgpack encoding of a batch. The list of token ids is left empty.
func Encode(b Batch) []byte {
	out := msgp.AppendArrayHeader(nil, 2)
	out = msgp.AppendFloat64(out, b.At)
	out = msgp.AppendArrayHeader(out, uint32(len(b.Events)))
	appendHashes := func(list []uint64) {
		out = msgp.AppendArrayHeader(out, uint32(len(list)))
		for _, h := range list {
			out = msgp.AppendUint64(out, h)
		}
	}
	for _, e := range b.Events {
		switch {
		case e.Cleared:
			out = msgp.AppendArrayHeader(out, 1)
			out = msgp.AppendString(out, allBlocksCleared)
		case e.Removed != nil:
			out = msgp.AppendArrayHeader(out, 2)
			out = msgp.AppendString(out, blockRemoved)
			appendHashes(e.Removed)
		default:
			out = msgp.AppendArrayHeader(out, 6)
			out = msgp.AppendString(out, blockStored)
			appendHashes(e.Stored)
			if e.Parent == 0 {
				out = msgp.AppendNil(out)
			} else {
				out = msgp.AppendUint64(out, e.Parent)
			}
			out = msgp.AppendArrayHeader(out, 0)
			out = msgp.AppendInt(out, e.BlockTokens)
			out = msgp.AppendNil(out)
		}
	}
	return out
}

// decoder reads msgpack values from a buffer and keeps the first error.
type decoder struct {
	rest      []byte
	err       error
	hashCount int
}

// fail records an error, unless there is one already.
func (d *decoder) fail(kind error, what string) {
	if d.err == nil {
		d.err = fmt.Errorf("%w: %s", kind, what)
	}
}

// arrayHeader reads the header of an array and checks that its length is between minLen and maxLen.
func (d *decoder) arrayHeader(what string, minLen, maxLen int) int {
	if d.err != nil {
		return 0
	}
	n, rest, err := msgp.ReadArrayHeaderBytes(d.rest)
	switch {
	case err != nil:
		d.fail(ErrMalformed, what)
	case int64(n) > int64(maxLen):
		d.fail(ErrTooLong, fmt.Sprintf("%s: %d", what, n))
	case int(n) < minLen, int(n) > len(rest): // each element takes at least one byte
		d.fail(ErrMalformed, fmt.Sprintf("%s: %d", what, n))
	default:
		d.rest = rest
		return int(n)
	}
	return 0
}

// hash reads a block hash. Engines publish it as a signed or unsigned integer, or as bytes of which the last eight
// count.
func (d *decoder) hash() uint64 {
	if d.err != nil {
		return 0
	}
	var rest []byte
	var err error
	v := uint64(0)
	switch msgp.NextType(d.rest) {
	case msgp.IntType:
		var i int64
		i, rest, err = msgp.ReadInt64Bytes(d.rest)
		v = uint64(i)
	case msgp.UintType:
		v, rest, err = msgp.ReadUint64Bytes(d.rest)
	case msgp.BinType:
		var b []byte
		if b, rest, err = msgp.ReadBytesZC(d.rest); err == nil && (len(b) < 8 || len(b) > 64) {
			err = ErrMalformed
		}
		if err == nil {
			for _, c := range b[len(b)-8:] {
				v = v<<8 | uint64(c)
			}
		}
	default:
		err = ErrMalformed
	}
	if err != nil {
		d.fail(ErrMalformed, "hash")
		return 0
	}
	d.rest = rest
	return v
}

// hashList reads an array of hashes.
func (d *decoder) hashList(what string) []uint64 {
	n := d.arrayHeader(what, 0, MaxHashes)
	if d.hashCount += n; d.hashCount > MaxHashes {
		d.fail(ErrTooLong, what)
	}
	if d.err != nil {
		return nil
	}
	out := make([]uint64, 0, n)
	for range n {
		out = append(out, d.hash())
		if d.err != nil {
			return nil
		}
	}
	return out
}

// skip skips one value of any type.
func (d *decoder) skip(depth int) {
	if d.err != nil {
		return
	}
	if depth > maxDepth {
		d.fail(ErrTooDeep, "skipped field")
		return
	}
	n, perElement := uint32(0), 1
	switch msgp.NextType(d.rest) {
	case msgp.ArrayType:
		var err error
		if n, d.rest, err = msgp.ReadArrayHeaderBytes(d.rest); err != nil {
			d.fail(ErrMalformed, "skipped field")
			return
		}
	case msgp.MapType:
		var err error
		if n, d.rest, err = msgp.ReadMapHeaderBytes(d.rest); err != nil {
			d.fail(ErrMalformed, "skipped field")
			return
		}
		perElement = 2
	case msgp.InvalidType:
		d.fail(ErrMalformed, "skipped field")
		return
	default:
		rest, err := msgp.Skip(d.rest)
		if err != nil {
			d.fail(ErrMalformed, "skipped field")
			return
		}
		d.rest = rest
		return
	}
	if int64(n) > maxElements || int64(n)*int64(perElement) > int64(len(d.rest)) {
		d.fail(ErrTooLong, "skipped field")
		return
	}
	for range int(n) * perElement {
		d.skip(depth + 1)
	}
}

// Decode decodes and checks a batch. Hashes of all widths are reduced to 64 bits, token ids and unknown fields dropped.
func Decode(data []byte) (Batch, error) {
	var b Batch
	if len(data) > MaxBatchBytes {
		return b, fmt.Errorf("%w: %d bytes", ErrTooLong, len(data))
	}
	d := &decoder{rest: data}
	fields := d.arrayHeader("batch", 2, 16)
	b.At = d.number()
	n := d.arrayHeader("events", 0, MaxEvents)
	for range n {
		if d.err != nil {
			break
		}
		b.Events = append(b.Events, d.event())
	}
	for range fields - 2 {
		d.skip(1)
	}
	if d.err == nil && len(d.rest) > 0 {
		d.fail(ErrMalformed, "data after the end of the batch")
	}
	if d.err != nil {
		return Batch{}, d.err
	}
	return b, nil
}

// number reads a finite number of any numeric type.
func (d *decoder) number() float64 {
	if d.err != nil {
		return 0
	}
	var v float64
	var rest []byte
	var err error
	switch msgp.NextType(d.rest) {
	case msgp.Float64Type:
		v, rest, err = msgp.ReadFloat64Bytes(d.rest)
	case msgp.Float32Type:
		var f float32
		f, rest, err = msgp.ReadFloat32Bytes(d.rest)
		v = float64(f)
	case msgp.IntType, msgp.UintType:
		var i int64
		i, rest, err = msgp.ReadInt64Bytes(d.rest)
		v = float64(i)
	default:
		err = ErrMalformed
	}
	if err != nil || math.IsNaN(v) || math.IsInf(v, 0) {
		d.fail(ErrMalformed, "number")
		return 0
	}
	d.rest = rest
	return v
}

// event reads one event and skips the fields that aren't known.
func (d *decoder) event() (e Event) {
	fields := d.arrayHeader("event", 1, 16)
	if d.err != nil {
		return e
	}
	tag, rest, err := msgp.ReadStringZC(d.rest)
	if err != nil {
		d.fail(ErrMalformed, "event type")
		return e
	}
	d.rest = rest
	used := 1
	switch string(tag) {
	case blockStored:
		if fields < 5 {
			d.fail(ErrMalformed, blockStored)
			return e
		}
		e.Stored = d.hashList("stored blocks")
		if d.err == nil && msgp.IsNil(d.rest) {
			d.rest = d.rest[1:]
		} else {
			e.Parent = d.hash()
		}
		d.skip(1) // token ids
		size := d.number()
		if d.err == nil && (size < 1 || size > MaxBlockTokens || size != math.Trunc(size)) {
			d.fail(ErrMalformed, "block size")
		}
		e.BlockTokens = int(size)
		used = 5
	case blockRemoved:
		if fields < 2 {
			d.fail(ErrMalformed, blockRemoved)
			return e
		}
		e.Removed = d.hashList("removed blocks")
		if e.Removed == nil && d.err == nil {
			e.Removed = []uint64{}
		}
		used = 2
	case allBlocksCleared:
		e.Cleared = true
	default:
		d.fail(ErrUnknownEvent, fmt.Sprintf("%.40q", tag))
		return e
	}
	for range fields - used {
		d.skip(1)
	}
	return e
}

// BytesPerToken is the prompt length in bytes that counts as one token.
const BytesPerToken = 4

// BlockHashes returns the hashes of a prompt's complete blocks of blockTokens tokens each. A hash covers its block and
// all blocks before it.
func BlockHashes(text []byte, blockTokens int) []uint64 {
	blockBytes := blockTokens * BytesPerToken
	if blockBytes <= 0 {
		return nil
	}
	chain := make([]uint64, 0, len(text)/blockBytes)
	parent := uint64(0xcbf29ce484222325)
	for ; len(text) >= blockBytes; text = text[blockBytes:] {
		h := parent * 0x100000001b3
		for _, c := range text[:blockBytes] {
			h = (h ^ uint64(c)) * 0x100000001b3
		}
		h ^= h >> 29
		h *= 0xbf58476d1ce4e5b9
		h ^= h >> 32
		if h == 0 { // 0 stands for no block
			h = 1
		}
		parent = h
		chain = append(chain, h)
	}
	return chain
}
