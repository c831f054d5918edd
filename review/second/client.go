package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// requestText returns a client's request.
func requestText(id, lane string, remaining time.Duration) string {
	return longRequestText(id, lane, remaining, 300)
}

// longRequestText is requestText for a prompt of that many tokens.
func longRequestText(id, lane string, remaining time.Duration, tokens int) string {
	body := `{"model":"chat","stream":true,"max_tokens":300,"messages":[{"role":"user","content":"` + strings.Repeat("oqvh", tokens) + `"}]}`
	return fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: backend.local\r\nX-Txn: %s\r\nX-Lane: %s\r\nX-Entity: 7f3a9c21e0b4d655\r\nX-Remaining-Ms: %d\r\n"+
		"X-Labels: prompt_len=%d,max_out=300\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", id, lane, remaining.Milliseconds(), tokens, len(body), body)
}

// result is what a client received for a request.
type result struct {
	taken   time.Time // when its last byte was written
	status  int       // 0: no answer
	begun   time.Time // when the head of the answer arrived
	ended   time.Time
	events  int
	whole   bool // the answer was complete
	foreign int  // events that do not name the request
	failure error
}

func (r result) String() string {
	text := fmt.Sprintf("status %d, %d events (%d foreign), whole %v", r.status, r.events, r.foreign, r.whole)
	if r.failure != nil {
		text += ", " + r.failure.Error()
	}
	return text
}

// readAnswer reads the answer to a request until it ends or nothing has come until the deadline.
func readAnswer(c net.Conn, id string, deadline time.Time) (r result) {
	defer func() { r.ended = time.Now() }()
	_ = c.SetReadDeadline(deadline)
	in := bufio.NewReader(c)
	res, err := http.ReadResponse(in, nil)
	if err != nil {
		r.failure = err
		return r
	}
	r.status, r.begun = res.StatusCode, time.Now()
	_ = c.SetReadDeadline(time.Time{}) // a stream that has begun has no deadline
	body := bufio.NewReader(res.Body)
	for {
		line, err := body.ReadString('\n')
		if strings.HasPrefix(line, "data: {") {
			r.events++
			if strings.Contains(line, `"content"`) && !strings.Contains(line, `"`+id+` "`) {
				r.foreign++
			}
		}
		if err != nil {
			if r.whole = errors.Is(err, io.EOF); !r.whole {
				r.failure = err
			}
			return r
		}
	}
}

// ask sends a request on a connection of its own and reads the answer. It returns false if no connection came up.
func (p *play) ask(addr, id, lane string, remaining time.Duration) (result, bool) {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		p.add("client", id, "no connection: %v", err)
		return result{}, false
	}
	defer c.Close()
	_, err = io.WriteString(c, requestText(id, lane, remaining))
	taken := time.Now()
	p.add("client", id, "%s written, err %v", lane, err)
	x := readAnswer(c, id, taken.Add(remaining+time.Second))
	x.taken = taken
	p.add("client", id, "%v", x)
	return x, true
}

// answers collects what the clients of a case received.
type answers struct {
	mu sync.Mutex
	by map[string]result // by id
}

func newAnswers() *answers { return &answers{by: make(map[string]result)} }

func (a *answers) set(id string, r result) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.by[id] = r
}

// ids returns the ids in order, once all clients are done.
func (a *answers) ids() []string { return slices.Sorted(maps.Keys(a.by)) }
