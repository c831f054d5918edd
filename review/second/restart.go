package main

import (
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

func init() { cases["late-stream"] = lateStream }

// earliestKill is how long after SIGTERM the platform may kill: the longest deadline, which counts as 3 s, and 0.7 s.
const earliestKill = 3*time.Second + 700*time.Millisecond

// A planned restart, where clients do not ask for the rest of a stream. Clients connect within 0.35 s of SIGTERM and send on
// their connections, which stay open, more than 0.7 s after it: half of them all at once, the others in pieces.
func lateStream(p *play) ([]string, error) {
	const deadline = 5 * time.Second
	f, err := startFleet(p.record, 2, 3)
	if err != nil {
		return nil, err
	}
	f.events = func(string) int { return 100 } // 6 s
	r, err := startRouter(p.record, f, p.dir, 512, settings(deadline, false))
	if err != nil {
		return nil, err
	}
	defer r.end()
	time.Sleep(time.Second)
	told := time.Now()
	if p.trouble {
		p.add("platform", "", "SIGTERM")
		_ = r.cmd.Process.Signal(syscall.SIGTERM)
	}
	got := newAnswers()
	var clients sync.WaitGroup
	for i := range 6 {
		clients.Go(func() {
			id, lane := fmt.Sprintf("c%d", i), []string{"draft-reply", "send-message"}[i/2%2]
			time.Sleep(time.Until(told.Add(time.Duration(50+50*i) * time.Millisecond)))
			c, err := net.Dial("tcp", r.listen)
			if err != nil {
				p.add("client", id, "no connection: %v", err)
				return
			}
			defer c.Close()
			p.add("client", id, "connected %d ms after SIGTERM", time.Since(told).Milliseconds())
			text := requestText(id, lane, deadline)
			if i%2 == 1 { // the last piece 0.9 s after SIGTERM or later
				for len(text) > 400 && err == nil {
					_, err = io.WriteString(c, text[:200])
					text = text[200:]
					time.Sleep(100 * time.Millisecond)
				}
			}
			time.Sleep(time.Until(told.Add(time.Duration(900+100*i) * time.Millisecond)))
			if err == nil {
				_, err = io.WriteString(c, text)
			}
			taken := time.Now()
			p.add("client", id, "%s written to its end %d ms after SIGTERM, err %v", lane, taken.Sub(told).Milliseconds(), err)
			x := readAnswer(c, id, taken.Add(deadline+time.Second))
			x.taken = taken
			p.add("client", id, "%v", x)
			got.set(id, x)
		})
	}
	if p.trouble {
		select {
		case <-r.stopped:
		case <-time.After(time.Until(told.Add(earliestKill + 50*time.Millisecond))):
			p.add("platform", "", "SIGKILL, %d ms after SIGTERM", time.Since(told).Milliseconds())
			_ = r.cmd.Process.Kill()
		}
	}
	clients.Wait()
	var broken []string
	for _, id := range got.ids() {
		if x := got.by[id]; x.status == 200 && !x.whole && x.taken.Sub(told) > 750*time.Millisecond {
			broken = append(broken, fmt.Sprintf("%s: taken %d ms after SIGTERM, its stream was cut after %d events, %d ms after SIGTERM", id,
				x.taken.Sub(told).Milliseconds(), x.events, x.ended.Sub(told).Milliseconds()))
		}
	}
	return broken, nil
}
