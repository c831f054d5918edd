package httpfront

// This file owns the watch on discovery: it reads the list of workers and its changes and hands
// them to the core as they come. It must never hold a change back, and never let a line that it
// can't read end the watch for good.

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"strconv"
	"time"

	"rowanyard/decide"
	"rowanyard/internal/core"
)

const (
	pathList      = "/registry/instances"
	watchAgain    = 200 * time.Millisecond // a watch that ended is asked for again after this
	watchSilent   = 6 * time.Second        // an empty line comes every 2 s
	watchLine     = 4 << 20
	discoveryDial = time.Second
)

// List is discovery's form of the worker list.
type List struct {
	Seq   int64   `json:"seq"`
	Whole bool    `json:"whole"`
	Hosts []Entry `json:"hosts"`
}

// Entry is one worker in it.
type Entry struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	BornMs float64 `json:"born_ms"`
}

// Names are the deployment's names in the order of their numbers.
type Names struct {
	Kinds, Zones []string
	Wire         func(Entry) string // how a worker is spoken to; nil: all by HTTP
}

var states = map[string]decide.ServerState{"up": decide.Ready, "draining": decide.Draining, "removed": decide.Gone}

// worker turns an entry into the core's form.
func (n Names) worker(e Entry) (core.Worker, error) {
	state, ok := states[e.Health]
	kind, zone := slices.Index(n.Kinds, e.Class), slices.Index(n.Zones, e.Site)
	if state != decide.Gone {
		_, _, err := net.SplitHostPort(e.Dial)
		if !ok || e.Host == "" || kind < 0 || zone < 0 || err != nil || !(e.BornMs >= 0 && e.BornMs < 1e15) {
			return core.Worker{}, fmt.Errorf("entry %+v", e)
		}
	}
	spoken := ""
	if n.Wire != nil {
		spoken = n.Wire(e)
	}
	return core.Worker{Addr: e.Dial, Wire: spoken, Server: decide.Server{ID: e.Host, State: state, Kind: kind, Cell: e.Block,
		Zone: zone, Weight: e.Share, Since: time.Duration(e.BornMs * float64(time.Millisecond))}}, nil
}

// Workers turns a list into the core's form. Entries that make no sense are logged and left out.
func (n Names) Workers(l List, log *slog.Logger) []core.Worker {
	var all []core.Worker
	for _, e := range l.Hosts {
		w, err := n.worker(e)
		if err != nil {
			log.Error("worker list: left out", "err", err)
			continue
		}
		all = append(all, w)
	}
	return all
}

// Watch follows discovery until ctx ends. after is the version of the list that the core has.
func Watch(ctx context.Context, addr string, names Names, after int64, c *core.Core, log *slog.Logger) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true,
		DialContext: (&net.Dialer{Timeout: discoveryDial}).DialContext}}
	for ctx.Err() == nil {
		err := watchOnce(ctx, client, addr, names, &after, c, log)
		if ctx.Err() == nil {
			log.Warn("watch ended", "seq", after, "err", err)
		}
		select {
		case <-ctx.Done():
		case <-time.After(watchAgain):
		}
	}
}

// watchOnce follows one watch to its end.
func watchOnce(ctx context.Context, client *http.Client, addr string, names Names, after *int64, c *core.Core, log *slog.Logger) error {
	ctx, stop := context.WithCancelCause(ctx)
	defer stop(nil)
	// Guards against a discovery that keeps the connection open and says nothing.
	silent := time.AfterFunc(watchSilent, func() { stop(errors.New("discovery is silent")) })
	defer silent.Stop()
	url := "http://" + addr + pathList + "?watch=1&after=" + strconv.FormatInt(*after, 10)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	res, err := client.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", res.StatusCode)
	}
	lines := bufio.NewScanner(res.Body)
	lines.Buffer(make([]byte, 0, 4<<10), watchLine)
	for lines.Scan() {
		silent.Reset(watchSilent)
		if len(lines.Bytes()) == 0 {
			continue
		}
		l, err := parseList(lines.Bytes())
		if err != nil { // what it said is unknown: ask for the whole list
			*after = 0
			return err
		}
		*after = l.Seq
		c.SetWorkers(l.Whole, names.Workers(l, log))
		log.Info("worker list", "seq", l.Seq, "whole", l.Whole, "entries", len(l.Hosts))
	}
	if err := lines.Err(); err != nil {
		return err
	}
	return io.ErrUnexpectedEOF
}

func parseList(line []byte) (List, error) {
	var l List
	if err := json.Unmarshal(line, &l); err != nil {
		return l, fmt.Errorf("malformed line: %w", err)
	}
	return l, nil
}
