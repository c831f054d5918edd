package faultproxy

import (
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

const streamEvents = "data: 1\n\ndata: 2\n\n"

// startStreamServer starts a server that answers with a stream of two events, behind a proxy.
func startStreamServer(t *testing.T) *Proxy {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", streamType)
		for event := range strings.SplitAfterSeq(streamEvents, "\n\n") {
			io.WriteString(w, event)
			_ = http.NewResponseController(w).Flush()
		}
	}))
	t.Cleanup(server.Close)
	p, err := Start(server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	p.RecordAnswers()
	return p
}

// An answer whose end comes in an unusual way has all of its events, and is whole unless it is cut off.
func TestUnusualEnds(t *testing.T) {
	for _, fault := range UnusualEnds {
		for choice := range uint(2 * len(trailerEnd) * int(breakCount)) {
			if fault != EndCutOff && choice > 1 {
				break
			}
			p := startStreamServer(t)
			p.SetAnswers(func() SpoiltAnswer { return SpoiltAnswer{Fault: fault, Delay: time.Millisecond, Choice: choice} })
			client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
			request, _ := http.NewRequest(http.MethodGet, "http://"+p.Address(), nil)
			res, err := client.Do(request)
			if err != nil {
				t.Fatal(err)
			}
			text := make([]byte, len(streamEvents))
			if _, err := io.ReadFull(res.Body, text); string(text) != streamEvents && !errors.Is(err, io.ErrUnexpectedEOF) && !isReset(err) {
				t.Errorf("fault %d, choice %d: %q %v", fault, choice, text, err)
			}
			go func() { // ends a silence
				if fault == EndCutOff {
					time.Sleep(shortWait)
					p.Reset()
				}
			}()
			rest, err := io.ReadAll(res.Body)
			res.Body.Close()
			if whole := fault != EndCutOff; (err == nil) != whole || strings.Contains(string(rest), "data") {
				t.Errorf("fault %d, choice %d: %q %v", fault, choice, rest, err)
			}
			answers := p.Answers()
			if len(answers) != 1 || len(answers[0].Pieces) == 0 {
				t.Errorf("fault %d: recorded %v", fault, answers)
			}
			if fault == EndCutOff && answers[0].EndedAt.IsZero() {
				t.Errorf("choice %d: no end in the record", choice)
			}
		}
	}
}

func isReset(err error) bool {
	var network *net.OpError
	return errors.As(err, &network)
}

// A reset ends an answer that is held back, and its record says when.
func TestResetEndsHeldAnswer(t *testing.T) {
	p := startStreamServer(t)
	p.SetAnswers(func() SpoiltAnswer { return SpoiltAnswer{Fault: EventLate, Delay: time.Hour} })
	res, err := http.Get("http://" + p.Address())
	if err != nil {
		t.Fatal(err)
	}
	p.Reset()
	_, _ = io.Copy(io.Discard, res.Body)
	p.Close()
	answers := p.Answers()
	if len(answers) != 1 || answers[0].EndedAt.IsZero() || answers[0].ClientEnded {
		t.Fatalf("recorded %v", answers)
	}
	for _, piece := range answers[0].Pieces {
		if piece.At.After(answers[0].EndedAt) {
			t.Errorf("recorded %v, which did not pass", piece)
		}
	}
}

// The record of an answer says whether its client has ended the connection, or the server.
func TestRecordSaysWhoEndedAnAnswer(t *testing.T) {
	for _, byClient := range []bool{false, true} {
		broken, ended := make(chan struct{}), make(chan struct{})
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Content-Type", streamType)
			io.WriteString(w, "data: 1\n\n")
			_ = http.NewResponseController(w).Flush()
			select {
			case <-broken:
			case <-r.Context().Done():
			}
			close(ended)
			panic(http.ErrAbortHandler)
		}))
		p, err := Start(server.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		p.RecordAnswers()
		res, err := http.Get("http://" + p.Address())
		if err != nil {
			t.Fatal(err)
		}
		if byClient {
			res.Body.Close()
		} else {
			close(broken)
			_, _ = io.Copy(io.Discard, res.Body)
		}
		<-ended
		p.Close()
		server.Close()
		if answers := p.Answers(); len(answers) != 1 || answers[0].EndedAt.IsZero() || answers[0].ClientEnded != byClient {
			t.Errorf("by the client %v: recorded %+v", byClient, answers)
		}
	}
}
