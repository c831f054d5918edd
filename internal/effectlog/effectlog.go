// Package effectlog tells the other processes of a router which requests may have run that must not run twice, while several
// of them run, as during an upgrade. Each process writes a file that the others read. A file outlives its process, so that
// nothing is forgotten when that one ends, however it ends. A process that runs alone writes nothing.
package effectlog

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"time"

	"rowanyard/internal/numberedfile"
)

// maxBytes is the size up to which records are appended to what Begin has written.
const maxBytes = 4 << 20

// Errors of a Log.
var (
	ErrFull    = errors.New("effect log: the file is full")       // returned by Append; Begin writes the file anew
	errRemoved = errors.New("effect log: the files were removed") // while this process needs them
)

// Record says for how long it must be remembered that a request may have run, counted from when the record is read. With 0
// it has not run after all.
type Record struct {
	Request string        `json:"request"`
	Keep    time.Duration `json:"keep"` // nanoseconds
}

// Log is one process's view of the files. The zero value shares nothing. Its methods must not be called concurrently.
type Log struct {
	path   string // of all files, without the number
	number int    // of this process
	file   *os.File
	size   int64
	limit  int64
	read   map[string]readPosition // in the files of other processes, by path
}

// readPosition is how far a file has been read.
type readPosition struct {
	file   os.FileInfo
	offset int64
}

// Open returns the log of the process with this number. The files of all processes begin with path. With an empty path
// nothing is shared. No file is opened before Begin.
func Open(path string, number int) *Log {
	return &Log{path: path, number: number, read: make(map[string]readPosition)}
}

// Begin writes this process's file anew, with the given records. From now on Append adds to it.
func (l *Log) Begin(records []Record) error {
	if l.path == "" {
		return nil
	}
	var text bytes.Buffer
	for _, r := range records {
		text.Write(encode(r))
	}
	temp := l.pathOf(l.number) + ".new"
	file, err := os.OpenFile(temp, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("effect log: %w", err)
	}
	_, err = file.Write(text.Bytes())
	if err == nil {
		err = os.Rename(temp, l.pathOf(l.number))
	}
	if err != nil {
		return fmt.Errorf("effect log: %w", errors.Join(err, file.Close(), os.Remove(temp)))
	}
	if l.file != nil {
		l.file.Close()
	}
	l.file, l.size, l.limit = file, int64(text.Len()), int64(text.Len())+maxBytes
	return nil
}

// IsOpen reports whether records can be appended.
func (l *Log) IsOpen() bool { return l.file != nil }

// Append adds a record to this process's file. After an error other processes have not been told.
func (l *Log) Append(r Record) error {
	if l.file == nil {
		return nil
	}
	text := encode(r)
	if l.size+int64(len(text)) > l.limit {
		return ErrFull
	}
	n, err := l.file.WriteAt(text, l.size) // overwrites what an earlier failed write has left
	if err != nil {
		return fmt.Errorf("effect log: %w", err)
	}
	l.size += int64(n)
	return nil
}

// encode returns a record as one line.
func encode(r Record) []byte {
	text, _ := json.Marshal(r) // a string and a number can be marshalled
	return append(text, '\n')
}

// ReadNew returns the records that other processes have written since the last call.
func (l *Log) ReadNew() ([]Record, error) {
	if err := l.checkOwnFile(); err != nil {
		return nil, err
	}
	others, err := l.others()
	if err != nil {
		return nil, fmt.Errorf("effect log: %w", err)
	}
	var records []Record
	for _, number := range others {
		path := l.pathOf(number)
		read, err := l.readFile(path)
		if err != nil {
			return records, fmt.Errorf("effect log: %s: %w", path, err)
		}
		records = append(records, read...)
	}
	return records, nil
}

// checkOwnFile returns an error if this process's file is not at its path any more. Those of others may be gone as well.
func (l *Log) checkOwnFile() error {
	if l.file == nil {
		return nil
	}
	opened, err := l.file.Stat()
	if err != nil {
		return fmt.Errorf("effect log: %w", err)
	}
	if named, err := os.Stat(l.pathOf(l.number)); err != nil || !os.SameFile(opened, named) {
		return errRemoved
	}
	return nil
}

// readFile returns the new records of one file, which are all of them if it was written anew. A line that is not complete is
// left for the next time.
func (l *Log) readFile(path string) ([]Record, error) {
	file, err := os.Open(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	defer file.Close()
	info, err := file.Stat()
	if err != nil {
		return nil, err
	}
	position := l.read[path]
	if !os.SameFile(position.file, info) {
		position = readPosition{file: info}
	}
	text, err := io.ReadAll(io.NewSectionReader(file, position.offset, info.Size()-position.offset))
	if err != nil {
		return nil, err
	}
	text = text[:bytes.LastIndexByte(text, '\n')+1]
	var records []Record
	for line := range bytes.Lines(text) {
		var r Record
		if err := json.Unmarshal(line, &r); err != nil {
			return nil, err
		}
		records = append(records, r)
	}
	position.offset += int64(len(text))
	l.read[path] = position
	return records, nil
}

// End removes this process's file, and those of older processes, which must have ended and been read.
func (l *Log) End() {
	if l.file != nil {
		l.file.Close()
		l.file = nil
		_ = os.Remove(l.pathOf(l.number))
	}
	others, _ := l.others()
	for _, number := range others {
		if path := l.pathOf(number); number < l.number {
			_ = os.Remove(path)
			delete(l.read, path)
		}
	}
}

// pathOf returns the path of the file of the process with this number.
func (l *Log) pathOf(number int) string { return fmt.Sprintf("%s.%d", l.path, number) }

// others returns the numbers of the other processes that have a file.
func (l *Log) others() ([]int, error) {
	if l.path == "" {
		return nil, nil
	}
	numbers, err := numberedfile.Numbers(l.path+".", "")
	return slices.DeleteFunc(numbers, func(number int) bool { return number == l.number }), err
}
