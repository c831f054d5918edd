package soak

import (
	"fmt"
	"io"
	"net/rpc"
	"os"
	"strconv"
	"time"

	"rowanyard/internal/standin"
)

// Names of a worker's process in its environment.
const (
	envLedger      = "SOAK_LEDGER"
	envHost        = "SOAK_HOST"
	envKind        = "SOAK_KIND"
	envIncarnation = "SOAK_INCARNATION"
)

// Calls of a worker's process; those of standin.Options.Seen have its words.
const (
	callHold    = "hold"
	callFetch   = "fetch"
	callRelease = "release"
	callTold    = "told"
	callOut     = "out"
	callIn      = "in"
	callEffect  = "effect"
)

const (
	answerTokens = 8
	tokenTime    = 30 * time.Millisecond
	readTime     = 25 * time.Millisecond
)

// reporter tells the ledger of one worker's process.
type reporter struct {
	client      *rpc.Client
	host        string
	incarnation int
}

func (r *reporter) tell(what, id string, left time.Duration) (yes bool) {
	if r.client.Call("Ledger.Tell", Call{What: what, ID: id, Host: r.host, Incarnation: r.incarnation, Left: left}, &yes) != nil {
		os.Exit(0) // the run is over
	}
	return yes
}

// Hold implements standin.States.
func (r *reporter) Hold(id, _ string) bool { return r.tell(callHold, id, 0) }

// Fetch implements standin.States.
func (r *reporter) Fetch(id, _ string) bool { return r.tell(callFetch, id, 0) }

// Release implements standin.States.
func (r *reporter) Release(id string) bool { return r.tell(callRelease, id, 0) }

// IsWorker says whether this process was started as a worker of a run.
func IsWorker() bool { return os.Getenv(envLedger) != "" }

// RunWorker is a worker's process, until it is killed. It writes its address to standard output.
func RunWorker() error {
	client, err := rpc.Dial("tcp", os.Getenv(envLedger))
	if err != nil {
		return err
	}
	incarnation, err := strconv.Atoi(os.Getenv(envIncarnation))
	if err != nil {
		return err
	}
	r := &reporter{client: client, host: os.Getenv(envHost), incarnation: incarnation}
	fleet, err := standin.Start(standin.Options{Only: os.Getenv(envKind), Tokens: answerTokens, TokenTime: tokenTime, ReadTime: readTime, States: r,
		Told: func(id, _ string, left time.Duration) { r.tell(callTold, id, left) },
		Seen: func(what, id, _, _ string) {
			if what == callOut || what == callIn || what == callEffect {
				r.tell(what, id, 0)
			}
		}})
	if err != nil {
		return err
	}
	fmt.Println(fleet.Hosts()[0].Dial)
	_, err = io.Copy(io.Discard, os.Stdin) // until the run's own process is gone
	return err
}
