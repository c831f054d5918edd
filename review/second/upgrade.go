package main

import (
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["upgrade-folder"] = upgradeFolder }

// An upgrade while streams run, where clients do not ask for the rest of a stream. The path of $TMPDIR has 100 characters, or
// as many as FOLDER says. Some clients connect before the upgrade and write slowly: the last bytes of their requests come more
// than 0.7 s after SIGTERM.
func upgradeFolder(p *play) ([]string, error) {
	const deadline = 5 * time.Second
	folderLength := 100
	if n, err := strconv.Atoi(os.Getenv("FOLDER")); err == nil {
		folderLength = n
	}
	f, err := startFleet(p.record, 2, 3)
	if err != nil {
		return nil, err
	}
	f.events = func(string) int { return 120 } // 7 s
	tmp := filepath.Join(p.dir, "tmp")
	if left := folderLength - len(tmp) - 1; left > 0 {
		tmp = filepath.Join(tmp, strings.Repeat("d", left))
	}
	p.add("platform", "", "TMPDIR has %d characters", len(tmp))
	older, err := startProcess(p.record, f, p.dir, tmp, freeAddr(), 512, settings(deadline, false))
	if err != nil {
		return nil, err
	}
	defer older.end()
	var clients sync.WaitGroup
	for i := range 6 { // they run at SIGTERM; what the kill cuts of them is not counted
		clients.Go(func() { p.ask(older.listen, fmt.Sprintf("early%d", i), "draft-reply", deadline) })
	}
	time.Sleep(500 * time.Millisecond)
	got, told, sigterm := newAnswers(), time.Time{}, make(chan struct{})
	for i := range 6 {
		clients.Go(func() {
			id, lane := fmt.Sprintf("slow%d", i), []string{"draft-reply", "send-message"}[i%2]
			c, err := net.Dial("tcp", older.listen)
			if err != nil {
				p.add("client", id, "no connection: %v", err)
				return
			}
			defer c.Close()
			text := requestText(id, lane, deadline)
			_, err = io.WriteString(c, text[:100])
			p.add("client", id, "connected, 100 of %d bytes written, err %v", len(text), err)
			<-sigterm
			for text = text[100:]; time.Since(told) < 800*time.Millisecond && err == nil; text = text[100:] {
				_, err = io.WriteString(c, text[:100])
				time.Sleep(100 * time.Millisecond)
			}
			time.Sleep(time.Until(told.Add(time.Duration(900+50*i) * time.Millisecond)))
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
	time.Sleep(50 * time.Millisecond)
	if p.trouble {
		newer, err := startProcess(p.record, f, p.dir, tmp, older.listen, 512, settings(deadline, false))
		if err != nil {
			return nil, err
		}
		defer newer.end()
		p.add("platform", "", "the new process says yes; SIGTERM to the old one")
		_ = older.cmd.Process.Signal(syscall.SIGTERM)
	}
	told = time.Now()
	close(sigterm)
	if p.trouble {
		select {
		case <-older.stopped:
		case <-time.After(earliestKill + 50*time.Millisecond):
			p.add("platform", "", "SIGKILL to the old process, %d ms after SIGTERM", time.Since(told).Milliseconds())
			_ = older.cmd.Process.Kill()
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
