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

// limitedDescriptors is a listener and a dialer with a limited number of descriptors.
type limitedDescriptors struct {
	net.Listener
	left int
}

func (s *limitedDescriptors) open() (net.Conn, error) {
	if s.left--; s.left < 0 {
		s.left = 0
		return nil, &net.OpError{Op: "socket", Err: syscall.EMFILE}
	}
	c, _ := net.Pipe()
	return c, nil
}

func (s *limitedDescriptors) Accept() (net.Conn, error)                              { return s.open() }
func (s *limitedDescriptors) dial(context.Context, string, string) (net.Conn, error) { return s.open() }
func (s *limitedDescriptors) refuse(context.Context, string, string) (net.Conn, error) {
	return nil, syscall.ECONNREFUSED
}

// Without a free descriptor, dials and accepts use one that is reclaimed. If none can be, or the failure has another
// cause, the error is returned.
func TestDescriptorsAreReclaimedOnDialAndAccept(t *testing.T) {
	s, idle := &limitedDescriptors{}, 2
	var d DescriptorSource
	if _, err := d.wrapDial(s.dial)(t.Context(), "", ""); !errors.Is(err, syscall.EMFILE) {
		t.Errorf("dial without a reclaim function: %v", err)
	}
	d.SetReclaim(func() bool {
		if idle == 0 {
			return false
		}
		idle--
		s.left++
		return true
	})
	if _, err := d.wrapDial(s.refuse)(t.Context(), "", ""); !errors.Is(err, syscall.ECONNREFUSED) || idle != 2 {
		t.Errorf("dial with another failure: %v, %d idle connections left", err, idle)
	}
	if _, err := d.wrapDial(s.dial)(t.Context(), "", ""); err != nil || idle != 1 {
		t.Errorf("dial: %v, %d idle connections left", err, idle)
	}
	if _, err := d.Listener(s).Accept(); err != nil || idle != 0 {
		t.Errorf("accept: %v, %d idle connections left", err, idle)
	}
	if _, err := d.Listener(s).Accept(); !errors.Is(err, syscall.EMFILE) {
		t.Errorf("accept with no idle connection left: %v", err)
	}
}

// Idle client connections are closed for their descriptors, busy ones never.
func TestOnlyIdleClientsAreClosedForDescriptors(t *testing.T) {
	h := newUnresponsiveWorker(t)
	f, _ := newPatientFront(t, h.Addr().String())
	if f.CloseIdleClient() {
		t.Error("closed a client before there was one")
	}
	addr := serveOnTCP(t, f, 10)
	dialAndSend(t, addr, withLongDeadline(requestText("busy", contentLength(requestBody), requestBody)))
	receive(t, h.requests, "the busy request at its worker")
	idle := dialAndSend(t, addr, "GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n")
	in := bufio.NewReader(idle)
	if res, err := http.ReadResponse(in, nil); err != nil || res.StatusCode != 200 {
		t.Fatal(res, err)
	}
	for end := time.Now().Add(20 * time.Second); !f.CloseIdleClient(); { // only connections idle for a moment are closed
		if time.Now().After(end) {
			t.Fatal("the idle client is not closed")
		}
	}
	if _, err := in.ReadByte(); err == nil {
		t.Error("the idle client's connection is open")
	}
	if f.CloseIdleClient() || len(h.closed) > 0 {
		t.Error("the busy client was closed")
	}
}
