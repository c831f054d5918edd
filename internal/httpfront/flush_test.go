package httpfront

// Each event of a stream must reach the client before the next one is sent. The worker sends an event only after the
// client has received the previous one, so that a buffered event stalls the test.

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// stepWorker reads every prompt at once and streams the pieces that a test provides.
type stepWorker struct {
	mu     sync.Mutex
	read   map[string]bool
	pieces map[string]chan string // by request id
}

func (s *stepWorker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	io.Copy(io.Discard, r.Body)
	if r.Method != http.MethodPost {
		return
	}
	id := r.Header.Get(headerTxn)
	s.mu.Lock()
	first := !s.read[id]
	s.read[id] = true
	pieces := s.pieces[id]
	s.mu.Unlock()
	if first {
		w.WriteHeader(http.StatusAccepted)
		io.WriteString(w, `{"cached_tokens":12}`)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for {
		select {
		case piece, more := <-pieces:
			if !more {
				return
			}
			io.WriteString(w, piece)
			http.NewResponseController(w).Flush()
		case <-r.Context().Done():
			return
		}
	}
}

func TestEachEventIsForwardedImmediately(t *testing.T) {
	const streams, rounds = 24, 6
	worker := &stepWorker{read: make(map[string]bool), pieces: make(map[string]chan string)}
	front, c := startFront(t, worker.ServeHTTP)
	ctx, stop := context.WithTimeout(t.Context(), time.Minute)
	defer stop()
	open := func(id string, first string) (io.ReadCloser, chan string) {
		h := requestHeader()
		h.Set(headerTxn, id)
		pieces := make(chan string, 1)
		worker.mu.Lock()
		worker.pieces[id] = pieces
		worker.mu.Unlock()
		pieces <- first
		req, _ := http.NewRequestWithContext(ctx, http.MethodPost, front.URL+PathChat, strings.NewReader(requestBody))
		req.Header = h
		res, err := http.DefaultClient.Do(req)
		if err != nil || res.StatusCode != http.StatusOK {
			t.Fatal(res, err)
		}
		return res.Body, pieces
	}
	expect := func(body io.Reader, text string) {
		got := make([]byte, len(text))
		if _, err := io.ReadFull(body, got); err != nil || string(got) != text {
			t.Errorf("%q instead of %q: %v", got, text, err)
		}
	}
	event := func(n int) string { return fmt.Sprintf("data: {\"n\": %d}\n\n", n) }
	// A client that reads nothing delays none of the others.
	slow, large := open("slow", event(0))
	defer slow.Close()
	slowClientDone := make(chan struct{})
	go func() {
		defer close(slowClientDone)
		for {
			select {
			case large <- strings.Repeat(event(1), 1<<10):
			case <-ctx.Done():
				return
			case <-t.Context().Done():
				return
			}
		}
	}()
	var all sync.WaitGroup
	for i := range streams {
		body, pieces := open(fmt.Sprintf("s%d", i), event(0))
		all.Go(func() {
			defer body.Close()
			expect(body, event(0))
			for n := 1; n < rounds; n++ {
				text := event(n)
				half := len(text) / 2
				if n%2 == 0 { // in pieces
					pieces <- text[:half]
					expect(body, text[:half])
					text = text[half:]
				}
				pieces <- text
				expect(body, text)
			}
			close(pieces)
			if rest, err := io.ReadAll(body); len(rest) > 0 || err != nil {
				t.Errorf("%q at the end: %v", rest, err)
			}
		})
	}
	all.Wait()
	stop()
	receive(t, slowClientDone, "the end of the slow client")
	slow.Close()
	waitForCore(t, c)
}
