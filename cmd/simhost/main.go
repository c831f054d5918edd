// Command simhost runs router instances for the simulator. It reads batches of events from standard input and writes the
// resulting actions of each batch to standard output before it reads the next one; see package wire for the format.
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

// run answers each batch of in on out until the input ends or is malformed.
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
		if _, err := out.Write(h.writer.EndBatch(batch.Seq)); err != nil {
			return fmt.Errorf("batch %d: write reply: %w", batch.Seq, err)
		}
	}
}

// host holds the router instances, by name. They share only the output.
type host struct {
	writer  wire.Writer
	routers map[string]*decide.Router
}

// handle passes an event to its instance. A panic is reported as a failure of that instance.
func (h *host) handle(now time.Duration, ev wire.Event) {
	defer func() {
		if p := recover(); p != nil {
			h.writer.ReportFailure(ev.InstanceName, fmt.Sprint(p))
		}
	}()
	switch e := ev.Body.(type) {
	case wire.InstanceStarted:
		r, err := decide.New(e.Settings, e.Seed, h.writer.Instance(ev.InstanceName))
		if err != nil {
			h.writer.ReportFailure(ev.InstanceName, err.Error())
			return
		}
		h.routers[ev.InstanceName] = r
		return
	case wire.InstanceStopped:
		delete(h.routers, ev.InstanceName)
		return
	}
	if r := h.routers[ev.InstanceName]; r != nil {
		dispatch(r, now, ev.Body)
	}
}

// dispatch calls the method of r that takes an event of body's type.
func dispatch(r *decide.Router, now time.Duration, body any) {
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
	case wire.ClientLeft:
		r.ClientLeft(now, e.ID)
	case wire.TimerFired:
		r.Timer(now, e.Token)
	}
}
