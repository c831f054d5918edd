package core

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"os"
	"os/exec"
	"strings"
	"sync"
	"testing"
	"time"

	"rowanyard/decide"
	"rowanyard/internal/invariant"
)

// lockedBuffer is a buffer for the log of several goroutines.
type lockedBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write implements io.Writer.
func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

// holdUp has the shell stop this process, and lets it go on after the given time.
func holdUp(t *testing.T, d time.Duration) {
	t.Helper()
	script := fmt.Sprintf("kill -STOP %d; sleep %f; kill -CONT %[1]d", os.Getpid(), d.Seconds())
	if out, err := exec.Command("sh", "-c", script).CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
}

// The process is held up while the first tokens of many requests and the cancellations of their attempts, whose workers are silent,
// become due together. No client is given a stream that this router has cancelled.
func TestFirstTokensBesideCancellationsWhereTheProcessWasHeldUp(t *testing.T) {
	const (
		requests = 400
		rounds   = 3
		silence  = 350 * time.Millisecond // after which the module gives up a worker, by settings
		spread   = 20 * time.Millisecond
	)
	for range rounds {
		var written sync.WaitGroup
		written.Add(requests)
		s := &scriptedTransport{try: func(ctx context.Context, a Attempt) Result {
			switch {
			case a.Read:
				return Result{Status: decide.Read}
			case a.Number > 1:
				return Result{Stream: ctx}
			}
			wait := silence - spread + time.Duration(rand.Int64N(int64(2*spread)))
			written.Done()
			select {
			case <-time.After(wait):
				return Result{Stream: ctx}
			case <-ctx.Done():
				return Result{Status: decide.Cancelled}
			}
		}}
		c := newTestCore(t, s, "w", "w2")
		var all sync.WaitGroup
		for range requests {
			all.Go(func() {
				answer := c.Serve(context.Background(), newRequest(safeClass, 5*time.Second), s)
				if answer.Verdict != Streaming {
					return
				}
				stream := answer.Stream.(context.Context)
				select {
				case <-stream.Done():
					t.Errorf("a client was given a stream that was cancelled: %v", context.Cause(stream))
				case <-time.After(spread):
				}
				answer.StreamEnded(decide.Served, nil)
			})
		}
		written.Wait()
		time.Sleep(silence / 2)
		holdUp(t, silence)
		all.Wait()
		waitSettled(t, c)
	}
}

// The process is held up through the deadlines of many requests, so that the module's timers and those of the requests are due
// together. The module gives the answers, whichever timers come first.
func TestRequestsAreNotOverdueWhereTheProcessWasHeldUp(t *testing.T) {
	const requests, left = 1000, 100 * time.Millisecond
	attempts := make(chan bool, 4*requests)
	s := &scriptedTransport{try: func(ctx context.Context, _ Attempt) Result {
		attempts <- true
		<-ctx.Done()
		return Result{Status: decide.TimedOut}
	}}
	c := newTestCore(t, s, "w")
	log := &lockedBuffer{}
	c.log = slog.New(slog.NewTextHandler(log, nil))
	var all sync.WaitGroup
	for range requests {
		all.Go(func() { c.Serve(context.Background(), newRequest(unsafeClass, left), s) })
	}
	<-attempts
	holdUp(t, 2*left)
	all.Wait()
	waitSettled(t, c)
	if n := strings.Count(log.text.String(), "overdue"); n > 0 {
		t.Errorf("%d of %d requests were overdue", n, requests)
	}
}

// The process is held up from before a state's limit until behind the guard's. The module, whose timer is late, releases the state, and
// the guard counts nothing.
func TestGuardCountsNoLatenessOfItsOwn(t *testing.T) {
	s := &scriptedTransport{try: hangingWrites}
	c := newTestCore(t, s, "w")
	client, leave := context.WithCancel(t.Context())
	go c.Serve(client, newRequest(unsafeClass, time.Minute), s)
	for written := false; !written; {
		s.mu.Lock()
		written = len(s.tries) > 1
		s.mu.Unlock()
	}
	holdUp(t, settings.PinLimit+2*pinLimitGrace)
	ctx, stop := context.WithTimeout(t.Context(), time.Minute)
	defer stop()
	for released := false; !released && ctx.Err() == nil; {
		s.mu.Lock()
		released = len(s.released) > 0
		s.mu.Unlock()
	}
	if n := violations(c, invariant.Closing); n != 0 || ctx.Err() != nil {
		t.Errorf("%d violations, %v", n, ctx.Err())
	}
	leave()
	waitSettled(t, c)
}
