package grpcfront

// This file owns the way between the two wires: a gRPC client's request at a server that speaks
// HTTP, and an HTTP client's at one that speaks gRPC. It translates messages and events, and must
// never change what they say.

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"

	"rowanyard/decide"
	"rowanyard/internal/core"
	"rowanyard/internal/grpcfront/pb"
	"rowanyard/internal/httpfront"

	"google.golang.org/protobuf/types/known/durationpb"
	"google.golang.org/protobuf/types/known/structpb"
)

// chat is what an HTTP request's body says that has a field of ours.
type chat struct {
	Model     string          `json:"model"`
	MaxTokens int64           `json:"max_tokens"`
	Messages  json.RawMessage `json:"messages"`
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// sse is one event of an HTTP stream.
type sse struct {
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

type choice struct {
	Index        int     `json:"index"`
	Delta        delta   `json:"delta"`
	FinishReason *string `json:"finish_reason"`
}

type delta struct {
	Content string `json:"content,omitempty"`
}

type usage struct {
	PromptTokens     int64   `json:"prompt_tokens"`
	CompletionTokens int64   `json:"completion_tokens"`
	Details          details `json:"prompt_tokens_details"`
}

type details struct {
	CachedTokens int64 `json:"cached_tokens"`
}

const (
	eventPrefix = "data: "
	eventDone   = "[DONE]"
)

// overHTTP carries a gRPC client's request to servers that speak HTTP.
func overHTTP(w *httpfront.Workers, r *pb.CompleteRequest) core.Carrier {
	body := r.Parameters.AsMap()
	if body == nil {
		body = make(map[string]any)
	}
	messages := make([]message, 0, len(r.Messages))
	for _, m := range r.Messages {
		messages = append(messages, message{m.Role, m.Content})
	}
	body["model"], body["stream"], body["max_tokens"], body["messages"] = r.Model, true, r.MaxOutputTokens, messages
	text, err := json.Marshal(body)
	if err != nil { // a parameter that is no number
		return broken{fmt.Errorf("parameters: %w", err)}
	}
	head := http.Header{}
	head.Set("Content-Type", "application/json")
	head.Set("X-Txn", r.Id)
	head.Set("X-Lane", r.Class)
	head.Set("X-Entity", fmt.Sprintf("%016x", r.Session))
	labels := fmt.Sprintf("prompt_len=%d,prefix_len=%d,max_out=%d", r.PromptTokens, r.PrefixTokens, r.MaxOutputTokens)
	if r.Prefix != 0 {
		labels = fmt.Sprintf("prefix=%016x,", r.Prefix) + labels
	}
	head.Set("X-Labels", labels)
	return decoded{&httpfront.Exchange{Workers: w, Method: http.MethodPost, URI: httpfront.PathChat, Head: head, Body: text}}
}

// decoded makes chunks of the events that its carrier streams.
type decoded struct{ core.Carrier }

func (d decoded) Try(ctx context.Context, a core.Attempt) core.Result {
	res := d.Carrier.Try(ctx, a)
	if s, ok := res.Stream.(httpfront.Stream); ok {
		res.Stream = &eventChunks{Stream: s, in: bufio.NewReader(s)}
	}
	return res
}

// eventChunks reads chunks from a stream of events.
type eventChunks struct {
	httpfront.Stream
	in *bufio.Reader
}

func (e *eventChunks) Recv() (*pb.Chunk, error) {
	for {
		line, err := e.in.ReadString('\n')
		if err != nil {
			return nil, err
		}
		c, err := parseEvent(strings.TrimSpace(line))
		if c != nil || err != nil {
			return c, err
		}
	}
}

// parseEvent reads one line of a stream; lines that bring no event give none.
func parseEvent(line string) (*pb.Chunk, error) {
	text, ok := strings.CutPrefix(line, strings.TrimSpace(eventPrefix))
	text = strings.TrimSpace(text)
	if !ok || text == eventDone || text == "" {
		return nil, nil
	}
	var e sse
	if err := json.Unmarshal([]byte(text), &e); err != nil {
		return nil, fmt.Errorf("event: %w", err)
	}
	c := &pb.Chunk{}
	for _, ch := range e.Choices {
		c.Content += ch.Delta.Content
		if ch.FinishReason != nil {
			c.FinishReason = *ch.FinishReason
		}
	}
	if u := e.Usage; u != nil {
		c.Usage = &pb.Usage{PromptTokens: u.PromptTokens, CompletionTokens: u.CompletionTokens, CachedTokens: u.Details.CachedTokens}
	}
	return c, nil
}

// Bridge is a httpfront.Bridge: it carries an HTTP client's request to servers that speak gRPC.
func (w *Workers) Bridge(q decide.Request, id, class string, body []byte) core.Carrier {
	r := &pb.CompleteRequest{Id: id, Class: class, Session: q.Session, Prefix: q.Prefix, PromptTokens: int64(q.Prompt),
		PrefixTokens: int64(q.PrefixLen), MaxOutputTokens: int64(q.MaxOutput), Estimate: durationpb.New(q.Hint),
		FirstTokenWithin: durationpb.New(q.TimeLeft)}
	switch {
	case q.Resumed:
		r.Resent = pb.Resent_RESENT_RESUME
	case q.Repeat:
		r.Resent = pb.Resent_RESENT_RETRY
	}
	if err := fromBody(r, body); err != nil { // a message in a form that has no place in ours
		return broken{fmt.Errorf("body: %w", err)}
	}
	return encoded{&exchange{workers: w, req: r}}
}

// fromBody takes over what an HTTP body says. Nothing of it may get lost: what is neither a message nor
// a field of ours goes along as a parameter, and what a message can't hold is an error.
func fromBody(r *pb.CompleteRequest, body []byte) error {
	var b chat
	var rest map[string]any
	if err := json.Unmarshal(body, &rest); err != nil {
		return err
	}
	if err := json.Unmarshal(body, &b); err != nil {
		return err
	}
	strict := json.NewDecoder(bytes.NewReader(b.Messages))
	strict.DisallowUnknownFields()
	var messages []message
	if len(b.Messages) > 0 {
		if err := strict.Decode(&messages); err != nil {
			return err
		}
	}
	for _, m := range messages {
		r.Messages = append(r.Messages, &pb.Message{Role: m.Role, Content: m.Content})
	}
	r.Model = b.Model
	if b.MaxTokens > 0 {
		r.MaxOutputTokens = b.MaxTokens
	}
	for _, name := range []string{"model", "stream", "max_tokens", "messages"} {
		delete(rest, name)
	}
	if len(rest) == 0 {
		return nil
	}
	var err error
	r.Parameters, err = structpb.NewStruct(rest)
	return err
}

// broken carries nothing.
type broken struct{ err error }

func (b broken) Try(context.Context, core.Attempt) core.Result {
	return core.Result{Status: decide.Moot, Err: b.err}
}

func (b broken) Release(context.Context, core.Worker) error { return b.err }

// encoded makes events of the chunks that its exchange streams.
type encoded struct{ *exchange }

func (e encoded) Try(ctx context.Context, a core.Attempt) core.Result {
	res := e.exchange.Try(ctx, a)
	if c, ok := res.Stream.(chunks); ok {
		res.Stream = &chunkEvents{from: c}
	}
	return res
}

// chunkEvents is a stream of events made of chunks.
type chunkEvents struct {
	from chunks
	buf  bytes.Buffer
	done bool
}

// Header implements httpfront.Stream.
func (c *chunkEvents) Header() http.Header {
	return http.Header{"Content-Type": {"text/event-stream"}}
}

func (c *chunkEvents) Read(p []byte) (int, error) {
	for c.buf.Len() == 0 {
		if c.done {
			return 0, io.EOF
		}
		chunk, err := c.from.Recv()
		switch {
		case errors.Is(err, io.EOF):
			c.done = true
			c.buf.WriteString(eventPrefix + eventDone + "\n\n")
		case err != nil:
			return 0, err
		default:
			writeEvent(&c.buf, chunk)
		}
	}
	return c.buf.Read(p)
}

// writeEvent writes a chunk as the events of an HTTP stream: content first, then usage.
func writeEvent(to *bytes.Buffer, c *pb.Chunk) {
	put := func(e sse) {
		text, _ := json.Marshal(e)
		to.WriteString(eventPrefix)
		to.Write(text)
		to.WriteString("\n\n")
	}
	if c.Content != "" || c.FinishReason != "" || c.Usage == nil {
		ch := choice{Delta: delta{c.Content}}
		if c.FinishReason != "" {
			ch.FinishReason = &c.FinishReason
		}
		put(sse{Choices: []choice{ch}})
	}
	if u := c.Usage; u != nil {
		put(sse{Choices: []choice{}, Usage: &usage{u.PromptTokens, u.CompletionTokens, details{u.CachedTokens}}})
	}
}

// Close ends the call.
func (c *chunkEvents) Close() error { return c.from.Close() }
