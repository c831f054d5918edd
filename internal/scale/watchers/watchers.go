// Package watchers stands for hundreds of routers at a discovery: each keeps a watch open, reads no more of a list than its
// version, and notes when that came and how many bytes it took.
package watchers

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	dialWait   = 5 * time.Second
	againAfter = 50 * time.Millisecond // a watch that broke is opened again
	lineStart  = 64                    // bytes of a line in which its version stands
	readBuffer = 8 << 10
)

// Group is watchers at one discovery.
type Group struct {
	address string
	each    []*watcher
	mu      sync.Mutex
	news    chan struct{} // closed and replaced whenever a watcher has something new
	stop    context.CancelFunc
	done    sync.WaitGroup
}

// watcher is one hollow router.
type watcher struct {
	group *Group
	bytes atomic.Int64
	mu    sync.Mutex
	seq   int64
	at    time.Time // when it had that
	conn  net.Conn
	// restarted says that what the old watch still brings counts no more.
	restarted bool
}

// Start starts so many watchers, which know the version after.
func Start(count int, address string, after int64) *Group {
	ctx, stop := context.WithCancel(context.Background())
	g := &Group{address: address, stop: stop, news: make(chan struct{})}
	for range count {
		w := &watcher{group: g, seq: after}
		g.each = append(g.each, w)
		g.done.Go(func() { w.run(ctx) })
	}
	return g
}

// Close ends all watches.
func (g *Group) Close() {
	g.stop()
	for _, w := range g.each {
		w.drop()
	}
	g.done.Wait()
}

// Restart has every watcher lose its watch and all that it knew, as if all routers started at once.
func (g *Group) Restart() {
	for _, w := range g.each {
		w.mu.Lock()
		w.seq, w.restarted = 0, true
		w.mu.Unlock()
		w.drop()
	}
}

// Wait waits until all watchers have a version, and returns when each of them had it or a later one.
func (g *Group) Wait(ctx context.Context, seq int64) ([]time.Time, error) {
	for {
		g.mu.Lock()
		news := g.news
		g.mu.Unlock()
		if all := g.having(seq); all != nil {
			return all, nil
		}
		select {
		case <-news:
		case <-ctx.Done():
			return nil, fmt.Errorf("version %d has not reached all watchers: %w", seq, ctx.Err())
		}
	}
}

// having returns when each watcher had its version, nil where one lacks seq.
func (g *Group) having(seq int64) []time.Time {
	all := make([]time.Time, 0, len(g.each))
	for _, w := range g.each {
		w.mu.Lock()
		has, at := w.seq, w.at
		w.mu.Unlock()
		if has < seq {
			return nil
		}
		all = append(all, at)
	}
	return all
}

// Bytes is what each watcher has received so far, above TCP.
func (g *Group) Bytes() []int64 {
	all := make([]int64, len(g.each))
	for i, w := range g.each {
		all[i] = w.bytes.Load()
	}
	return all
}

// run keeps a watch open until ctx ends.
func (w *watcher) run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := w.watch(ctx); err == nil || ctx.Err() != nil {
			continue
		}
		select {
		case <-time.After(againAfter):
		case <-ctx.Done():
		}
	}
}

// watch opens one watch and reads it to its end.
func (w *watcher) watch(ctx context.Context) error {
	conn, err := (&net.Dialer{Timeout: dialWait}).DialContext(ctx, "tcp", w.group.address)
	if err != nil {
		return err
	}
	defer conn.Close()
	w.mu.Lock()
	w.conn, w.restarted = conn, false
	seq := w.seq
	w.mu.Unlock()
	if ctx.Err() != nil { // Close has been before the connection was known
		return ctx.Err()
	}
	if _, err := fmt.Fprintf(conn, "GET /registry/instances?watch=1&after=%d HTTP/1.1\r\nHost: discovery\r\n\r\n", seq); err != nil {
		return err
	}
	response, err := http.ReadResponse(bufio.NewReaderSize(&counting{conn, &w.bytes}, readBuffer), nil)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", response.StatusCode)
	}
	return w.lines(bufio.NewReaderSize(response.Body, readBuffer))
}

// lines notes the version of each line.
func (w *watcher) lines(in *bufio.Reader) error {
	for {
		start, err := in.Peek(1)
		if err != nil {
			return err
		}
		if start[0] == '\n' { // a sign of life
			_, _ = in.Discard(1)
			continue
		}
		start, err = in.Peek(lineStart)
		if err != nil {
			return err
		}
		seq, err := version(start)
		if err != nil {
			return err
		}
		if err := skipLine(in); err != nil {
			return err
		}
		w.has(seq)
	}
}

// version reads the version that a line begins with.
func version(start []byte) (int64, error) {
	rest, ok := bytes.CutPrefix(start, []byte(`{"seq":`))
	end := bytes.IndexByte(rest, ',')
	if !ok || end < 0 {
		return 0, fmt.Errorf("no version in %q", start)
	}
	return strconv.ParseInt(string(rest[:end]), 10, 64)
}

// skipLine reads to the end of a line, however long.
func skipLine(in *bufio.Reader) error {
	for {
		_, err := in.ReadSlice('\n')
		if !errors.Is(err, bufio.ErrBufferFull) {
			return err
		}
	}
}

// has notes that a version has come whole.
func (w *watcher) has(seq int64) {
	w.mu.Lock()
	if w.restarted {
		w.mu.Unlock()
		return
	}
	w.seq, w.at = seq, time.Now()
	w.mu.Unlock()
	w.group.mu.Lock()
	close(w.group.news)
	w.group.news = make(chan struct{})
	w.group.mu.Unlock()
}

// drop ends the watch.
func (w *watcher) drop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.conn != nil {
		w.conn.Close()
	}
}

// counting counts what is read from a connection.
type counting struct {
	net.Conn
	bytes *atomic.Int64
}

func (c *counting) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}
