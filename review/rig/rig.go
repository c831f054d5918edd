// Package rig holds what the cases under review/ share: stand-ins for workers, discovery, clients and the platform, and the
// record of what was sent, answered and run. The stand-ins follow the protocol pages. Routers are separate processes, started
// with the command of the deploy file. Everything runs on loopback addresses and on the real clock.
package rig

import (
	"errors"
	"flag"
	"fmt"
	"net"
	"os"
	"os/signal"
	"path/filepath"
	"runtime"
	"sync"
	"syscall"
	"time"
)

// timeLimit ends a case that does not end by itself.
const timeLimit = 100 * time.Second

// The results of a case, as exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// Rig is the environment of one run of a case.
type Rig struct {
	Root    string // of the repository
	Dir     string // of the case
	Command string // that starts a router, run by /bin/sh in Root
	Trouble bool   // the disruption takes place
	TempDir string // removed at the end

	began     time.Time
	ended     sync.Once
	mu        sync.Mutex
	record    *os.File
	processes []*Router
}

// Main runs a case and exits with its result. play returns whether the rule was broken, or an error if the case could not run.
func Main(play func(r *Rig) (broken bool, err error)) {
	runtime.LockOSThread() // the routers end with the thread that started them, see Router
	r := &Rig{Trouble: os.Getenv("TROUBLE") != "0", began: time.Now()}
	flag.StringVar(&r.Root, "root", ".", "root of the repository")
	flag.StringVar(&r.Dir, "dir", ".", "folder of the case")
	flag.StringVar(&r.Command, "command", "exec bin/rowanyard", "command that starts a router")
	flag.Parse()
	if err := r.open(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		limit, parent := time.After(timeLimit), os.Getppid()
		for tick := time.NewTicker(200 * time.Millisecond); ; {
			select {
			case s := <-stop:
				r.exit(exitNotRun, fmt.Sprintf("ended by the signal %v", s))
			case <-limit:
				r.exit(exitNotRun, "ended by the time limit")
			case <-tick.C:
				if os.Getppid() != parent {
					r.exit(exitNotRun, "ended with the calling script")
				}
			}
		}
	}()
	r.Log("case begins, trouble=%v", r.Trouble)
	broken, err := play(r)
	switch {
	case err != nil:
		r.exit(exitNotRun, fmt.Sprintf("the case could not run: %v", err))
	case broken:
		r.exit(exitBroken, "RESULT: the rule was broken")
	}
	r.exit(exitHeld, "RESULT: the rule held")
}

func (r *Rig) open() error {
	var err error
	if r.TempDir, err = os.MkdirTemp("", "review"); err != nil {
		return err
	}
	r.record, err = os.Create(filepath.Join(r.Dir, "record.txt"))
	return err
}

// exit ends all processes that the case started, and the case. The first call decides the result: what a case sees while its
// processes are being ended does not count.
func (r *Rig) exit(code int, text string) {
	r.ended.Do(func() {
		r.Log("%s", text)
		fmt.Println(text)
		r.mu.Lock()
		processes := r.processes
		r.mu.Unlock()
		for _, p := range processes {
			p.kill()
		}
		os.RemoveAll(r.TempDir)
		os.Exit(code)
	})
}

// Since returns the time since the case began, by which all entries of the record are dated.
func (r *Rig) Since() time.Duration { return time.Since(r.began) }

// Log adds a line to the record.
func (r *Rig) Log(format string, a ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%8.3f s  %s\n", r.Since().Seconds(), fmt.Sprintf(format, a...))
}

// FreeAddress returns a loopback address on which nothing listens.
func FreeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// errWait is returned by WaitFor if the time is up.
var errWait = errors.New("did not happen in time")

// WaitFor waits until done returns true.
func WaitFor(what string, limit time.Duration, done func() bool) error {
	for start := time.Now(); !done(); time.Sleep(10 * time.Millisecond) {
		if time.Since(start) > limit {
			return fmt.Errorf("%s: %w", what, errWait)
		}
	}
	return nil
}
