package rig

import (
	"context"
	"fmt"
	"hash/fnv"
	"io"
	"net/http"
	"strings"
	"time"
)

// answerLimit ends a client's wait for the end of its answer.
const answerLimit = 40 * time.Second

// Answer is what a client has seen of the answer to its request.
type Answer struct {
	ID     string
	Status int // 0: none
	Err    error
	Text   string        // what arrived of the body
	Whole  bool          // the body arrived up to its last chunk
	EndAt  time.Duration // when the answer ended
}

// Tokens returns how many tokens have arrived.
func (a Answer) Tokens() int { return strings.Count(a.Text, `"delta":{"content"`) }

// String describes the answer for the record.
func (a Answer) String() string {
	if a.Status == http.StatusOK {
		return fmt.Sprintf("status 200, %d tokens, up to the last chunk: %v", a.Tokens(), a.Whole)
	}
	return fmt.Sprintf("status %d %v", a.Status, a.Err)
}

// Request sends a request to the router as a client with a new connection, and returns its answer once that has ended. client
// names the client in the record. begun, if not nil, is called when the head of the answer has arrived.
func (r *Rig) Request(client string, d *Deployment, id, class string, waitMs int, begun func()) (a Answer) {
	a.ID = id
	defer func() {
		a.EndAt = r.Since()
		r.Log("%s: answer to %s: %v", client, id, a)
	}()
	ctx, stop := context.WithTimeout(context.Background(), answerLimit)
	defer stop()
	body := `{"model":"chat","stream":true,"max_tokens":200,"messages":[{"role":"user","content":"` + id + `"}]}`
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.Listen+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		a.Err = err
		return a
	}
	for k, v := range map[string]string{"Content-Type": "application/json", "X-Txn": id, "X-Lane": class, "X-Entity": conversation(id),
		"X-Remaining-Ms": fmt.Sprint(waitMs), "X-Labels": "prompt_len=300,max_out=200"} {
		q.Header.Set(k, v)
	}
	r.Log("%s: sends %s (%s)", client, id, class)
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	res, err := transport.RoundTrip(q)
	if err != nil {
		a.Err = err
		return a
	}
	defer res.Body.Close()
	a.Status = res.StatusCode
	r.Log("%s: the answer to %s begins with status %d", client, id, a.Status)
	if begun != nil {
		begun()
	}
	text, err := io.ReadAll(res.Body)
	a.Text, a.Err, a.Whole = string(text), err, err == nil
	return a
}

// conversation returns the name of the conversation that a request belongs to: each is the first of its own.
func conversation(id string) string {
	h := fnv.New64a()
	io.WriteString(h, id)
	return fmt.Sprintf("%016x", h.Sum64())
}
