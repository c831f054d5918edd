package flood

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// Bounds on an ordinary client's request.
const (
	LostAfter    = 500 * time.Millisecond // past its time a request that has no final answer is lost
	giveUpAfter  = 1010 * time.Millisecond
	retiredAfter = 2 * time.Second // an idle connection of an ordinary client is not used again
)

// Ordinary describes the clients that are judged: they send at a constant rate, one request at a time on a connection, keep
// connections and open more where all are busy.
type Ordinary struct {
	Address    string
	Rate       float64 // requests per second
	Wait       time.Duration
	PromptSize int // bytes
	Name       string
}

// Outcomes counts requests of ordinary clients.
type Outcomes struct {
	Sent, Served, Refused, Failed int
	Lost                          int      // no final answer by their time and LostAfter
	Details                       []string // of those that were lost
	FirstBytes                    []time.Duration
}

// Median returns the median time to the first byte of those that were served.
func (o *Outcomes) Median() time.Duration {
	if len(o.FirstBytes) == 0 {
		return 0
	}
	slices.Sort(o.FirstBytes)
	return o.FirstBytes[len(o.FirstBytes)/2]
}

// String returns the counts on one line.
func (o *Outcomes) String() string {
	return fmt.Sprintf("%d sent, %d served, %d refused, %d failed, %d lost, first byte in the median %v", o.Sent, o.Served, o.Refused, o.Failed, o.Lost, o.Median())
}

// ordinaryClients are the clients of one run.
type ordinaryClients struct {
	Ordinary
	mu   sync.Mutex
	idle []idleConn
	Outcomes
}

type idleConn struct {
	net.Conn
	since time.Time
}

// RunOrdinary sends requests until ctx ends, waits for those in progress and returns the outcomes.
func RunOrdinary(ctx context.Context, o Ordinary) *Outcomes {
	c := &ordinaryClients{Ordinary: o}
	tick := time.NewTicker(time.Duration(float64(time.Second) / o.Rate))
	defer tick.Stop()
	var requests sync.WaitGroup
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			requests.Wait()
			c.closeIdle()
			return &c.Outcomes
		case <-tick.C:
		}
		requests.Go(func() { c.send(n) })
	}
}

func (c *ordinaryClients) closeIdle() {
	for _, conn := range c.idle {
		conn.Close()
	}
}

// send sends one request, on a new connection again if the router had closed the one that was kept, and counts its outcome.
func (c *ordinaryClients) send(n int) {
	id := fmt.Sprintf("%s%d", c.Name, n)
	began := time.Now()
	status, first, err := c.exchange(id, began, c.takeIdle())
	if err != nil && status == 0 && time.Since(began) < c.Wait { // it crossed the close
		if status2, first2, err2 := c.exchange(id, began, nil); status2 != 0 || err2 != nil {
			status, first, err = status2, first2, err2
		}
	}
	ended := time.Since(began)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.Sent++
	switch {
	case status == http.StatusOK && err == nil && first <= c.Wait+LostAfter:
		c.Served++
		c.FirstBytes = append(c.FirstBytes, first)
	case status == 0 || status == http.StatusOK || ended > c.Wait+LostAfter:
		c.Lost++
		c.Details = append(c.Details, fmt.Sprintf("%s: status %d first byte after %v, ended after %v of %v: %v", id, status, first, ended, c.Wait, err))
	case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
		c.Refused++
	default:
		c.Failed++
	}
}

// takeIdle returns a connection that was kept, nil if there is none.
func (c *ordinaryClients) takeIdle() net.Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.idle) > 0 {
		conn := c.idle[len(c.idle)-1]
		c.idle = c.idle[:len(c.idle)-1]
		if time.Since(conn.since) < retiredAfter {
			return conn.Conn
		}
		conn.Close()
	}
	return nil
}

// exchange sends a request and reads the whole answer. A status of 0 means that there was none.
func (c *ordinaryClients) exchange(id string, began time.Time, conn net.Conn) (status int, first time.Duration, err error) {
	if conn == nil {
		if conn, err = net.DialTimeout("tcp", c.Address, c.Wait); err != nil {
			return 0, 0, err
		}
	}
	_ = conn.SetDeadline(began.Add(c.Wait + giveUpAfter))
	left := c.Wait - time.Since(began)
	if _, err = io.WriteString(conn, Request(id, "draft-reply", int(left.Milliseconds()), c.PromptSize, 0)); err != nil {
		conn.Close()
		return 0, 0, err
	}
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		conn.Close()
		return 0, 0, err
	}
	first = time.Since(began)
	_ = conn.SetDeadline(began.Add(10 * c.Wait))
	_, err = io.Copy(io.Discard, res.Body)
	if err != nil || res.Close {
		conn.Close()
		return res.StatusCode, first, err
	}
	c.mu.Lock()
	c.idle = append(c.idle, idleConn{conn, time.Now()})
	c.mu.Unlock()
	return res.StatusCode, first, nil
}
