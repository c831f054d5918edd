package soak

import (
	"context"
	"fmt"
	"io"
	"net/rpc"
	"os"
	"os/signal"
	"strconv"
	"sync"
	"syscall"
	"time"

	"rowanyard/internal/standin"
)

// Environment variables that configure a worker process.
const (
	envLedger      = "SOAK_LEDGER"
	envHost        = "SOAK_HOST"
	envKind        = "SOAK_KIND"
	envIncarnation = "SOAK_INCARNATION"
)

// Values of Call.What. callArrived, callEnded and callEffect are names of events that standin.Options.OnEvent receives.
const (
	callHold     = "hold"
	callFetch    = "fetch"
	callRelease  = "release"
	callDeadline = "told"
	callArrived  = "out"
	callEnded    = "in"
	callEffect   = "effect"
)

const (
	responseTokens = 8
	tokenInterval  = 30 * time.Millisecond
	readDuration   = 25 * time.Millisecond
	signalBacklog  = 8
)

// ledgerClient reports the events of this worker process to the ledger.
type ledgerClient struct {
	client      *rpc.Client
	host        string
	incarnation int
}

func (r *ledgerClient) call(what, id string, left time.Duration) (accepted bool) {
	if r.client.Call("Ledger.Tell", Call{What: what, ID: id, Host: r.host, Incarnation: r.incarnation, Left: left}, &accepted) != nil {
		os.Exit(0) // the run has ended
	}
	return accepted
}

// Signals to a worker process.
const (
	signalDeaf    = syscall.SIGUSR1  // it takes no attempts from now on
	signalHearing = syscall.SIGUSR2  // it takes attempts again
	signalBreaks  = syscall.SIGHUP   // it resets the connection of each read that is done from now on
	signalWhole   = syscall.SIGWINCH // it answers them again
)

// attemptGate holds attempts back while a worker is deaf, and breaks reads.
type attemptGate struct {
	mu     sync.Mutex
	open   chan struct{} // closed while attempts are taken
	breaks bool          // reads are broken
}

func newAttemptGate() *attemptGate {
	g := &attemptGate{open: make(chan struct{})}
	close(g.open)
	return g
}

// handleSignals opens and closes the gate as signals say.
func (g *attemptGate) handleSignals(signals <-chan os.Signal) {
	deaf := false
	for s := range signals {
		g.mu.Lock()
		switch {
		case s == signalDeaf && !deaf:
			g.open, deaf = make(chan struct{}), true
		case s == signalHearing && deaf:
			close(g.open)
			deaf = false
		case s == signalBreaks || s == signalWhole:
			g.breaks = s == signalBreaks
		}
		g.mu.Unlock()
	}
}

// fault implements standin.Options.FaultFor.
func (g *attemptGate) fault(stage, _ string, _ int) standin.Fault {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.breaks && stage == "read" {
		return standin.ResetBeforeFirstToken
	}
	return standin.None
}

// admit implements standin.Options.AdmitAttempt.
func (g *attemptGate) admit(ctx context.Context) bool {
	g.mu.Lock()
	open := g.open
	g.mu.Unlock()
	select {
	case <-open:
		return true
	case <-ctx.Done():
		return false
	}
}

// Hold implements standin.StateStore.
func (r *ledgerClient) Hold(id, _ string) bool { return r.call(callHold, id, 0) }

// Fetch implements standin.StateStore.
func (r *ledgerClient) Fetch(id, _ string) bool { return r.call(callFetch, id, 0) }

// Release implements standin.StateStore.
func (r *ledgerClient) Release(id string) bool { return r.call(callRelease, id, 0) }

// tokenText returns the text of a token, which tells which request it was made for.
func tokenText(id string, i int) string { return fmt.Sprintf("%s.%d ", id, i) }

// IsWorker reports whether this process was started as a worker of a run.
func IsWorker() bool { return os.Getenv(envLedger) != "" }

// RunWorker serves as a worker until the process is killed or its standard input is closed. It writes its address to standard
// output.
func RunWorker() error {
	client, err := rpc.Dial("tcp", os.Getenv(envLedger))
	if err != nil {
		return err
	}
	incarnation, err := strconv.Atoi(os.Getenv(envIncarnation))
	if err != nil {
		return err
	}
	gate, signals := newAttemptGate(), make(chan os.Signal, signalBacklog)
	signal.Notify(signals, signalDeaf, signalHearing, signalBreaks, signalWhole)
	go gate.handleSignals(signals)
	r := &ledgerClient{client: client, host: os.Getenv(envHost), incarnation: incarnation}
	fleet, err := standin.Start(standin.Options{OnlyKind: os.Getenv(envKind), Tokens: responseTokens, TokenInterval: tokenInterval,
		ReadDuration: readDuration, FirstTokenDelay: firstTokenDelay, TokenText: tokenText, StateStore: r, AdmitAttempt: gate.admit, FaultFor: gate.fault,
		OnAttemptTimeout: func(id, _ string, left time.Duration) { r.call(callDeadline, id, left) },
		OnEvent: func(what, id, _, _ string) {
			if what == callArrived || what == callEnded || what == callEffect {
				r.call(what, id, 0)
			}
		}})
	if err != nil {
		return err
	}
	fmt.Println(fleet.Hosts()[0].Dial)
	_, err = io.Copy(io.Discard, os.Stdin) // until the process of the run has ended
	return err
}
