package kvevents

import (
	"bytes"
	"errors"
	"math/rand/v2"
	"reflect"
	"testing"

	"github.com/tinylib/msgp/msgp"
)

func sampleBatch() Batch {
	return Batch{At: 12.5, Events: []Event{{Stored: []uint64{1, 1 << 63, 77}, Parent: 9, BlockTokens: 16}, {Removed: []uint64{5}}, {Cleared: true},
		{Stored: []uint64{4}, BlockTokens: 64}, {Removed: []uint64{}}}}
}

func TestRoundTrip(t *testing.T) {
	got, err := Decode(Encode(sampleBatch()))
	if err != nil || !reflect.DeepEqual(got, sampleBatch()) {
		t.Errorf("%+v %v", got, err)
	}
}

// Formats that engines use and Encode doesn't: signed hashes, hashes as bytes, token ids, further fields.
func TestDecodeFormatsOfEngines(t *testing.T) {
	b := msgp.AppendArrayHeader(nil, 3)
	b = msgp.AppendFloat64(b, 1)
	b = msgp.AppendArrayHeader(b, 1)
	b = msgp.AppendArrayHeader(b, 8)
	b = msgp.AppendString(b, "BlockStored")
	b = msgp.AppendArrayHeader(b, 2)
	b = msgp.AppendInt64(b, -2)
	b = msgp.AppendBytes(b, append(bytes.Repeat([]byte{9}, 24), 0, 0, 0, 0, 0, 0, 1, 2))
	b = msgp.AppendNil(b)
	b = msgp.AppendArrayHeader(b, 3)
	for range 3 {
		b = msgp.AppendInt(b, 1000)
	}
	b = msgp.AppendInt(b, 16)
	b = msgp.AppendNil(b)
	b = msgp.AppendString(b, "GPU")
	b = msgp.AppendMapHeader(b, 1)
	b = msgp.AppendString(b, "x")
	b = msgp.AppendArrayHeader(b, 0)
	b = msgp.AppendInt(b, 0) // data parallel rank
	got, err := Decode(b)
	if err != nil || len(got.Events) != 1 || got.Events[0].Stored[0] != 1<<64-2 || got.Events[0].Stored[1] != 0x102 || got.Events[0].BlockTokens != 16 {
		t.Errorf("%+v %v", got, err)
	}
}

func TestHostileBatches(t *testing.T) {
	good := Encode(sampleBatch())
	deepArray := msgp.AppendArrayHeader(nil, 3)
	deepArray = msgp.AppendFloat64(deepArray, 1)
	deepArray = msgp.AppendArrayHeader(deepArray, 0)
	for range 100 {
		deepArray = msgp.AppendArrayHeader(deepArray, 1)
	}
	deepArray = msgp.AppendNil(deepArray)
	longArray := msgp.AppendArrayHeader(nil, 2)
	longArray = msgp.AppendFloat64(longArray, 1)
	longArray = append(longArray, 0xdd, 0xff, 0xff, 0xff, 0xff)
	unknownKind := msgp.AppendArrayHeader(nil, 2)
	unknownKind = msgp.AppendFloat64(unknownKind, 1)
	unknownKind = msgp.AppendArrayHeader(unknownKind, 1)
	unknownKind = msgp.AppendArrayHeader(unknownKind, 1)
	unknownKind = msgp.AppendString(unknownKind, "BlockMoved")
	for name, c := range map[string]struct {
		text []byte
		want error
	}{
		"nothing": {nil, ErrMalformed}, "cut": {good[:len(good)-3], ErrMalformed}, "more": {append(bytes.Clone(good), 1), ErrMalformed}, "deep": {deepArray, ErrTooDeep},
		"long": {longArray, ErrTooLong}, "tag": {unknownKind, ErrUnknownEvent}, "bytes": {make([]byte, MaxBatchBytes+1), ErrTooLong},
		"block size": {Encode(Batch{Events: []Event{{Stored: []uint64{1}, BlockTokens: 0}}}), ErrMalformed},
		"hashes":     {Encode(Batch{Events: []Event{{Removed: make([]uint64, MaxHashes+1)}}}), ErrTooLong},
	} {
		if _, err := Decode(c.text); !errors.Is(err, c.want) {
			t.Errorf("%s: %v, want %v", name, err, c.want)
		}
	}
}

func FuzzDecode(f *testing.F) {
	good := Encode(sampleBatch())
	rng := rand.New(rand.NewPCG(3, 3))
	f.Add(good)
	for range 60 {
		mutated := bytes.Clone(good[:rng.IntN(len(good)+1)])
		for range rng.IntN(4) {
			if len(mutated) > 0 {
				mutated[rng.IntN(len(mutated))] = byte(rng.Uint32())
			}
		}
		f.Add(mutated)
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		b, err := Decode(text)
		if err != nil {
			return
		}
		n := 0
		for _, e := range b.Events {
			n += len(e.Stored) + len(e.Removed)
			if e.BlockTokens < 0 || e.BlockTokens > MaxBlockTokens {
				t.Fatalf("%+v", e)
			}
		}
		if n > MaxHashes || n > len(text) || len(b.Events) > MaxEvents {
			t.Fatalf("%d hashes of %d bytes", n, len(text))
		}
		again, err := Decode(Encode(b))
		if err != nil || !reflect.DeepEqual(again, b) {
			t.Fatalf("%+v, then %+v %v", b, again, err)
		}
	})
}
