// Package watchers simulates hundreds of routers that watch the list of workers at discovery. Each watcher keeps a
// watch open, parses nothing of an update but its version, and records when it arrived and how many bytes were
// received.
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
	dialTimeout     = 5 * time.Second
	reconnectDelay  = 50 * time.Millisecond // a watch that ended is opened again after this
	versionBytes    = 64                    // the version of an update lies within so many bytes of its line
	readBufferBytes = 8 << 10
)

// Group is a set of watchers at one discovery service.
type Group struct {
	address    string
	watchers   []*watcher
	mu         sync.Mutex
	updated    chan struct{} // closed and replaced whenever a watcher has received a version
	stop       context.CancelFunc
	goroutines sync.WaitGroup
}

// watcher simulates the watch of one router.
type watcher struct {
	group      *Group
	bytes      atomic.Int64
	mu         sync.Mutex
	seq        int64
	receivedAt time.Time // when seq arrived
	conn       net.Conn
	// restarted is true from Restart until the next watch is open. What the old watch still receives is ignored.
	restarted bool
}

// Start starts count watchers whose first watch begins after the version after.
func Start(count int, address string, after int64) *Group {
	ctx, stop := context.WithCancel(context.Background())
	g := &Group{address: address, stop: stop, updated: make(chan struct{})}
	for range count {
		w := &watcher{group: g, seq: after}
		g.watchers = append(g.watchers, w)
		g.goroutines.Go(func() { w.run(ctx) })
	}
	return g
}

// Close ends all watches and waits until they have ended.
func (g *Group) Close() {
	g.stop()
	for _, w := range g.watchers {
		w.disconnect()
	}
	g.goroutines.Wait()
}

// Restart makes every watcher drop its watch and forget its version, as if all routers restarted at once.
func (g *Group) Restart() {
	for _, w := range g.watchers {
		w.mu.Lock()
		w.seq, w.restarted = 0, true
		w.mu.Unlock()
		w.disconnect()
	}
}

// Wait waits until all watchers have received version seq or a later one, and returns when each of them received its
// latest version.
func (g *Group) Wait(ctx context.Context, seq int64) ([]time.Time, error) {
	for {
		g.mu.Lock()
		updated := g.updated
		g.mu.Unlock()
		if all := g.receiveTimes(seq); all != nil {
			return all, nil
		}
		select {
		case <-updated:
		case <-ctx.Done():
			return nil, fmt.Errorf("version %d did not reach all watchers: %w", seq, ctx.Err())
		}
	}
}

// receiveTimes returns when each watcher received its latest version, or nil if one of them has a version before seq.
func (g *Group) receiveTimes(seq int64) []time.Time {
	all := make([]time.Time, 0, len(g.watchers))
	for _, w := range g.watchers {
		w.mu.Lock()
		version, receivedAt := w.seq, w.receivedAt
		w.mu.Unlock()
		if version < seq {
			return nil
		}
		all = append(all, receivedAt)
	}
	return all
}

// Bytes returns how many bytes each watcher has received so far, above TCP.
func (g *Group) Bytes() []int64 {
	all := make([]int64, len(g.watchers))
	for i, w := range g.watchers {
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
		case <-time.After(reconnectDelay):
		case <-ctx.Done():
		}
	}
}

// watch opens a watch and reads it until it ends.
func (w *watcher) watch(ctx context.Context) error {
	conn, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", w.group.address)
	if err != nil {
		return err
	}
	defer conn.Close()
	w.mu.Lock()
	w.conn, w.restarted = conn, false
	seq := w.seq
	w.mu.Unlock()
	if ctx.Err() != nil { // Close ran before w.conn was set
		return ctx.Err()
	}
	if _, err := fmt.Fprintf(conn, "GET /registry/instances?watch=1&after=%d HTTP/1.1\r\nHost: discovery\r\n\r\n", seq); err != nil {
		return err
	}
	response, err := http.ReadResponse(bufio.NewReaderSize(&countingConn{conn, &w.bytes}, readBufferBytes), nil)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("discovery returned status %d", response.StatusCode)
	}
	return w.readVersions(bufio.NewReaderSize(response.Body, readBufferBytes))
}

// readVersions reads updates, one on a line, and records their versions.
func (w *watcher) readVersions(in *bufio.Reader) error {
	for {
		start, err := in.Peek(1)
		if err != nil {
			return err
		}
		if start[0] == '\n' { // keepalive
			_, _ = in.Discard(1)
			continue
		}
		start, err = in.Peek(versionBytes)
		if err != nil {
			return err
		}
		seq, err := parseVersion(start)
		if err != nil {
			return err
		}
		if err := skipLine(in); err != nil {
			return err
		}
		w.recordVersion(seq)
	}
}

// parseVersion returns the version at the start of an update.
func parseVersion(start []byte) (int64, error) {
	rest, ok := bytes.CutPrefix(start, []byte(`{"seq":`))
	end := bytes.IndexByte(rest, ',')
	if !ok || end < 0 {
		return 0, fmt.Errorf("no version at the start of update %q", start)
	}
	return strconv.ParseInt(string(rest[:end]), 10, 64)
}

// skipLine reads to the end of a line of any length.
func skipLine(in *bufio.Reader) error {
	for {
		_, err := in.ReadSlice('\n')
		if !errors.Is(err, bufio.ErrBufferFull) {
			return err
		}
	}
}

// recordVersion records that an update has arrived completely.
func (w *watcher) recordVersion(seq int64) {
	w.mu.Lock()
	if w.restarted {
		w.mu.Unlock()
		return
	}
	w.seq, w.receivedAt = seq, time.Now()
	w.mu.Unlock()
	w.group.mu.Lock()
	close(w.group.updated)
	w.group.updated = make(chan struct{})
	w.group.mu.Unlock()
}

// disconnect closes the connection of the watch.
func (w *watcher) disconnect() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.conn != nil {
		w.conn.Close()
	}
}

// countingConn counts the bytes read from a connection.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}
