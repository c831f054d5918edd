package operator

// This file owns what two processes of one router share while one takes over from the other: a small file in
// the folder that both have, and a lock that tells whether the older one still runs. It must never hold a
// call up, nor be needed for serving: where the file can't be had, each process goes by what it knows.

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// State is what operators have asked for and what holds until they take it back, over upgrades too.
type State struct {
	Started int      `json:"started"` // processes that have started so far
	Serving int      `json:"serving"` // the number of the latest that has begun to serve
	Banned  []string `json:"banned"`  // workers that are out for maintenance
	Standby bool     `json:"standby"` // the router is to be empty
}

// Share is one process's side of the file. The zero value shares nothing.
type Share struct {
	path  string
	alive *os.File // locked for as long as the process that has it runs
	mu    sync.Mutex
	alone bool
	mine  *os.File                             // locked too, and named by this process's number
	write func(path string, text []byte) error // writeDurably, but for tests
}

// Limits of the wait for another process that writes.
const (
	lockWait = 200 * time.Millisecond
	lockLook = 5 * time.Millisecond
)

// Open joins the router's other processes in dir; "" shares nothing.
func Open(dir, name string) (*Share, error) {
	s := &Share{write: writeDurably}
	if dir == "" {
		return s, nil
	}
	plain := strings.Map(func(r rune) rune {
		if r >= '0' && r <= '9' || r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r == '-' || r == '_' {
			return r
		}
		return '.'
	}, name)
	path := filepath.Join(dir, "rowanyard-"+plain+".json")
	alive, err := os.OpenFile(path+".alive", os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return s, err
	}
	s.path, s.alive = path, alive
	return s, nil
}

// Socket is where the process with this number takes streams; "" where nothing is shared.
func (s *Share) Socket(number int) string {
	if s.path == "" {
		return ""
	}
	return fmt.Sprintf("%s.%d", s.path, number)
}

// Alone says that no other process of the router runs that came before this one.
func (s *Share) Alone() bool {
	if s.alive == nil {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.alone { // the lock goes with its process, however that ends
		s.alone = syscall.Flock(int(s.alive.Fd()), syscall.LOCK_EX|syscall.LOCK_NB) == nil
	}
	return s.alone
}

// Join marks the process with this number as running.
func (s *Share) Join(number int) error {
	if s.path == "" {
		return nil
	}
	_ = os.Remove(s.lockOf(number - 2)) // long gone
	file, err := os.OpenFile(s.lockOf(number), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return err
	}
	s.mine = file
	return syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
}

// Runs says whether the process with this number, not this one, still runs.
func (s *Share) Runs(number int) bool {
	if s.path == "" {
		return false
	}
	file, err := os.Open(s.lockOf(number))
	if err != nil {
		return false
	}
	defer file.Close()
	return syscall.Flock(int(file.Fd()), syscall.LOCK_SH|syscall.LOCK_NB) != nil
}

func (s *Share) lockOf(number int) string { return fmt.Sprintf("%s.%d.alive", s.path, number) }

// Load reads the file; one that is not there yet says nothing.
func (s *Share) Load() (State, error) {
	var st State
	if s.path == "" {
		return st, nil
	}
	text, err := os.ReadFile(s.path)
	if errors.Is(err, os.ErrNotExist) {
		return st, nil
	}
	if err == nil {
		err = json.Unmarshal(text, &st)
	}
	if err != nil {
		return State{}, fmt.Errorf("shared state: %w", err)
	}
	return st, nil
}

// Update changes the file, in order. What can't be read is replaced by what this process knew: it would never get better. Where
// it returns an error the file may hold the old text or the new one, and the same changes are to be made again.
func (s *Share) Update(known State, changes ...func(*State)) (State, error) {
	if s.path == "" {
		apply(&known, changes)
		return known, nil
	}
	lock, err := os.OpenFile(s.path+".lock", os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return State{}, err
	}
	defer lock.Close()
	if err := lockWithin(lock, lockWait); err != nil {
		return State{}, err
	}
	st, err := s.Load()
	if err != nil {
		st = known
		st.Banned = slices.Clone(st.Banned)
	}
	apply(&st, changes)
	text, err := json.Marshal(st)
	if err == nil {
		err = s.write(s.path, text)
	}
	return st, err
}

// apply makes changes.
func apply(st *State, changes []func(*State)) {
	for _, change := range changes {
		change(st)
	}
	slices.Sort(st.Banned)
	st.Banned = slices.Compact(st.Banned)
}

// lockWithin locks a file. Guards calls against another process that has the lock and is stopped.
func lockWithin(file *os.File, wait time.Duration) error {
	for begun := time.Now(); ; time.Sleep(lockLook) {
		err := syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
		busy := errors.Is(err, syscall.EWOULDBLOCK) || errors.Is(err, syscall.EINTR)
		if !busy || time.Since(begun) > wait {
			return err
		}
	}
}

// replaceFile writes a file such that a reader finds the old text or the new one, never a part. sync is called on the new one
// before it takes the old one's place.
func replaceFile(path string, text []byte, sync func(*os.File) error) error {
	fresh := path + ".new"
	file, err := os.OpenFile(fresh, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	_, err = file.Write(text)
	if err == nil {
		err = sync(file)
	}
	if closed := file.Close(); err == nil {
		err = closed
	}
	if err == nil {
		err = os.Rename(fresh, path)
	}
	if err != nil {
		_ = os.Remove(fresh) // what is half written takes room that may be short
	}
	return err
}

// writeDurably replaces a file such that the new text lasts once it returns.
func writeDurably(path string, text []byte) error {
	if err := replaceFile(path, text, (*os.File).Sync); err != nil {
		return err
	}
	dir, err := os.Open(filepath.Dir(path))
	if err != nil {
		return err
	}
	defer dir.Close()
	return dir.Sync()
}

// Keep writes down what this process knows for the next one. Nothing of it is owed, so that it need not last.
func (s *Share) Keep(v any) error {
	if s.path == "" {
		return nil
	}
	text, err := json.Marshal(v)
	if err != nil {
		return err
	}
	return replaceFile(s.path+".learned", text, func(*os.File) error { return nil })
}

// Kept reads what an older process knew; it says no where there is nothing.
func (s *Share) Kept(v any) (bool, error) {
	if s.path == "" {
		return false, nil
	}
	text, err := os.ReadFile(s.path + ".learned")
	if errors.Is(err, os.ErrNotExist) {
		return false, nil
	}
	if err == nil {
		err = json.Unmarshal(text, v)
	}
	return err == nil, err
}
