package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"time"
)

func init() { cases["pipeline"] = pipeline }

// A client sends several requests at once on one connection, each with a prompt of 5,000 tokens, and reads the answers.
func pipeline(p *play) ([]string, error) {
	const deadline = 5 * time.Second
	const count = 5
	f, err := startFleet(p.record, 2, 3)
	if err != nil {
		return nil, err
	}
	r, err := startRouter(p.record, f, p.dir, 512, settings(deadline, true))
	if err != nil {
		return nil, err
	}
	defer r.end()
	c, err := net.Dial("tcp", r.listen)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	in := bufio.NewReader(c)
	write := func(id string) {
		n, err := io.WriteString(c, longRequestText(id, "draft-reply", 4*deadline, 5000))
		p.add("client", id, "request written, %d bytes, err %v", n, err)
	}
	ids := make([]string, count)
	for i := range ids {
		ids[i] = fmt.Sprintf("command%d", i)
	}
	if p.trouble {
		go func() {
			for _, id := range ids {
				write(id)
			}
		}()
	}
	var broken []string
	for _, id := range ids {
		if !p.trouble {
			write(id)
		}
		_ = c.SetReadDeadline(time.Now().Add(4*deadline + time.Second))
		res, err := http.ReadResponse(in, nil)
		if err != nil {
			p.add("client", id, "no answer: %v", err)
			// After a close over requests that were not read the system resets the connection.
			if !errors.Is(err, syscall.ECONNRESET) {
				broken = append(broken, fmt.Sprintf("%s: read, and the connection closed without an answer: %v", id, err))
			}
			continue
		}
		text, err := io.ReadAll(res.Body)
		p.add("client", id, "status %d, close %v, %d events, err %v", res.StatusCode, res.Close, strings.Count(string(text), "data: {"), err)
		if !p.trouble && res.Close {
			return nil, fmt.Errorf("the connection ends after %s", id)
		}
	}
	return broken, nil
}
