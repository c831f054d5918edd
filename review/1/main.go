// Command 1 plays case 1: while a router is upgraded, a bad client sends the id of another client's open request. The usual
// client's request is open in the old process, the bad client's connection goes to the new one.
package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"

	"rowanyard/review/rig"
)

const (
	class      = "send-message"
	clients    = 3
	firstToken = 2500 * time.Millisecond // wanted within 3 s
	waitMs     = 15000
	startDelay = 100 * time.Millisecond  // from SIGTERM until the bad client connects
	killDelay  = 3700 * time.Millisecond // from SIGTERM to SIGKILL: 3 s, as the longest deadline is longer, and 0.7 s
)

func main() { rig.Main(play) }

func play(r *rig.Rig) (bool, error) {
	site := rig.SenjaJawa()
	arrived := make(chan string, 100)
	fleet, err := r.StartFleet(site, 2, 3, func(a rig.Attempt) rig.Plan {
		if a.Read {
			return rig.Plan{Wait: 50 * time.Millisecond}
		}
		arrived <- a.ID
		return rig.Plan{Wait: firstToken, Tokens: 10, Interval: 60 * time.Millisecond}
	})
	if err != nil {
		return false, err
	}
	d, err := r.NewDeployment(fleet)
	if err != nil {
		return false, err
	}
	old, err := r.Start(d, false)
	if err != nil {
		return false, err
	}
	var usual, bad sync.WaitGroup
	answers := make([]rig.Answer, clients)
	for n := range clients {
		usual.Go(func() { answers[n] = r.Request("usual client", d, id(n), class, waitMs, nil) })
	}
	for range clients { // all are open, each with its write at a writer
		select {
		case <-arrived:
		case <-time.After(10 * time.Second):
			return false, fmt.Errorf("the usual clients' requests have not reached writers")
		}
	}
	if r.Trouble {
		if _, err := r.Start(d, true); err != nil {
			return false, err
		}
		old.Signal(syscall.SIGTERM)
		time.Sleep(startDelay)
	}
	badAnswers := make([]rig.Answer, clients)
	sentAt := r.Since()
	for n := range clients {
		bad.Go(func() { badAnswers[n] = r.Request("bad client", d, id(n), class, waitMs, nil) })
	}
	if r.Trouble {
		old.EndWithin(killDelay - startDelay)
	}
	usual.Wait()
	bad.Wait()
	broken := false
	for n, a := range answers {
		if a.Status != http.StatusOK || !a.Whole {
			return false, fmt.Errorf("the usual client's request %s was not served: %v", a.ID, a)
		}
		if a.EndAt < sentAt {
			return false, fmt.Errorf("%s was over before the bad client sent its id", a.ID)
		}
		runs := fleet.Runs(a.ID)
		r.Log("check: %s has run %d times; the bad client got status %d", a.ID, len(runs), badAnswers[n].Status)
		broken = broken || len(runs) > 1
	}
	return broken, nil
}

func id(n int) string { return fmt.Sprintf("9b1f03aa5c7e2d4%d", n) }
