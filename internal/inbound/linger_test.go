package inbound

import (
	"net"
	"runtime"
	"testing"
	"time"
)

// tcpPair returns both sides of a connection.
func tcpPair(t *testing.T) (peer, side net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	if peer, err = net.Dial("tcp", l.Addr().String()); err != nil {
		t.Fatal(err)
	}
	if side, err = l.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { peer.Close(); side.Close() })
	return peer, side
}

// The end of one wait of a connection that lingers does not interrupt its next wait.
func TestEndOfOneWaitDoesNotInterruptTheNext(t *testing.T) {
	const waits, yields = 3000, 50
	_, side := tcpPair(t)
	lingers := &lingering{Conn: side, client: NewBudgets(1, 1<<20).NewClient()}
	for i := range waits {
		lingers.discard(time.Duration(i%yields) * time.Microsecond)
		lingers.client.Interrupt(false) // as the next wait does first
		for range i % yields {
			runtime.Gosched()
		}
		if lingers.client.Interrupted() {
			t.Fatalf("wait %d: the next one is interrupted", i)
		}
	}
}

// A read that is interrupted ends, also if time is owed for waits for turns.
func TestInterruptedReadIsNotExtended(t *testing.T) {
	_, side := tcpPair(t)
	client := NewBudgets(1, 1<<20).NewClient()
	reader := NewReader(side, client)
	reader.waited = time.Minute
	extended := false
	reader.Extend = func(time.Duration) { extended = true }
	client.Interrupt(true)
	_ = side.SetReadDeadline(time.Unix(1, 0))
	if _, err := reader.Read(make([]byte, 1)); err == nil || extended {
		t.Errorf("%v, extended %v", err, extended)
	}
}
