package httpfront

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"
)

// scarce is a listener and a dialer with so many descriptors left.
type scarce struct {
	net.Listener
	left int
}

func (s *scarce) take() (net.Conn, error) {
	if s.left--; s.left < 0 {
		s.left = 0
		return nil, &net.OpError{Op: "socket", Err: syscall.EMFILE}
	}
	c, _ := net.Pipe()
	return c, nil
}

func (s *scarce) Accept() (net.Conn, error)                              { return s.take() }
func (s *scarce) dial(context.Context, string, string) (net.Conn, error) { return s.take() }
func (s *scarce) broken(context.Context, string, string) (net.Conn, error) {
	return nil, syscall.ECONNREFUSED
}

// Who needs a descriptor where there is none gets one that is freed for it; where none can be, or the failure is another,
// it hears so.
func TestDescriptorsAreFreedForWhoNeedsThem(t *testing.T) {
	s, idle := &scarce{}, 2
	var d Descriptors
	if _, err := d.dialing(s.dial)(t.Context(), "", ""); !errors.Is(err, syscall.EMFILE) {
		t.Errorf("nobody can free one: %v", err)
	}
	d.From(func() bool {
		if idle == 0 {
			return false
		}
		idle--
		s.left++
		return true
	})
	if _, err := d.dialing(s.broken)(t.Context(), "", ""); !errors.Is(err, syscall.ECONNREFUSED) || idle != 2 {
		t.Errorf("%v, %d idle ones left: another failure frees none", err, idle)
	}
	if _, err := d.dialing(s.dial)(t.Context(), "", ""); err != nil || idle != 1 {
		t.Errorf("a dial: %v, %d idle ones left", err, idle)
	}
	if _, err := d.Listener(s).Accept(); err != nil || idle != 0 {
		t.Errorf("an accept: %v, %d idle ones left", err, idle)
	}
	if _, err := d.Listener(s).Accept(); !errors.Is(err, syscall.EMFILE) {
		t.Errorf("nothing is left: %v", err)
	}
}

// Idle clients make room, one at work never does.
func TestShedClosesIdleClientsOnly(t *testing.T) {
	h := newHolding(t)
	f, _ := patient(t, h.Addr().String())
	if f.Shed() {
		t.Error("shed before there was a client")
	}
	addr := listening(t, f, 10)
	dial(t, addr, patiently(message("busy", length(bodyText), bodyText)))
	receive(t, h.came, "the busy request at its worker")
	idle := dial(t, addr, "GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n")
	in := bufio.NewReader(idle)
	if res, err := http.ReadResponse(in, nil); err != nil || res.StatusCode != 200 {
		t.Fatal(res, err)
	}
	for end := time.Now().Add(20 * time.Second); !f.Shed(); { // it has to have been idle for a moment
		if time.Now().After(end) {
			t.Fatal("the idle one stays")
		}
	}
	if _, err := in.ReadByte(); err == nil {
		t.Error("the idle one is open")
	}
	if f.Shed() || len(h.ended) > 0 {
		t.Error("the one at work was shed")
	}
}
