package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// sent is one request as its client saw it.
type sent struct {
	id          string
	router      int
	unsafe      bool
	at          time.Time     // its last byte was written
	wait        time.Duration // its client waits so long for the first token
	ended       time.Time     // its answer's last byte came, or its connection ended
	status      int           // 0: no answer came
	whole       bool          // its answer came to its end
	left        time.Time     // its client closed the connection, zero: it did not
	reused      bool          // its connection had served before
	generations [2]int        // of the router's process, before and after
}

// Limits of what clients do.
const (
	think       = 60 * time.Millisecond
	leaveShare  = 0.08
	giveUpAfter = 12 * time.Second // a client that has had nothing by then closes
	dialWait    = 500 * time.Millisecond
)

// client plays requests on one connection at a time.
type client struct {
	run    *deployment
	router int
	number int
	random *rand.Rand
	conn   net.Conn
	in     *bufio.Reader
	served int // requests on the connection
}

// clients are all of a run.
type clients struct {
	mu   sync.Mutex
	done []*sent
}

func (c *clients) add(s *sent) {
	c.mu.Lock()
	c.done = append(c.done, s)
	c.mu.Unlock()
}

// play sends requests until ctx ends, on connections that stay open for as long as the router lets them.
func (c *client) play(ctx context.Context, all *clients) {
	defer c.close()
	for n := 0; ctx.Err() == nil; n++ {
		pause := time.Duration(c.random.Int64N(int64(2 * think)))
		s := c.draw(n)
		leaves := time.Duration(0)
		if c.random.Float64() < leaveShare {
			leaves = time.Duration(1 + c.random.Int64N(int64(400*time.Millisecond)))
		}
		time.Sleep(pause)
		if !c.connect() {
			continue
		}
		c.do(s, leaves)
		if !s.at.IsZero() {
			all.add(s)
		}
	}
}

// draw makes the next request.
func (c *client) draw(n int) *sent {
	s := &sent{id: fmt.Sprintf("r%dc%dn%d", c.router, c.number, n), router: c.router, unsafe: c.random.IntN(2) == 0}
	s.wait = 1500*time.Millisecond + time.Duration(c.random.Int64N(int64(1400*time.Millisecond)))
	return s
}

// connect opens a connection where there is none, if the router wants new clients.
func (c *client) connect() bool {
	if c.conn != nil {
		return true
	}
	r := c.run.routers[c.router]
	if !r.admitted() {
		return false
	}
	conn, err := net.DialTimeout("tcp", r.address, dialWait)
	if err != nil {
		return false
	}
	c.conn, c.in, c.served = conn, bufio.NewReader(conn), 0
	return true
}

func (c *client) close() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// do plays one request to the end of its answer.
func (c *client) do(s *sent, leaves time.Duration) {
	r := c.run.routers[c.router]
	s.reused, s.generations[0] = c.served > 0, r.generation()
	defer func() { s.ended, s.generations[1] = time.Now(), r.generation() }()
	if _, err := io.WriteString(c.conn, c.text(s)); err != nil {
		c.close()
		return
	}
	s.at = time.Now()
	if leaves > 0 {
		conn := c.conn
		defer time.AfterFunc(leaves, func() {
			c.run.clients.mu.Lock()
			s.left = time.Now()
			c.run.clients.mu.Unlock()
			conn.Close()
		}).Stop()
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(giveUpAfter))
	res, err := http.ReadResponse(c.in, nil)
	if err != nil {
		c.close()
		return
	}
	s.status = res.StatusCode
	_, err = io.Copy(io.Discard, res.Body)
	s.whole = err == nil
	c.served++
	if err != nil || res.Close {
		c.close()
	}
}

// text is the request as it stands on the wire.
func (c *client) text(s *sent) string {
	class := "draft-reply"
	if s.unsafe {
		class = "send-message"
	}
	body := fmt.Sprintf(`{"model":"chat","stream":true,"max_tokens":9,"messages":[{"role":"user","content":"%s"}]}`, s.id)
	var head strings.Builder
	fmt.Fprintf(&head, "POST /v1/chat/completions HTTP/1.1\r\nHost: soak\r\nContent-Type: application/json\r\nX-Txn: %s\r\nX-Lane: %s\r\n", s.id, class)
	fmt.Fprintf(&head, "X-Entity: %016x\r\nX-Remaining-Ms: %d\r\n", c.number+1, s.wait.Milliseconds())
	fmt.Fprintf(&head, "X-Labels: prefix=%016x,prompt_len=40,prefix_len=20,max_out=9\r\nContent-Length: %d\r\n\r\n%s", s.id[1], len(body), body)
	return head.String()
}
