package main

import (
	"fmt"
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
// as many as FOLDER says.
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
	f.events = func(string) int { return 200 } // 12 s
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
	got := newAnswers()
	var clients sync.WaitGroup
	for i := range 10 {
		clients.Go(func() {
			id, lane := fmt.Sprintf("c%d", i), []string{"draft-reply", "send-message"}[i%2]
			if x, ok := p.ask(older.listen, id, lane, deadline); ok {
				got.set(id, x)
			}
		})
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(time.Second)
	told := time.Now()
	if p.trouble {
		newer, err := startProcess(p.record, f, p.dir, tmp, older.listen, 512, settings(deadline, false))
		if err != nil {
			return nil, err
		}
		defer newer.end()
		p.add("platform", "", "the new process says yes; SIGTERM to the old one")
		_ = older.cmd.Process.Signal(syscall.SIGTERM)
		told = time.Now()
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
		if x := got.by[id]; x.status == 200 && !x.whole {
			broken = append(broken, fmt.Sprintf("%s: its stream was cut after %d events, %d ms after SIGTERM", id, x.events, x.ended.Sub(told).Milliseconds()))
		}
	}
	return broken, nil
}
