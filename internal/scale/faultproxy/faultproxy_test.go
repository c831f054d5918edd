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
	soon = 50 * time.Millisecond
	long = 20 * time.Second
)

// echo is a server that sends back what it gets.
func echo(t *testing.T) string {
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

func proxied(t *testing.T) *Proxy {
	t.Helper()
	p, err := Start(echo(t))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	return p
}

func dial(t *testing.T, p *Proxy) net.Conn {
	t.Helper()
	c, err := net.DialTimeout("tcp", p.Address(), long)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c
}

// says writes a line and returns what comes back within the time.
func says(c net.Conn, line string, within time.Duration) (string, error) {
	if _, err := io.WriteString(c, line); err != nil {
		return "", err
	}
	_ = c.SetReadDeadline(time.Now().Add(within))
	return bufio.NewReader(c).ReadString('\n')
}

func TestPassesOn(t *testing.T) {
	c := dial(t, proxied(t))
	if got, err := says(c, "a\n", long); got != "a\n" {
		t.Errorf("%q, %v", got, err)
	}
}

// What is sent into a silence is gone; when it ends, the connection is reset and a new one serves.
func TestSilenceSwallowsAndEndsWithAReset(t *testing.T) {
	p := proxied(t)
	c := dial(t, p)
	says(c, "a\n", long)
	p.Set(Silent)
	if got, err := says(c, "b\n", soon); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("%q, %v", got, err)
	}
	if n := p.Swallowed(); n != 1 {
		t.Errorf("%d connections lost bytes, want 1", n)
	}
	p.Set(None)
	_ = c.SetReadDeadline(time.Now().Add(long))
	if _, err := c.Read(make([]byte, 1)); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("not reset: %v", err)
	}
	if got, err := says(dial(t, p), "c\n", long); got != "c\n" {
		t.Errorf("%q, %v", got, err)
	}
}

// A silence may begin inside a message.
func TestSilenceInsideAMessage(t *testing.T) {
	p := proxied(t)
	c := dial(t, p)
	says(c, "a\n", long)
	p.SetAfter(Silent, 2, 0)
	io.WriteString(c, "bcd\n")
	_ = c.SetReadDeadline(time.Now().Add(soon))
	if got, _ := io.ReadAll(c); len(got) != 0 { // answers are swallowed too
		t.Errorf("%q came back", got)
	}
}

func TestNeverUp(t *testing.T) {
	p := proxied(t)
	p.Set(NeverUp)
	for end := time.Now().Add(long); ; { // those that came up before the backlog was full
		c, err := net.DialTimeout("tcp", p.Address(), soon)
		if err != nil {
			break
		}
		c.Close()
		if time.Now().After(end) {
			t.Fatal("connections still come up")
		}
	}
	p.Set(None)
	if got, err := says(dial(t, p), "a\n", long); got != "a\n" {
		t.Errorf("%q, %v", got, err)
	}
}

func TestRefusedAndReset(t *testing.T) {
	p := proxied(t)
	c := dial(t, p)
	says(c, "a\n", long)
	p.Set(Refused)
	if refused, err := net.DialTimeout("tcp", p.Address(), long); err == nil { // else it was reset before that
		defer refused.Close()
		if got, err := says(refused, "b\n", long); err == nil {
			t.Errorf("answered %q", got)
		}
	}
	if got, err := says(c, "c\n", long); got != "c\n" {
		t.Errorf("an open connection: %q, %v", got, err)
	}
	p.Reset()
	if got, err := says(c, "d\n", long); err == nil {
		t.Errorf("answered %q after a reset", got)
	}
}

// Connections may fall silent one by one: new ones to the same server serve.
func TestMuteTouchesOpenConnectionsOnly(t *testing.T) {
	p := proxied(t)
	old := dial(t, p)
	says(old, "a\n", long)
	p.Mute()
	if got, err := says(old, "b\n", soon); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("%q, %v", got, err)
	}
	if got, err := says(dial(t, p), "c\n", long); got != "c\n" {
		t.Errorf("a new connection: %q, %v", got, err)
	}
}
