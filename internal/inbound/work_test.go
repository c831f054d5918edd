package inbound

import (
	"io"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

const turnTime = time.Millisecond

// flood has clients take turns of turnTime without end until stop is set, and counts their turns.
func flood(w *Work, clients int, stop *atomic.Bool, useful bool) *atomic.Int64 {
	turns := new(atomic.Int64)
	for range clients {
		c := w.NewClient()
		go func() {
			for !stop.Load() {
				c.Begin()
				time.Sleep(turnTime)
				turns.Add(1)
				c.End()
				if useful {
					c.Useful()
				}
			}
		}()
	}
	return turns
}

// However many connections have input at all times, it takes no more than its share of the core.
func TestInputTakesNoMoreThanItsShare(t *testing.T) {
	for _, clients := range []int{1, 12, 400} {
		synctest.Test(t, func(t *testing.T) {
			var stop atomic.Bool
			const span = time.Second
			turns := flood(NewWork(1), clients, &stop, true)
			time.Sleep(span)
			used := time.Duration(turns.Load()) * turnTime
			if most := time.Duration(inputShare*float64(span)) + inputBurst + turnTime; used > most || used < most/2 {
				t.Errorf("%d connections: %v of %v", clients, used, span)
			}
			stop.Store(true)
			time.Sleep(time.Minute)
		})
	}
}

// A connection that has used little waits for a turn or two, not for a round of all others.
func TestCalmConnectionGoesAheadOfFloods(t *testing.T) {
	for _, useful := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			var stop atomic.Bool
			w := NewWork(1)
			flood(w, 400, &stop, useful)
			time.Sleep(5 * time.Second)
			c := w.NewClient()
			asked := time.Now()
			c.Begin()
			if waited := time.Since(asked); waited > 10*turnTime {
				t.Errorf("waited for %v", waited)
			}
			c.End()
			stop.Store(true)
			time.Sleep(time.Minute)
		})
	}
}

// A connection whose input leads to nothing may use a small share of the core, even if nobody else needs it, and each of its
// requests still gets its turn within a second.
func TestFruitlessInputIsSlowedDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var stop atomic.Bool
		const span = 10 * time.Second
		turns := flood(NewWork(1), 1, &stop, false)
		time.Sleep(span)
		most := time.Duration(fruitlessShare*float64(span)) + fruitlessBurst + turnTime
		if used := time.Duration(turns.Load()) * turnTime; used > most || turns.Load() < int64(span/time.Second) {
			t.Errorf("%v of %v, %d turns", used, span, turns.Load())
		}
		stop.Store(true)
		time.Sleep(time.Minute)
	})
}

// A turn that is not ended keeps the others waiting for a bounded time.
func TestTurnThatDoesNotEndBlocksNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := NewWork(1)
		w.NewClient().Begin()
		asked := time.Now()
		w.NewClient().Begin()
		if waited := time.Since(asked); waited > 2*maxTurn {
			t.Errorf("waited for %v", waited)
		}
	})
}

// A connection that is closed or interrupted does not wait for its turn.
func TestClosedConnectionDoesNotWait(t *testing.T) {
	for name, end := range map[string]func(*Client){"closed": (*Client).Close, "interrupted": func(c *Client) { c.Interrupt(true) }} {
		synctest.Test(t, func(t *testing.T) {
			w := NewWork(1)
			w.NewClient().Begin()
			c, asked := w.NewClient(), time.Now()
			time.AfterFunc(time.Millisecond, func() { end(c) })
			if began := c.Begin(); began || time.Since(asked) != time.Millisecond {
				t.Errorf("%s: %v after %v", name, began, time.Since(asked))
			}
			if c.Begin() {
				t.Errorf("%s: got a turn later", name)
			}
		})
	}
}

// Input that waits for its turn is not held against its sender: the time does not count against the connection's deadline.
func TestWaitForATurnIsNoSilence(t *testing.T) {
	sender, conn := tcpPair(t)
	w := NewWork(1)
	reader := NewReader(conn, w.NewClient())
	sender.Write([]byte("a"))
	other := w.NewClient()
	other.Begin()
	const deadline = 5 * time.Millisecond // less than maxTurn, for which the first read has to wait
	_ = conn.SetReadDeadline(time.Now().Add(deadline))
	if n, seenAt, err := reader.Next(make([]byte, 9), true); n != 1 || err != nil || seenAt.IsZero() {
		t.Fatalf("%d bytes, seen at %v, %v", n, seenAt, err)
	}
	go sender.Write([]byte("b"))
	if n, _, err := reader.Next(make([]byte, 9), true); n != 1 || err != nil {
		t.Errorf("%d bytes, %v, want the second one", n, err)
	}
}

// An answer that is followed by a close reaches a client that goes on sending.
func TestLastAnswerArrivesBeforeTheClose(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	linger := &Lingerer{Work: NewWork(1), Max: 4}
	const answer = "answer"
	for range 20 {
		client, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		client.Write(make([]byte, 100))
		conn, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		conn.Write([]byte(answer))
		linger.Close(conn, nil, nil)
		client.Write(make([]byte, 100))
		text := make([]byte, 99)
		if n, err := client.Read(text); string(text[:n]) != answer {
			t.Errorf("%q %v", text[:n], err)
		}
		client.Close()
	}
	linger.Wait(t.Context())
}

// Of more connections than may linger, those are ended first whose clients have their answers, and none holds its descriptor any
// more.
func TestLingeringConnectionsAreBounded(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	linger := &Lingerer{Work: NewWork(1), Max: 100}
	const most, lingerers = 3, 10
	linger.SetLimit(most)
	pair := func() (client, conn net.Conn) {
		client, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { client.Close() })
		if conn, err = l.Accept(); err != nil {
			t.Fatal(err)
		}
		return client, conn
	}
	const huge = 64 << 20
	owed, conn := pair()
	lost := make(chan error, 1)
	linger.Close(conn, make([]byte, huge), func(err error) { lost <- err }) // its client does not read it yet
	for range lingerers {
		_, conn := pair()
		linger.Close(conn, []byte("answer"), func(err error) { t.Error("a client that has its answer:", err) })
	}
	linger.mu.Lock()
	n := len(linger.conns)
	linger.mu.Unlock()
	if n > most {
		t.Errorf("%d connections linger", n)
	}
	read, err := io.Copy(io.Discard, owed)
	if read != huge || err != nil || len(lost) > 0 {
		t.Errorf("%d bytes of the answer that was owed, %v", read, err)
	}
}

// What all hold together stays under the limit, and what was released can't be held again.
func TestMemoryIsBounded(t *testing.T) {
	m := &Memory{}
	m.SetLimit(100)
	a, b := m.NewHolding(), m.NewHolding()
	if !a.Resize(60) || b.Resize(41) || !b.Resize(40) || m.Used() != 100 {
		t.Errorf("%d held", m.Used())
	}
	a.Release()
	if a.Resize(1) || m.Used() != 40 {
		t.Errorf("%d held after the release", m.Used())
	}
}

// Connections that come anew all the time, and have used nothing, do not keep one that has used a little from its turn.
func TestNewcomersKeepNobodyFromItsTurn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const newcomers, most = 80, 500 * time.Millisecond
		var stop atomic.Bool
		w := NewWork(1)
		regular := w.NewClient()
		regular.Begin()
		time.Sleep(turnTime)
		regular.End()
		regular.Useful()
		for range newcomers {
			go func() {
				for !stop.Load() {
					c := w.NewClient()
					c.Begin()
					time.Sleep(turnTime)
					c.End()
					c.Close()
				}
			}()
		}
		synctest.Wait()
		asked, done := time.Now(), make(chan bool)
		go func() {
			regular.Begin()
			close(done)
		}()
		select {
		case <-done:
		case <-time.After(10 * most):
		}
		if waited := time.Since(asked); waited > most {
			t.Errorf("waited for %v behind %d newcomers", waited, newcomers)
		}
		stop.Store(true)
		time.Sleep(time.Minute)
	})
}
