package faultproxy

// The record of requests: when a proxy had the last byte of each from its client, however late the server takes it.

import (
	"bytes"
	"net/textproto"
	"strconv"
	"time"
)

const (
	requestIDField = "X-Txn"
	maxRequestHead = 16 << 10
)

// Request is a request that a Proxy has received whole.
type Request struct {
	ID         string
	LastByteAt time.Time // when its last byte was read from the client's connection
}

// requestTracker follows the requests on one connection. Their bodies have a Content-Length or none.
type requestTracker struct {
	head     []byte // of the request that is being read, as far as it has come
	id       string
	bodyLeft int
	lost     bool // the requests can't be followed any more
}

// feed processes the next bytes and calls whole with the id of each request that they end.
func (r *requestTracker) feed(p []byte, whole func(id string)) {
	for len(p) > 0 && !r.lost {
		if r.bodyLeft > 0 {
			n := min(r.bodyLeft, len(p))
			p = p[n:]
			if r.bodyLeft -= n; r.bodyLeft == 0 {
				whole(r.id)
			}
			continue
		}
		before := len(r.head)
		r.head = append(r.head, p...)
		end := bytes.Index(r.head, []byte(headEnd))
		if end < 0 {
			r.lost = len(r.head) > maxRequestHead
			return
		}
		end += len(headEnd)
		p = p[end-before:]
		r.beginBody(r.head[:end])
		r.head = r.head[:0]
		if r.bodyLeft == 0 {
			whole(r.id)
		}
	}
}

// beginBody takes the id of a request and the length of its body from its head.
func (r *requestTracker) beginBody(head []byte) {
	r.id, r.bodyLeft = "", 0
	for line := range bytes.Lines(head) {
		name, value, _ := bytes.Cut(bytes.TrimSpace(line), []byte(":"))
		switch textproto.CanonicalMIMEHeaderKey(string(name)) {
		case requestIDField:
			r.id = string(bytes.TrimSpace(value))
		case "Content-Length":
			r.bodyLeft, _ = strconv.Atoi(string(bytes.TrimSpace(value)))
		}
	}
}

// recordRequest records that a request has been received whole.
func (p *Proxy) recordRequest(id string) {
	if id == "" {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.requests = append(p.requests, Request{id, time.Now()})
}

// Requests returns the requests with an id that were received whole so far, in their order.
func (p *Proxy) Requests() []Request {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]Request(nil), p.requests...)
}
