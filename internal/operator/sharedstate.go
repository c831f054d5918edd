package operator

// State shared by two processes of one router while one takes over from the other: a small file in a common directory, and
// locks that show which processes still run. Serving and operator calls do not depend on it: if the file is unavailable,
// each process goes by its own state.

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

	"rowanyard/internal/numberedfile"
)

// State is the contents of the shared file. Operators' requests in it hold until they are revoked, across upgrades.
type State struct {
	Started     int      `json:"started"` // number of processes started so far
	Serving     int      `json:"serving"` // number of the latest process that has started to serve
	Maintenance []string `json:"banned"`  // workers in maintenance
	Standby     bool     `json:"standby"` // the fronts shed their clients
}

// isOlderThan reports whether the file has been replaced since known was read from it: the number of processes only grows.
func (st State) isOlderThan(known State) bool { return st.Started < known.Started }

// SharedState is one process's view of the state shared with other processes of its router. The zero value shares nothing.
type SharedState struct {
	path        string
	aliveLock   *os.File // locked by the oldest running process
	mu          sync.Mutex
	alone       bool
	number      int                                  // of this process, 0 before openProcessLock
	processLock *os.File                             // named by this process's number and locked while it runs
	writeFile   func(path string, text []byte) error // writeDurably; replaced in tests
}

// processLockSuffix ends the names of the files that running processes lock.
const processLockSuffix = ".alive"

// The wait for another process that writes the file.
const (
	lockTimeout      = 200 * time.Millisecond
	lockPollInterval = 5 * time.Millisecond
)

// Open opens the state that processes of the named router share in dir. With an empty dir nothing is shared.
func Open(dir, name string) (*SharedState, error) {
	s := &SharedState{writeFile: writeDurably}
	if dir == "" {
		return s, nil
	}
	fileName := strings.Map(func(r rune) rune {
		if r >= '0' && r <= '9' || r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r == '-' || r == '_' {
			return r
		}
		return '.'
	}, name)
	path := filepath.Join(dir, "rowanyard-"+fileName+".json")
	aliveLock, err := os.OpenFile(path+".alive", os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return s, err
	}
	s.path, s.aliveLock = path, aliveLock
	return s, nil
}

// SocketPath returns the path of the socket on which the process with this number receives streams, or "" if nothing is
// shared.
func (s *SharedState) SocketPath(number int) string {
	if s.path == "" {
		return ""
	}
	return fmt.Sprintf("%s.%d", s.path, number)
}

// Alone reports whether no older process of the router still runs. Which process gets the lock of the oldest one when that
// ends is left to chance, so that having it is not enough.
func (s *SharedState) Alone() bool {
	if s.aliveLock == nil {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.alone { // the system releases the lock when its process ends, however it ends
		s.alone = syscall.Flock(int(s.aliveLock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB) == nil && !s.olderRuns()
	}
	return s.alone
}

// olderRuns reports whether a process runs that has an older number than this one, or any number while this one has none.
func (s *SharedState) olderRuns() bool {
	for _, number := range s.processNumbers() {
		if (s.number == 0 || number < s.number) && s.IsRunning(number) {
			return true
		}
	}
	return false
}

// openProcessLock opens the file by which other processes see that the process with this number, this one, runs. They see
// it from markRunning on. It also removes the files of processes that have ended, but not the latest, which may belong to a
// process that starts at this moment.
func (s *SharedState) openProcessLock(number int) error {
	if s.path == "" {
		return nil
	}
	for _, older := range s.processNumbers() {
		if older < number-1 && !s.IsRunning(older) {
			_ = os.Remove(s.processLockPath(older))
		}
	}
	s.mu.Lock()
	s.number = number
	s.mu.Unlock()
	var err error
	s.processLock, err = os.OpenFile(s.processLockPath(number), os.O_CREATE|os.O_RDWR, 0o600)
	return err
}

// markRunning marks this process as running until it ends.
func (s *SharedState) markRunning() error {
	if s.processLock == nil {
		return nil
	}
	return syscall.Flock(int(s.processLock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
}

// processNumbers returns the numbers of the processes that run or have not been cleaned up after.
func (s *SharedState) processNumbers() []int {
	if s.path == "" {
		return nil
	}
	numbers, _ := numberedfile.Numbers(s.path+".", processLockSuffix)
	return numbers
}

// othersRunning returns the numbers of the processes that run, without this one.
func (s *SharedState) othersRunning() []int {
	s.mu.Lock()
	own := s.number
	s.mu.Unlock()
	return slices.DeleteFunc(s.processNumbers(), func(number int) bool { return number == own || !s.IsRunning(number) })
}

// EffectsPath returns the start of the paths of the files by which processes share the ledger of effects, or "" if nothing is
// shared.
func (s *SharedState) EffectsPath() string {
	if s.path == "" {
		return ""
	}
	return s.path + ".effects"
}

// openIDsPath returns the path of the file by which processes share the ids of their open requests, or "" if nothing is
// shared.
func (s *SharedState) openIDsPath() string {
	if s.path == "" {
		return ""
	}
	return s.path + ".ids"
}

// IsRunning reports whether the process with this number, which must be another one, still runs.
func (s *SharedState) IsRunning(number int) bool {
	if s.path == "" {
		return false
	}
	file, err := os.Open(s.processLockPath(number))
	if err != nil {
		return false
	}
	defer file.Close()
	return syscall.Flock(int(file.Fd()), syscall.LOCK_SH|syscall.LOCK_NB) != nil
}

func (s *SharedState) processLockPath(number int) string {
	return fmt.Sprintf("%s.%d%s", s.path, number, processLockSuffix)
}

// Load reads the shared state. It returns the zero State if there is no file yet.
func (s *SharedState) Load() (State, error) {
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

// Update applies changes to the file in order and returns the new state. A file that can't be read, or that was removed and
// does not have what fallback has, is replaced by fallback with the changes. After an error the file may hold the old or the
// new state, and the caller should apply the same changes again.
func (s *SharedState) Update(fallback State, changes ...func(*State)) (State, error) {
	if s.path == "" {
		applyChanges(&fallback, changes)
		return fallback, nil
	}
	lock, err := os.OpenFile(s.path+".lock", os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return State{}, err
	}
	defer lock.Close()
	if err := lockWithTimeout(lock, lockTimeout); err != nil {
		return State{}, err
	}
	st, err := s.Load()
	if err != nil || st.isOlderThan(fallback) {
		st = fallback
		st.Maintenance = slices.Clone(st.Maintenance)
	}
	applyChanges(&st, changes)
	text, err := json.Marshal(st)
	if err == nil {
		err = s.writeFile(s.path, text)
	}
	return st, err
}

// applyChanges applies changes in order and normalizes the list of workers.
func applyChanges(st *State, changes []func(*State)) {
	for _, change := range changes {
		change(st)
	}
	slices.Sort(st.Maintenance)
	st.Maintenance = slices.Compact(st.Maintenance)
}

// lockWithTimeout locks a file, but gives up after timeout, so that a stopped process that holds the lock blocks no call.
func lockWithTimeout(file *os.File, timeout time.Duration) error {
	for start := time.Now(); ; time.Sleep(lockPollInterval) {
		err := syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
		busy := errors.Is(err, syscall.EWOULDBLOCK) || errors.Is(err, syscall.EINTR)
		if !busy || time.Since(start) > timeout {
			return err
		}
	}
}

// replaceFile replaces a file atomically: readers see the old or the new contents, never a part. sync is called on the new
// file before it is renamed.
func replaceFile(path string, text []byte, sync func(*os.File) error) error {
	temp := path + ".new"
	file, err := os.OpenFile(temp, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	_, err = file.Write(text)
	if err == nil {
		err = sync(file)
	}
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	if err == nil {
		err = os.Rename(temp, path)
	}
	if err != nil {
		_ = os.Remove(temp) // a partial file would use space, which may be what is lacking
	}
	return err
}

// writeDurably replaces a file atomically; the new contents are on disk when it returns without an error.
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

// SaveLearned writes the learned state for the next process. Losing it is harmless, so the file is not synced.
func (s *SharedState) SaveLearned(v any) error {
	if s.path == "" {
		return nil
	}
	text, err := json.Marshal(v)
	if err != nil {
		return err
	}
	return replaceFile(s.path+".learned", text, func(*os.File) error { return nil })
}

// LoadLearned reads the learned state of an older process into v. It reports false if there is none.
func (s *SharedState) LoadLearned(v any) (bool, error) {
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
