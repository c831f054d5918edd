// Command simhost hosts Router instances on the simulator's wire: batches on
// standard input, one flushed reply a batch on standard output.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"rowanyard/decide"
	"rowanyard/internal/wire"
)

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simhost:", err)
		os.Exit(1)
	}
}

// run answers batches until the input ends.
func run(in io.Reader, out io.Writer) error {
	reader := wire.NewReader(in)
	h := host{routers: make(map[string]*decide.Router)}
	for {
		batch, err := reader.Next()
		if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
			return nil
		}
		if err != nil {
			return err
		}
		for _, ev := range batch.Events {
			h.handle(batch.Now, ev)
		}
		if _, err := out.Write(h.writer.Take(batch.Seq)); err != nil {
			return fmt.Errorf("batch %d: write reply: %w", batch.Seq, err)
		}
	}
}

// host keeps the instances; they share nothing but the output.
type host struct {
	writer  wire.Writer
	routers map[string]*decide.Router
}

// handle gives one event to its instance; a panic becomes a fault report.
func (h *host) handle(now time.Duration, ev wire.Event) {
	defer func() {
		if p := recover(); p != nil {
			h.writer.BailOut(ev.Front, fmt.Sprint(p))
		}
	}()
	switch e := ev.Body.(type) {
	case wire.Hello:
		r, err := decide.New(e.Settings, e.Seed, h.writer.Instance(ev.Front))
		if err != nil {
			h.writer.BailOut(ev.Front, err.Error())
			return
		}
		h.routers[ev.Front] = r
		return
	case wire.Exit:
		delete(h.routers, ev.Front)
		return
	}
	if r := h.routers[ev.Front]; r != nil {
		deliver(r, now, ev.Body)
	}
}

func deliver(r *decide.Router, now time.Duration, body any) {
	switch e := body.(type) {
	case decide.ServerList:
		r.Servers(now, e)
	case decide.Request:
		r.Request(now, e)
	case decide.Started:
		r.Started(now, e)
	case decide.Outcome:
		r.Outcome(now, e)
	case decide.Probed:
		r.Probed(now, e)
	case wire.Left:
		r.Left(now, e.ID)
	case wire.Ring:
		r.Timer(now, e.Token)
	}
}
