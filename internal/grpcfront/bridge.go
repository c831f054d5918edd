package grpcfront

// Translation between the two protocols: gRPC clients' requests for model servers that speak HTTP, and HTTP clients' requests
// for model servers that speak gRPC. Messages and events keep their meaning.

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

// chatRequest holds those parts of an HTTP request's body that have a field of their own in pb.CompleteRequest.
type chatRequest struct {
	Model     string          `json:"model"`
	MaxTokens int64           `json:"max_tokens"`
	Messages  json.RawMessage `json:"messages"`
}

// chatMessage is one message of an HTTP request's body.
type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// streamEvent is the data of one server-sent event of an HTTP answer.
type streamEvent struct {
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
	PromptTokens     int64         `json:"prompt_tokens"`
	CompletionTokens int64         `json:"completion_tokens"`
	Details          promptDetails `json:"prompt_tokens_details"`
}

type promptDetails struct {
	CachedTokens int64 `json:"cached_tokens"`
}

const (
	eventPrefix = "data: "
	doneEvent   = "[DONE]"
)

// overHTTP returns a core.Transport that sends a gRPC client's request to servers that speak HTTP.
func overHTTP(w *httpfront.Workers, r *pb.CompleteRequest) core.Transport {
	body := r.Parameters.AsMap()
	if body == nil {
		body = make(map[string]any)
	}
	messages := make([]chatMessage, 0, len(r.Messages))
	for _, m := range r.Messages {
		messages = append(messages, chatMessage{m.Role, m.Content})
	}
	body["model"], body["stream"], body["max_tokens"], body["messages"] = r.Model, true, r.MaxOutputTokens, messages
	text, err := json.Marshal(body)
	if err != nil { // a parameter that JSON can't represent, such as NaN
		return invalidRequest{fmt.Errorf("parameters: %w", err)}
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
	return chunkDecoder{&httpfront.Exchange{Workers: w, Method: http.MethodPost, URI: httpfront.PathChat, Head: head, Body: text}}
}

// chunkDecoder is a core.Transport that decodes the event streams of another one into chunks.
type chunkDecoder struct{ core.Transport }

func (d chunkDecoder) Try(ctx context.Context, a core.Attempt) core.Result {
	res := d.Transport.Try(ctx, a)
	if s, ok := res.Stream.(httpfront.Stream); ok {
		res.Stream = &eventChunks{Stream: s, in: bufio.NewReader(s)}
	}
	return res
}

// eventChunks decodes a stream of events into chunks. It is a chunkStream.
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

// parseEvent decodes one line of an event stream. It returns nil for lines that carry no chunk.
func parseEvent(line string) (*pb.Chunk, error) {
	text, ok := strings.CutPrefix(line, strings.TrimSpace(eventPrefix))
	text = strings.TrimSpace(text)
	if !ok || text == doneEvent || text == "" {
		return nil, nil
	}
	var e streamEvent
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

// Bridge returns a core.Transport that sends an HTTP client's request to servers that speak gRPC. It is an
// httpfront.Bridge.
func (w *Workers) Bridge(q decide.Request, id, class string, body []byte) core.Transport {
	r := &pb.CompleteRequest{Id: id, Class: class, Session: q.Session, Prefix: q.Prefix, PromptTokens: int64(q.PromptLength),
		PrefixTokens: int64(q.PrefixLength), MaxOutputTokens: int64(q.MaxOutput), Estimate: durationpb.New(q.DurationHint),
		FirstTokenWithin: durationpb.New(q.TimeLeft)}
	switch {
	case q.Resumed:
		r.Resent = pb.Resent_RESENT_RESUME
	case q.ClientRetry:
		r.Resent = pb.Resent_RESENT_RETRY
	}
	if err := fromBody(r, body); err != nil { // a message of a form that pb.Message can't represent
		return invalidRequest{fmt.Errorf("body: %w", err)}
	}
	return eventEncoder{&exchange{workers: w, req: r}}
}

// fromBody fills r from an HTTP request's body. Nothing in the body is dropped: keys without a field of their own become
// parameters, and messages that pb.Message can't represent are an error.
func fromBody(r *pb.CompleteRequest, body []byte) error {
	var b chatRequest
	var rest map[string]any
	if err := json.Unmarshal(body, &rest); err != nil {
		return err
	}
	if err := json.Unmarshal(body, &b); err != nil {
		return err
	}
	strict := json.NewDecoder(bytes.NewReader(b.Messages))
	strict.DisallowUnknownFields()
	var messages []chatMessage
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

// invalidRequest is the core.Transport of a request that can't be translated: every attempt fails before anything is sent.
type invalidRequest struct{ err error }

func (b invalidRequest) Try(context.Context, core.Attempt) core.Result {
	return core.Result{Status: decide.Unsent, Err: b.err}
}

func (b invalidRequest) Release(context.Context, core.Worker) error { return b.err }

// eventEncoder is an exchange whose chunk streams are encoded as events.
type eventEncoder struct{ *exchange }

// WithoutBody implements httpfront.BodyDropper.
func (e eventEncoder) WithoutBody() core.Transport {
	return eventEncoder{&exchange{workers: e.workers, req: &pb.CompleteRequest{Id: e.req.Id}}}
}

func (e eventEncoder) Try(ctx context.Context, a core.Attempt) core.Result {
	res := e.exchange.Try(ctx, a)
	if c, ok := res.Stream.(chunkStream); ok {
		res.Stream = &chunkEvents{from: c}
	}
	return res
}

// chunkEvents encodes a stream of chunks as server-sent events. It is an httpfront.Stream.
type chunkEvents struct {
	from chunkStream
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
			c.buf.WriteString(eventPrefix + doneEvent + "\n\n")
		case err != nil:
			return 0, err
		default:
			writeEvent(&c.buf, chunk)
		}
	}
	return c.buf.Read(p)
}

// writeEvent appends a chunk to out as events of an HTTP stream: content first, then usage.
func writeEvent(out *bytes.Buffer, c *pb.Chunk) {
	write := func(e streamEvent) {
		text, _ := json.Marshal(e)
		out.WriteString(eventPrefix)
		out.Write(text)
		out.WriteString("\n\n")
	}
	if c.Content != "" || c.FinishReason != "" || c.Usage == nil {
		ch := choice{Delta: delta{c.Content}}
		if c.FinishReason != "" {
			ch.FinishReason = &c.FinishReason
		}
		write(streamEvent{Choices: []choice{ch}})
	}
	if u := c.Usage; u != nil {
		write(streamEvent{Choices: []choice{}, Usage: &usage{u.PromptTokens, u.CompletionTokens, promptDetails{u.CachedTokens}}})
	}
}

// Close ends the call.
func (c *chunkEvents) Close() error { return c.from.Close() }
