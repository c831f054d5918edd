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

const event = `data: {"choices":[{"index":0,"delta":{"content":"oqvh"},"finish_reason":"stop"}],"usage":{"prompt_tokens":5,"completion_tokens":2,"prompt_tokens_details":{"cached_tokens":4}}}`

// What the bridge writes as events it reads back as the same chunks.
func FuzzEvent(f *testing.F) {
	rng := rand.New(rand.NewPCG(5, 6))
	f.Add(event)
	for range 40 {
		i, j := rng.IntN(len(event)), rng.IntN(len(event))
		f.Add(event[:i])
		f.Add(event[:min(i, j)] + event[max(i, j):])
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

// An HTTP body that has no place in our messages is never sent: nothing of it may be lost on the way.
func TestBridgeSendsNoBodyThatItCantCarry(t *testing.T) {
	w := NewWorkers(0, 0)
	c := w.Bridge(decide.Request{}, "a", "draft-reply", []byte(`{"messages":[{"role":"user","content":[{"type":"image"}]}]}`))
	if r := c.Try(context.Background(), core.Attempt{}); r.Status != decide.Moot || r.Err == nil {
		t.Errorf("%+v", r)
	}
}

// Parameters that our messages do not name pass both ways.
func TestBridgeKeepsParameters(t *testing.T) {
	r := &pb.CompleteRequest{}
	if err := fromBody(r, []byte(`{"model":"m","stream":true,"max_tokens":7,"temperature":0.5,"stop":["x"],"messages":[{"role":"user","content":"c"}]}`)); err != nil {
		t.Fatal(err)
	}
	back := &pb.CompleteRequest{}
	body := overHTTP(nil, r).(decoded).Carrier.(*httpfront.Exchange).Body
	if err := fromBody(back, body); err != nil || !proto.Equal(r, back) || back.Parameters.Fields["temperature"].GetNumberValue() != 0.5 {
		t.Errorf("%v: %s", err, body)
	}
}

// Too many open calls are refused, not failed: nothing has run, and the client is told when to come back.
func TestTooManyOpenCallsAreRefused(t *testing.T) {
	c, err := core.New(decide.Settings{Fronts: 1, MaxRetryAfter: 100 * time.Millisecond}, 1, nil, nil)
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

// Servers come and go under new addresses all day: connections without a call must not stay for good, and
// one that has a call must not be closed.
func TestConnectionsToServersThatLeftAreClosed(t *testing.T) {
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
			s.used = s.used.Add(-2 * connKept)
		}
	}
	if len(w.conns) != 2 || w.conns["127.0.0.1:1"] == nil {
		t.Errorf("%d connections kept: %v", len(w.conns), w.conns)
	}
}
