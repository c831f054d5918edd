package faultproxy

import (
	"bufio"
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"
)

const (
	shortWait = 50 * time.Millisecond
	maxWait   = 20 * time.Second
)

// startEchoServer starts a server that sends back what it receives.
func startEchoServer(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() { defer c.Close(); io.Copy(c, c) }()
		}
	}()
	return l.Addr().String()
}

func startProxy(t *testing.T) *Proxy {
	t.Helper()
	p, err := Start(startEchoServer(t))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	return p
}

func dial(t *testing.T, p *Proxy) net.Conn {
	t.Helper()
	c, err := net.DialTimeout("tcp", p.Address(), maxWait)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c
}

// exchange writes a line and returns the line received within the given time.
func exchange(c net.Conn, line string, within time.Duration) (string, error) {
	if _, err := io.WriteString(c, line); err != nil {
		return "", err
	}
	_ = c.SetReadDeadline(time.Now().Add(within))
	return bufio.NewReader(c).ReadString('\n')
}

func TestForwards(t *testing.T) {
	c := dial(t, startProxy(t))
	if got, err := exchange(c, "a\n", maxWait); got != "a\n" {
		t.Errorf("%q, %v", got, err)
	}
}

// Bytes sent during a silence are lost. When it ends, the connection is reset and new ones work.
func TestSilenceDropsBytesAndEndsWithReset(t *testing.T) {
	p := startProxy(t)
	c := dial(t, p)
	exchange(c, "a\n", maxWait)
	p.Set(Silent)
	if got, err := exchange(c, "b\n", shortWait); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("%q, %v", got, err)
	}
	if n := p.LossyConnections(); n != 1 {
		t.Errorf("%d connections lost bytes, want 1", n)
	}
	p.Set(None)
	_ = c.SetReadDeadline(time.Now().Add(maxWait))
	if _, err := c.Read(make([]byte, 1)); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("connection not reset after the silence: %v", err)
	}
	if got, err := exchange(dial(t, p), "c\n", maxWait); got != "c\n" {
		t.Errorf("%q, %v", got, err)
	}
}

// A silence may begin in the middle of a message.
func TestSilenceWithinMessage(t *testing.T) {
	p := startProxy(t)
	c := dial(t, p)
	exchange(c, "a\n", maxWait)
	p.SetAfter(Silent, 2, 0)
	io.WriteString(c, "bcd\n")
	_ = c.SetReadDeadline(time.Now().Add(shortWait))
	if got, _ := io.ReadAll(c); len(got) != 0 { // responses are dropped too
		t.Errorf("%q came back", got)
	}
}

func TestUnreachable(t *testing.T) {
	p := startProxy(t)
	p.Set(Unreachable)
	for end := time.Now().Add(maxWait); ; { // some connections are established before the backlog is full
		c, err := net.DialTimeout("tcp", p.Address(), shortWait)
		if err != nil {
			break
		}
		c.Close()
		if time.Now().After(end) {
			t.Fatal("connections are still established")
		}
	}
	p.Set(None)
	if got, err := exchange(dial(t, p), "a\n", maxWait); got != "a\n" {
		t.Errorf("%q, %v", got, err)
	}
}

func TestRefuseAndReset(t *testing.T) {
	p := startProxy(t)
	c := dial(t, p)
	exchange(c, "a\n", maxWait)
	p.Set(Refused)
	if refused, err := net.DialTimeout("tcp", p.Address(), maxWait); err == nil { // otherwise it was reset before Dial returned
		defer refused.Close()
		if got, err := exchange(refused, "b\n", maxWait); err == nil {
			t.Errorf("answered %q", got)
		}
	}
	if got, err := exchange(c, "c\n", maxWait); got != "c\n" {
		t.Errorf("open connection: %q, %v", got, err)
	}
	p.Reset()
	if got, err := exchange(c, "d\n", maxWait); err == nil {
		t.Errorf("answered %q after a reset", got)
	}
}

// SilenceOpen silences open connections; new ones to the same server work.
func TestSilenceOpenAffectsOnlyOpenConnections(t *testing.T) {
	p := startProxy(t)
	old := dial(t, p)
	exchange(old, "a\n", maxWait)
	p.SilenceOpen()
	if got, err := exchange(old, "b\n", shortWait); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("%q, %v", got, err)
	}
	if got, err := exchange(dial(t, p), "c\n", maxWait); got != "c\n" {
		t.Errorf("new connection: %q, %v", got, err)
	}
}
