package openids

import (
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"os"

	"golang.org/x/sys/unix"
)

// Bytes of the lock file. The file stays empty: only locks on its bytes are used. They belong to the open file, so that the
// system releases them when the process ends, however it ends, and keeps them while it stands still.
const (
	runningByte     = 0       // read-locked by each process while it runs
	unpublishedByte = 1       // read-locked by each process that does not lock the ids of its open requests
	firstNumberByte = 1 << 32 // and the bytes behind it: write-locked by the process with that number
	firstIDByte     = 1 << 62 // and the bytes behind it, up to the largest offset: one for each id, at its hash
)

// errLocked is returned if another process holds a lock that excludes the requested one.
var errLocked = errors.New("locked by another process")

// lockFile is a file whose bytes the processes of a router lock.
type lockFile struct{ file *os.File }

func openLockFile(path string) (*lockFile, error) {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	return &lockFile{file}, nil
}

func (l *lockFile) close() error { return l.file.Close() }

// idByte returns the byte that stands for an id. It is a part of a cryptographic hash, so that clients can't choose ids that
// share a byte.
func idByte(id string) int64 {
	hash := sha256.Sum256([]byte(id))
	return firstIDByte | int64(binary.BigEndian.Uint64(hash[:])>>2)
}

// readLock locks a byte against write locks of other processes. A write lock that this process holds on it becomes a read
// lock, without a moment in between at which the byte is not locked.
func (l *lockFile) readLock(offset int64) error { return l.lock(unix.F_RDLCK, offset) }

// writeLock locks a byte against all locks of other processes.
func (l *lockFile) writeLock(offset int64) error { return l.lock(unix.F_WRLCK, offset) }

func (l *lockFile) unlock(offset int64) error { return l.lock(unix.F_UNLCK, offset) }

func (l *lockFile) lock(kind int16, offset int64) error {
	err := l.control(unix.F_OFD_SETLK, &unix.Flock_t{Type: kind, Start: offset, Len: 1})
	if errors.Is(err, unix.EAGAIN) || errors.Is(err, unix.EACCES) {
		return errLocked
	}
	return err
}

// lockedByOther reports whether another process has locked a byte.
func (l *lockFile) lockedByOther(offset int64) (bool, error) {
	lock := unix.Flock_t{Type: unix.F_WRLCK, Start: offset, Len: 1}
	if err := l.control(unix.F_OFD_GETLK, &lock); err != nil {
		return false, err
	}
	return lock.Type != unix.F_UNLCK, nil
}

// control makes a call of fcntl that does not block, again where a signal has interrupted it.
func (l *lockFile) control(command int, lock *unix.Flock_t) error {
	raw, err := l.file.SyscallConn()
	if err != nil {
		return err
	}
	var callErr error
	err = raw.Control(func(fd uintptr) {
		for {
			if callErr = unix.FcntlFlock(fd, command, lock); !errors.Is(callErr, unix.EINTR) {
				return
			}
		}
	})
	return errors.Join(err, callErr)
}
