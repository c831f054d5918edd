package core

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/exec"
	"strings"
	"sync"
	"testing"
	"time"

	"rowanyard/decide"
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
	// The shell stops this process, and has it go on behind the deadlines.
	script := fmt.Sprintf("kill -STOP %d; sleep %f; kill -CONT %[1]d", os.Getpid(), (2 * left).Seconds())
	if out, err := exec.Command("sh", "-c", script).CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	all.Wait()
	waitSettled(t, c)
	if n := strings.Count(log.text.String(), "overdue"); n > 0 {
		t.Errorf("%d of %d requests were overdue", n, requests)
	}
}
