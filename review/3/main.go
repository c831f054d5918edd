// Command 3 plays case 3: streams run while a router is upgraded, in a deployment whose clients do not ask for the rest of a
// stream that broke.
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
	streams       = 9
	tokens        = 100
	tokenInterval = 60 * time.Millisecond
	limitMs       = 3000                    // of each class: the longest deadline
	killDelay     = 3700 * time.Millisecond // from SIGTERM to SIGKILL: the longest deadline and 0.7 s
)

func main() { rig.Main(play) }

func play(r *rig.Rig) (bool, error) {
	site := rig.LatihCyberjaya()
	for n := range site.Classes {
		site.Classes[n].LimitMs = limitMs
		site.Classes[n].TargetMs = min(site.Classes[n].TargetMs, 1500)
	}
	fleet, err := r.StartFleet(site, 3, 4, func(a rig.Attempt) rig.Plan {
		if a.Read {
			return rig.Plan{Wait: 50 * time.Millisecond}
		}
		return rig.Plan{Wait: 50 * time.Millisecond, Tokens: tokens, Interval: tokenInterval}
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
	var begun, ended sync.WaitGroup
	answers := make([]rig.Answer, streams)
	begun.Add(streams)
	for n := range streams {
		once := sync.OnceFunc(begun.Done)
		ended.Go(func() {
			defer once()
			answers[n] = r.Request("client", d, fmt.Sprintf("stream%d", n), site.Classes[n%len(site.Classes)].Name, limitMs, once)
		})
	}
	begun.Wait()
	killedAt := time.Duration(0)
	if r.Trouble {
		if _, err := r.Start(d, true); err != nil {
			return false, err
		}
		old.Signal(syscall.SIGTERM)
		killedAt = old.EndWithin(killDelay)
	}
	ended.Wait()
	broken, served := false, 0
	for _, a := range answers {
		switch {
		case a.Status != http.StatusOK:
			r.Log("check: %s was not served: %v", a.ID, a)
			continue
		case a.Whole:
		case killedAt > 0 && a.EndAt >= killedAt:
			r.Log("check: %s was cut by SIGKILL, and had been taken before SIGTERM: excused", a.ID)
		case len(fleet.Runs(a.ID)) != 1 || fleet.Runs(a.ID)[0].CutAt == 0:
			return false, fmt.Errorf("%s was cut, and not by the router", a.ID)
		default:
			r.Log("check: %s is lost: the router cut it after %d of %d tokens", a.ID, a.Tokens(), tokens)
			broken = true
		}
		served++
	}
	if served == 0 {
		return false, fmt.Errorf("no stream has begun")
	}
	return broken, nil
}
