package effectlog

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"
)

func begin(t *testing.T, path string, number int, records ...Record) *Log {
	t.Helper()
	l := Open(path, number)
	if err := l.Begin(records); err != nil {
		t.Fatal(err)
	}
	return l
}

func checkRead(t *testing.T, when string, l *Log, want ...Record) {
	t.Helper()
	if got, err := l.ReadNew(); err != nil || !slices.Equal(got, want) {
		t.Errorf("%s: %v, %v, want %v", when, got, err, want)
	}
}

// Each process reads what the others have written, once, whether or not they still run.
func TestProcessesReadEachOthersRecords(t *testing.T) {
	path := filepath.Join(t.TempDir(), "e[1]") // a character with a meaning in patterns
	a, b, c := Record{"a", time.Second}, Record{"b", time.Minute}, Record{"b", 0}
	older := begin(t, path, 1, a)
	newer := begin(t, path, 12)
	checkRead(t, "written by Begin", newer, a)
	for _, r := range []Record{b, c} {
		if err := older.Append(r); err != nil {
			t.Fatal(err)
		}
	}
	checkRead(t, "appended", newer, b, c)
	checkRead(t, "nothing new", newer)
	checkRead(t, "nothing of others", older)
	if err := older.Begin([]Record{a, b}); err != nil {
		t.Fatal(err)
	}
	checkRead(t, "written anew", newer, a, b)
	checkRead(t, "a third process", Open(path, 13), a, b)
	newer.End()
	if files, _ := filepath.Glob(filepath.Join(filepath.Dir(path), "*")); len(files) != 0 {
		t.Errorf("left over: %v", files)
	}
	if err := (&Log{}).Append(a); err != nil {
		t.Errorf("a log that is not shared: %v", err)
	}
}

// A process that is killed while it writes leaves an incomplete line, which is not read.
func TestIncompleteLineIsNotRead(t *testing.T) {
	path := filepath.Join(t.TempDir(), "e")
	a := Record{"a", time.Second}
	text := append(encode(a), encode(Record{"b", 0})[:9]...)
	if err := os.WriteFile(path+".1", text, 0o600); err != nil {
		t.Fatal(err)
	}
	checkRead(t, "incomplete", Open(path, 2), a)
}

// Failures must be reported: what other processes are not told, or can't be read of them, must not be risked.
func TestFailuresAreReported(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "e")
	l := begin(t, path, 2)
	for n := 0; ; n++ {
		if err := l.Append(Record{fmt.Sprint(n), time.Hour}); errors.Is(err, ErrFull) {
			break
		} else if err != nil || n > maxBytes {
			t.Fatal(n, err)
		}
	}
	if err := os.WriteFile(path+".1", []byte("garbage\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := l.ReadNew(); err == nil {
		t.Error("a file that can't be understood was read")
	}
	if err := os.RemoveAll(dir); err != nil {
		t.Fatal(err)
	}
	if _, err := l.ReadNew(); !errors.Is(err, errRemoved) {
		t.Errorf("the folder is gone: %v, want %v", err, errRemoved)
	}
	if err := Open(path, 3).Begin(nil); err == nil {
		t.Error("a file was written in a folder that is gone")
	}
	l.file.Close()
	if err := l.Append(Record{"x", 0}); err == nil {
		t.Error("a write that failed was not reported")
	}
}
