package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["resting"] = resting }

// Clients that write slowly use a connection again that has rested for a little less than the router lets it rest. They
// write a part of the head, and the rest of the request 0.5 s later, and read the answer after that.
func resting(p *play) ([]string, error) {
	const deadline = 5 * time.Second
	f, err := startFleet(p.record, 2, 3)
	if err != nil {
		return nil, err
	}
	r, err := startRouter(p.record, f, p.dir, 512, settings(deadline, true))
	if err != nil {
		return nil, err
	}
	defer r.end()
	got, rests := newAnswers(), make(map[string]time.Duration)
	var clients sync.WaitGroup
	for i := range 8 {
		id := fmt.Sprintf("second%d", i)
		rest := time.Duration(1700+100*i) * time.Millisecond
		rests[id] = rest
		clients.Go(func() {
			first := fmt.Sprintf("first%d", i)
			c, err := net.Dial("tcp", r.listen)
			if err != nil {
				p.add("client", first, "no connection: %v", err)
				return
			}
			defer c.Close()
			_, _ = io.WriteString(c, requestText(first, "draft-reply", deadline))
			p.add("client", first, "%v", readAnswer(c, first, time.Now().Add(deadline+time.Second)))
			time.Sleep(rest)
			text := requestText(id, "draft-reply", deadline)
			pieces := []string{text}
			if p.trouble { // the first ends inside the head
				cut := strings.Index(text, "Content-Length")
				pieces = []string{text[:cut], text[cut:]}
			}
			for n, piece := range pieces {
				if n > 0 {
					time.Sleep(500 * time.Millisecond)
				}
				if _, err = io.WriteString(c, piece); err != nil {
					p.add("client", id, "not written to its end: %v", err)
					return
				}
				p.add("client", id, "after a rest of %v: piece %d of %d written, %d bytes", rest, n+1, len(pieces), len(piece))
			}
			taken := time.Now()
			x := readAnswer(c, id, taken.Add(deadline+time.Second))
			p.add("client", id, "%v", x)
			got.set(id, x)
		})
	}
	clients.Wait()
	var broken []string
	for _, id := range got.ids() {
		// After a close over bytes that were not read the system resets the connection.
		if x := got.by[id]; x.status == 0 && !errors.Is(x.failure, syscall.ECONNRESET) {
			broken = append(broken, fmt.Sprintf("%s: begun after a rest of %v, read in part, and the connection closed without an answer: %v", id, rests[id], x.failure))
		}
	}
	return broken, nil
}
