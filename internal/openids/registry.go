// Package openids records the ids of a router's open requests, so that no second request is served under an id that is
// open. While several processes of one router run, as during an upgrade, an id is open in all of them.
//
// The processes share a lock file and nothing else. While a process runs alone it keeps its ids in memory, without a system
// call. When another process appears, it publishes them: it locks a byte of the file for each id. From then on a claim in
// either process fails if the other has the id. A new process must not rely on this before the older ones have published
// their ids, see Registry.Certain. Where it can't rely on it, as the other process stands still, is of an older version, or
// can't use the file, requests that must not run twice are refused.
package openids

import (
	"errors"
	"log/slog"
	"sync"
)

// Errors of Claim.
var (
	ErrOpen       = errors.New("is open already")
	ErrMayHaveRun = errors.New("may have run already")
	ErrUnknown    = errors.New("may be open in another process of this router")
)

// Publisher is told when other processes need to know more of this one than its open ids, see Registry.Publisher.
type Publisher interface {
	// Publish makes what other processes need available to them. It is called before they rely on this process's ids, and
	// called again after an error: until then they refuse what must not run twice.
	Publish() error
	// Unpublish is called once no other process runs any more.
	Unpublish()
}

// Registry holds the ids of the open requests of one process. Its methods may be called from several goroutines.
type Registry struct {
	// Publisher, if not nil, publishes what else other processes need to know. Set before Join.
	Publisher Publisher

	log *slog.Logger

	refreshMu   sync.Mutex // serializes Refresh, which calls the Publisher without holding mu
	published   bool       // by the Publisher
	unpublished bool       // Unpublish has been called since then, or since the start

	mu         sync.Mutex
	open       map[string]*claim
	ran        ranIDs
	file       *lockFile    // nil: no other process is told of the ids
	mark       *processMark // nil: none is needed, or none can be had
	publishing bool         // ids are locked in the file
	unknown    bool         // another process may have ids open that can't be seen
	checkMarks bool         // a process that runs may have failed to join
}

// claim is the entry of an open id.
type claim struct {
	holders int  // that have not released it
	fronts  int  // of these, fronts that have not ended their answer
	locked  bool // in the file
	unsafe  bool // its request must not run twice
	ran     bool // its request may have run and is over
}

// New returns a Registry that is not shared with other processes.
func New(log *slog.Logger) *Registry {
	return &Registry{log: log, open: make(map[string]*claim)}
}

// Join shares the ids with other processes that call Join with the same path, for as long as this one runs. number is that
// of this process among them. With an empty path, or after an error, nothing is shared, and the Registry only recognizes
// that older processes with the same identity run, unless that is empty. Join must be called before the first claim, and
// followed by Refresh.
func (r *Registry) Join(path, identity string, number int) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if identity != "" {
		var err error
		if r.mark, err = setProcessMark(identity); err != nil {
			r.log.Warn("a process that can't use the shared folder will not see that this one runs", "err", err)
		}
	}
	r.checkMarks = r.mark != nil
	if path == "" {
		return nil
	}
	file, err := openLockFile(path)
	if err != nil {
		return err
	}
	// The number is locked for this process alone: two that took the same one, as the file that counts them could not be
	// written, would write the same files.
	if err := errors.Join(file.writeLock(firstNumberByte+int64(number)), file.readLock(runningByte)); err != nil {
		return errors.Join(err, file.close())
	}
	r.file, r.publishing = file, true
	return r.ran.join(path, number)
}

// Shares reports whether the process with this number, which must be another one, shares its ids.
func (r *Registry) Shares(number int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.file == nil {
		return false
	}
	shares, err := r.file.lockedByOther(firstNumberByte + int64(number))
	return shares && err == nil
}

// Refresh adapts to the processes that run now: it publishes the open ids once another process runs, and stops publishing
// new ones when no other does. hiddenRuns reports that a process runs that does not share its ids. Refresh must be called
// regularly.
func (r *Registry) Refresh(hiddenRuns bool) {
	r.refreshMu.Lock()
	defer r.refreshMu.Unlock()
	othersRun, err := r.othersRun()
	if err == nil && othersRun && !r.published {
		err = r.publish()
	}
	certain, alone := r.refresh(othersRun, hiddenRuns, err)
	if alone && certain && !r.unpublished {
		r.unpublish()
	}
}

// othersRun reports whether other processes run that share their ids.
func (r *Registry) othersRun() (bool, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.file == nil {
		return false, nil
	}
	return r.file.lockedByOther(runningByte)
}

func (r *Registry) publish() error {
	if r.Publisher != nil {
		if err := r.Publisher.Publish(); err != nil {
			return err
		}
	}
	r.published, r.unpublished = true, false
	return nil
}

func (r *Registry) unpublish() {
	r.published, r.unpublished = false, true
	if r.Publisher != nil {
		r.Publisher.Unpublish()
	}
}

// refresh adapts to the processes that run. err is not nil if that is not known, or if this process could not publish what
// others need. It reports whether the open ids of all other processes are known, and whether none runs that shares its own.
func (r *Registry) refresh(othersRun, hiddenRuns bool, err error) (certain, alone bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err == nil {
		err = r.setPublishing(othersRun)
	} else if r.publishing && !r.published {
		err = errors.Join(err, r.stopPublishing())
	}
	if err == nil && r.publishing && othersRun {
		var unpublished bool
		unpublished, err = r.file.lockedByOther(unpublishedByte)
		hiddenRuns = hiddenRuns || unpublished
	}
	// A process that starts later and can't share its ids recognizes this one by its mark, so that the marks of others
	// matter only until there are none.
	if r.checkMarks && !othersRun {
		r.checkMarks = r.mark.othersRun()
		hiddenRuns = hiddenRuns || r.checkMarks
	}
	r.setUnknown(hiddenRuns || err != nil, err)
	return !r.unknown, !r.publishing
}

// setPublishing publishes the ids once another process runs, and stops when none does.
func (r *Registry) setPublishing(othersRun bool) error {
	switch {
	case r.file == nil || othersRun == r.publishing:
		return nil
	case othersRun:
		return r.startPublishing()
	}
	return r.stopPublishing()
}

func (r *Registry) startPublishing() error {
	for id, c := range r.open {
		if !c.locked && !c.ran {
			r.lock(id, c)
		}
	}
	if err := r.ran.publish(r.open); err != nil {
		return err
	}
	r.publishing = true
	r.log.Info("ids of open requests are shared with another process", "open", len(r.open))
	return r.file.unlock(unpublishedByte)
}

// stopPublishing marks this process as unpublished before it looks for others, and a new process marks itself as running
// before it looks for unpublished ones, so that they can't miss each other.
func (r *Registry) stopPublishing() error {
	if err := r.file.readLock(unpublishedByte); err != nil {
		return err
	}
	othersRun, err := r.file.lockedByOther(runningByte)
	if err != nil || othersRun && r.published {
		return errors.Join(err, r.file.unlock(unpublishedByte))
	}
	r.publishing = false
	r.ran.unpublish(r.log)
	r.log.Debug("ids of open requests are kept in this process only")
	return nil
}

// lock publishes an id that was claimed while it was not published.
func (r *Registry) lock(id string, c *claim) {
	if err := r.file.writeLock(idByte(id)); err != nil {
		r.log.Warn("an open id can't be shared with another process", "txn", id, "err", err)
		return
	}
	c.locked = true
}

// setUnknown records whether another process may have ids open that can't be seen.
func (r *Registry) setUnknown(unknown bool, err error) {
	if unknown == r.unknown {
		return
	}
	r.unknown = unknown
	r.log.Info("open requests of other processes", "all_known", !unknown, "err", err)
}

// Certain reports whether the open ids of all other processes are known.
func (r *Registry) Certain() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.unknown
}

// Use says what a claim is for.
type Use struct {
	Unsafe bool // the request must not run twice
	Resume bool // it asks for the rest of an answer that broke, possibly under the same id
}

// Claim reserves the id of a request until release is called. It fails with ErrOpen if an open request has the id, in this
// process or another, as a second one would share the state that workers hold for the first, and with ErrMayHaveRun if an
// unsafe request that is over had it of late and may have run, see Hold. Where it is not known whether another process has the
// id, it fails with ErrUnknown if the request is unsafe.
func (r *Registry) Claim(id string, use Use) (release func(), err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expireRan()
	c := r.open[id]
	switch {
	case c != nil && c.fronts == 0 && use.Resume: // the answer has ended, which the core may not know yet
		c.ran = false
		c.holders, c.fronts = c.holders+1, 1
		return r.releaseOnce(id, c), nil
	case c != nil && c.ran && c.fronts == 0:
		return nil, ErrMayHaveRun
	case c != nil:
		return nil, ErrOpen
	case use.Unsafe && r.unknown:
		return nil, ErrUnknown
	}
	c = &claim{holders: 1, fronts: 1, unsafe: use.Unsafe}
	if err := r.share(id, c, use); err != nil {
		r.unlock(id, c)
		return nil, err
	}
	r.open[id] = c
	return r.releaseOnce(id, c), nil
}

// share reserves an id in the other processes, and fails if it may not be claimed because of one of them.
func (r *Registry) share(id string, c *claim, use Use) error {
	if r.publishing {
		err := r.file.writeLock(idByte(id))
		if errors.Is(err, errLocked) {
			return ErrOpen
		}
		if err != nil && use.Unsafe {
			return errors.Join(ErrUnknown, err)
		}
		c.locked = err == nil
	}
	if !use.Unsafe {
		return nil
	}
	if !use.Resume {
		if err := r.ran.check(id); err != nil {
			return err
		}
	}
	if !r.publishing {
		return nil
	}
	if err := r.ran.tell(id, r.open); err != nil {
		return errors.Join(ErrUnknown, err)
	}
	return nil
}

// unlock frees an id in the file.
func (r *Registry) unlock(id string, c *claim) {
	if !c.locked {
		return
	}
	c.locked = false
	if err := r.file.unlock(idByte(id)); err != nil {
		r.log.Error("an id stays reserved until this process ends", "txn", id, "err", err)
	}
}

// Hold keeps the claimed id of a request that must not run twice reserved until done is called, once the request is over in this
// process. If it may have run, the id stays reserved for a while longer: its client may have left and come again.
func (r *Registry) Hold(id string) (done func(mayHaveRun bool)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.open[id]
	if c == nil || !c.unsafe {
		return func(bool) {}
	}
	c.holders++
	return func(mayHaveRun bool) {
		r.mu.Lock()
		defer r.mu.Unlock()
		if !mayHaveRun {
			r.release(id, c)
			return
		}
		c.ran = true
		r.ran.add(id, c)
		r.expireRan()
		if r.publishing && c.fronts == 0 { // other processes have been told
			r.unlock(id, c)
		}
	}
}

// expireRan releases the ids whose requests were over long enough ago.
func (r *Registry) expireRan() {
	for _, old := range r.ran.expired() {
		r.release(old.id, old.claim)
	}
}

// releaseOnce returns a function that releases a claim for one of its holders, the first time that it is called.
func (r *Registry) releaseOnce(id string, c *claim) (release func()) {
	released := false
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if !released {
			released = true
			c.fronts--
			r.release(id, c)
		}
	}
}

// release frees the id once all holders have released it.
func (r *Registry) release(id string, c *claim) {
	if c.holders--; c.holders > 0 {
		if c.ran && c.fronts == 0 && r.publishing { // other processes have been told
			r.unlock(id, c)
		}
		return
	}
	delete(r.open, id)
	if c.unsafe && !c.ran && r.publishing {
		r.ran.withdraw(id, r.log)
	}
	r.unlock(id, c)
}

// PrepareHandOver lets another process adopt an open id. Until this process releases it nobody else can claim it.
func (r *Registry) PrepareHandOver(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.open[id]
	if c == nil || !c.locked {
		return
	}
	if err := r.file.readLock(idByte(id)); err != nil {
		r.log.Warn("an open id can't be handed over", "txn", id, "err", err)
	}
}

// Adopt reserves an id whose request was handed over, until release is called: by another process, or by a front of this
// one. Whoever hands it over has called PrepareHandOver and releases its own claim later, so that the id is reserved without
// a gap.
func (r *Registry) Adopt(id string) (release func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.open[id]
	if c == nil {
		c = &claim{}
		r.open[id] = c
	}
	c.holders++
	c.fronts++
	if r.file != nil && !c.locked {
		err := r.file.readLock(idByte(id))
		if c.locked = err == nil; err != nil {
			r.log.Warn("an id that was handed over can't be shared with another process", "txn", id, "err", err)
		}
	}
	return r.releaseOnce(id, c)
}
