package delivery

import (
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"rowanyard/internal/scale/faultproxy"
)

const (
	receiveBuffer = 4 << 10  // bytes, of the peer's socket
	requestBytes  = 64 << 10 // more than the peer's system holds
)

// connect returns a connection, and its other end, whose system holds little of what comes before it is read.
func connect(t *testing.T) (here, there net.Conn) {
	t.Helper()
	l, err := faultproxy.ListenSmall(receiveBuffer)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	if here, err = net.Dial("tcp", l.Addr().String()); err != nil {
		t.Fatal(err)
	}
	if there, err = l.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { here.Close(); there.Close() })
	return here, there
}

// What a peer has not taken of an attempt is taken back as the connection ends. A call, such as a release, arrives all the same.
func TestOnlyAttemptsAreTakenBack(t *testing.T) {
	for kind, arrives := range map[Kind]bool{Attempt: false, Call: true} {
		here, there := connect(t)
		o := Outbound{Conn: here}
		o.Begin(Attempt) // an earlier request
		o.Begin(kind)
		if _, err := here.Write(make([]byte, requestBytes)); err != nil {
			t.Fatal(err)
		}
		if o.Progress() == Arrived {
			t.Errorf("kind %d: counts as arrived", kind)
		}
		o.End()
		here.Close()
		n, err := io.Copy(io.Discard, there)
		if (n == requestBytes) != arrives || o.TakenBack() == arrives {
			t.Errorf("kind %d: %d of %d bytes, %v, taken back %v", kind, n, requestBytes, err, o.TakenBack())
		}
	}
}

// A connection on which all has arrived ends in order, and one that another process continues too.
func TestArrivedAttemptEndsInOrder(t *testing.T) {
	for _, detached := range []bool{false, true} {
		here, there := connect(t)
		o := Outbound{Conn: here}
		o.Begin(Attempt)
		if _, err := here.Write([]byte("request")); err != nil {
			t.Fatal(err)
		}
		if _, err := io.ReadFull(there, make([]byte, len("request"))); err != nil {
			t.Fatal(err)
		}
		for n, ok := 1, true; ok && n > 0; n, ok = Unacknowledged(here) { // the acknowledgement may come late
		}
		if detached {
			o.Detach()
		} else {
			o.End()
		}
		here.Close()
		if n, err := there.Read(make([]byte, 1)); n != 0 || !errors.Is(err, io.EOF) {
			t.Errorf("detached %v: %d bytes, %v, want the end", detached, n, err)
		}
	}
}

// A request waits behind the answer to an attempt, and not behind the answer to a call.
func TestReuseDelayFollowsAttempts(t *testing.T) {
	here, _ := net.Pipe()
	defer here.Close()
	o := Outbound{Conn: here}
	o.Begin(Call)
	o.Answered()
	if d := o.ReuseDelay(); d != 0 {
		t.Errorf("%v behind a call", d)
	}
	o.Begin(Attempt)
	o.Answered()
	if d := o.ReuseDelay(); d <= 0 || d > SecondAnswerWindow {
		t.Errorf("%v behind an attempt", d)
	}
	o.attemptAnswered = time.Now().Add(-SecondAnswerWindow)
	if d := o.ReuseDelay(); d != 0 {
		t.Errorf("%v at the end of the window", d)
	}
}

// What a peer does not take at once is returned, whatever deadline is over.
func TestWriteNowDoesNotWait(t *testing.T) {
	here, there := connect(t)
	_ = here.SetWriteDeadline(time.Now().Add(-time.Second))
	const huge = 64 << 20
	rest, err := WriteNow(here, make([]byte, huge))
	if err != nil || len(rest) == 0 || len(rest) == huge {
		t.Fatalf("%d bytes left, %v", len(rest), err)
	}
	go io.Copy(io.Discard, there)
	const patient = time.Minute
	if err := Write(here, rest[:1<<20], patient); err != nil {
		t.Error(err)
	}
}
