package grpcfront

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	"rowanyard/decide"
	"rowanyard/internal/core"
	"rowanyard/internal/grpcfront/pb"
	"rowanyard/internal/httpfront"
)

const sampleEvent = `data: {"choices":[{"index":0,"delta":{"content":"oqvh"},"finish_reason":"stop"}],"usage":{"prompt_tokens":5,"completion_tokens":2,"prompt_tokens_details":{"cached_tokens":4}}}`

// Chunks that are encoded as events decode to the same chunks.
func FuzzEvent(f *testing.F) {
	rng := rand.New(rand.NewPCG(5, 6))
	f.Add(sampleEvent)
	for range 40 {
		i, j := rng.IntN(len(sampleEvent)), rng.IntN(len(sampleEvent))
		f.Add(sampleEvent[:i])
		f.Add(sampleEvent[:min(i, j)] + sampleEvent[max(i, j):])
	}
	f.Fuzz(func(t *testing.T, line string) {
		c, err := parseEvent(line)
		if err != nil || c == nil {
			return
		}
		var text bytes.Buffer
		writeEvent(&text, c)
		back := &pb.Chunk{}
		for l := range strings.SplitSeq(text.String(), "\n\n") {
			part, err := parseEvent(l)
			if err != nil {
				t.Fatalf("%q: %v", l, err)
			}
			if part != nil {
				proto.Merge(back, part)
			}
		}
		if !proto.Equal(c, back) {
			t.Errorf("%q: %v, back %v", line, c, back)
		}
	})
}

// An HTTP body that pb.CompleteRequest can't represent is never sent, because a part of it would be lost.
func TestBridgeRejectsBodyItCannotTranslate(t *testing.T) {
	w := NewWorkers(0, 0)
	c := w.Bridge(decide.Request{}, "a", "draft-reply", []byte(`{"messages":[{"role":"user","content":[{"type":"image"}]}]}`))
	if r := c.Try(context.Background(), core.Attempt{}); r.Status != decide.Unsent || r.Err == nil {
		t.Errorf("%+v", r)
	}
}

// Parameters without a field of their own survive the translation in both directions.
func TestBridgeKeepsParameters(t *testing.T) {
	r := &pb.CompleteRequest{}
	if err := fromBody(r, []byte(`{"model":"m","stream":true,"max_tokens":7,"temperature":0.5,"stop":["x"],"messages":[{"role":"user","content":"c"}]}`)); err != nil {
		t.Fatal(err)
	}
	back := &pb.CompleteRequest{}
	body := overHTTP(nil, r).(chunkDecoder).Transport.(*httpfront.Exchange).Body
	if err := fromBody(back, body); err != nil || !proto.Equal(r, back) || back.Parameters.Fields["temperature"].GetNumberValue() != 0.5 {
		t.Errorf("%v: %s", err, body)
	}
}

// Calls beyond the limit are refused, not failed: nothing has run, and the client is told when to retry.
func TestTooManyOpenCallsAreRefused(t *testing.T) {
	c, err := core.New(decide.Settings{RouterCount: 1, MaxRetryAfter: 100 * time.Millisecond}, 1, nil, nil)
	if err != nil {
		t.Fatal(err)
	}
	err = NewServer(c, nil, nil, nil, 0, nil).Complete(&pb.CompleteRequest{}, nil)
	st := status.Convert(err)
	if st.Code() != codes.ResourceExhausted || len(st.Details()) != 1 {
		t.Fatal(err)
	}
	if info, ok := st.Details()[0].(*errdetails.RetryInfo); !ok || info.RetryDelay.AsDuration() != 100*time.Millisecond {
		t.Errorf("%v", st.Details())
	}
}

// Servers come and go under new addresses: connections without a call must be closed eventually, those with a call must not.
func TestUnusedConnectionsAreClosed(t *testing.T) {
	w := NewWorkers(time.Second, 15*time.Second)
	defer w.Close()
	_, busy, err := w.conn("127.0.0.1:1")
	if err != nil {
		t.Fatal(err)
	}
	defer busy()
	for i := range 20 {
		_, done, err := w.conn(fmt.Sprintf("127.0.0.2:%d", i+1))
		if err != nil {
			t.Fatal(err)
		}
		done()
		for _, s := range w.conns {
			s.lastUsed = s.lastUsed.Add(-2 * unusedConnTimeout)
		}
	}
	if len(w.conns) != 2 || w.conns["127.0.0.1:1"] == nil {
		t.Errorf("%d connections kept: %v", len(w.conns), w.conns)
	}
}
