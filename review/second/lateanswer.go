package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"
)

func init() { cases["late-answer"] = lateAnswer }

// Some workers send a second answer some milliseconds after a good stream, in a deployment where workers may be probed.
// Clients send messages that must not run twice, and try again after a refusal.
func lateAnswer(p *play) ([]string, error) {
	const (
		deadline = 15 * time.Second
		messages = 900
		meanGap  = 40 * time.Millisecond // between two messages
		share    = 0.2                   // of the streams that a second answer follows
	)
	f, err := startFleet(p.record, 2, 2)
	if err != nil {
		return nil, err
	}
	f.probes, f.firstWait, f.interval = true, 40*time.Millisecond, 60*time.Millisecond
	f.events = func(string) int { return 40 }
	if p.trouble {
		f.spoil = func(id string) []byte {
			switch draw := rand.Float64(); {
			case draw < share/2: // an answer to the same request once more
				event := fmt.Sprintf("data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"%s \"},\"finish_reason\":\"stop\"}]}\n\n"+
					"data: {\"choices\":[],\"usage\":{\"prompt_tokens\":300,\"completion_tokens\":1,\"prompt_tokens_details\":{\"cached_tokens\":0}}}\n\ndata: [DONE]\n\n", id)
				return fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(event), event)
			case draw < share: // turned away: the request is already over
				return []byte("HTTP/1.1 503 Service Unavailable\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n")
			}
			return nil
		}
	}
	var mu sync.Mutex
	runs := make(map[string][]string) // by message
	f.onRun = func(id, at string) {
		message, _, _ := strings.Cut(id, "-")
		mu.Lock()
		defer mu.Unlock()
		runs[message] = append(runs[message], id+" at "+at)
	}
	set := settings(deadline, true)
	set["limits"].(map[string]any)["probing"] = true
	set["report"] = map[string]any{"names": []string{"cpu_share", "pending", "x0"}, "source": "on_probe"}
	r, err := startRouter(p.record, f, p.dir, 1024, set)
	if err != nil {
		return nil, err
	}
	defer r.end()
	got := newAnswers()
	var clients sync.WaitGroup
	for i := range messages {
		clients.Go(func() {
			for try := range 3 {
				id := fmt.Sprintf("m%03d-%d", i, try)
				x, ok := p.ask(r.listen, id, "send-message", deadline)
				if !ok {
					return
				}
				got.set(id, x)
				if x.status != 503 {
					return
				}
				time.Sleep(100 * time.Millisecond)
			}
		})
		time.Sleep(time.Duration(float64(meanGap) * min(5, rand.ExpFloat64())))
	}
	clients.Wait()
	var broken []string
	for _, id := range got.ids() {
		x := got.by[id]
		if x.foreign > 0 {
			broken = append(broken, fmt.Sprintf("%s: served with %d events of another request", id, x.foreign))
		}
		message, _, _ := strings.Cut(id, "-")
		at := strings.Join(runs[message], " and ")
		if x.status == 503 && strings.Contains(at, id) {
			broken = append(broken, fmt.Sprintf("%s: refused although it had run", id))
		}
		if strings.HasSuffix(id, "-0") && len(runs[message]) > 1 {
			broken = append(broken, fmt.Sprintf("%s: the message ran %d times, as %s", message, len(runs[message]), at))
		}
	}
	return broken, nil
}
