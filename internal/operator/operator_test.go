package operator

import (
	"errors"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"syscall"
	"testing"
)

// fleet is a Router that knows some workers.
type fleet struct {
	listed []string
	out    []string
}

func (f *fleet) Known(id string) bool   { return slices.Contains(f.listed, id) }
func (f *fleet) SetBanned(ids []string) { f.out = slices.Clone(ids) }

func open(t *testing.T, dir string) *Share {
	t.Helper()
	s, err := Open(dir, "n/1")
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func desk(s *Share, f *fleet) *Desk {
	return &Desk{Share: s, Router: f, Standby: func(bool) {}, Serving: func() bool { return true }, Log: slog.New(slog.DiscardHandler)}
}

func call(d *Desk, method, path string) int {
	w := httptest.NewRecorder()
	d.ServeHTTP(w, httptest.NewRequest(method, path, nil))
	return w.Code
}

// What one process is told the other must know: calls reach whichever of two is asked.
func TestTwoProcessesShareWhatOperatorsAsk(t *testing.T) {
	dir := t.TempDir()
	a, b := open(t, dir), open(t, dir)
	if !a.Alone() || b.Alone() {
		t.Fatal("which process came first is not seen")
	}
	fa, fb := &fleet{listed: []string{"w1", "w2"}}, &fleet{listed: []string{"w2"}}
	old, next := desk(a, fa), desk(b, fb)
	old.Begin()
	old.Serves()
	next.Begin()
	for path, want := range map[string]int{"/maintenance/enter?who=w1": 200, "/maintenance/enter?who=w1&who=w2": 400,
		"/maintenance/enter?who=no": 404, "/other": 404} {
		if got := call(old, http.MethodPost, path); got != want {
			t.Errorf("%s: %d, want %d", path, got, want)
		}
	}
	if _, newer := old.Successor(); newer {
		t.Error("succeeded by a process that does not serve")
	}
	next.Serves()
	if at, newer := old.Successor(); !newer || at != next.Socket() {
		t.Errorf("successor %q %v, want %q", at, newer, next.Socket())
	}
	next.look()
	if !slices.Equal(fb.out, []string{"w1"}) {
		t.Errorf("the next process has out %v", fb.out)
	}
	// A worker that is out may be called back where it is not listed any more.
	if got := call(next, http.MethodPost, "/maintenance/exit?who=w1"); got != 200 || len(fb.out) != 0 {
		t.Errorf("back: %d, out %v", got, fb.out)
	}
	old.look()
	if len(fa.out) != 0 {
		t.Errorf("the old process still has out %v", fa.out)
	}
	b.mine.Close() // the next process dies: the old one must not leave its address to nobody
	if _, newer := old.Successor(); newer {
		t.Error("succeeded by a process that has died")
	}
	a.alive.Close()
	if !b.Alone() {
		t.Error("the next process does not see that it is alone")
	}
}

// A file that can't be read or written must not stop what is asked of this process.
func TestCallsHoldWithoutTheFile(t *testing.T) {
	dir := t.TempDir()
	s, f := open(t, dir), &fleet{listed: []string{"w1"}}
	os.WriteFile(s.path, []byte("{"), 0o600)
	d := desk(s, f)
	d.Begin()
	os.RemoveAll(dir)
	if got := call(d, http.MethodPost, "/maintenance/enter?who=w1"); got != 200 || !slices.Equal(f.out, []string{"w1"}) {
		t.Errorf("%d, out %v", got, f.out)
	}
	d.look()
	if none, err := Open("", "x"); err != nil || !none.Alone() {
		t.Error("nothing to share")
	}
}

// The folder may fail for a while, at a write, a sync or a rename. What an operator was told has been done holds meanwhile, is not
// taken back by what the file says, and is in the file once that can be written.
func TestWhatWasAskedIsOwedWhileTheFolderFails(t *testing.T) {
	dir := t.TempDir()
	s, f := open(t, dir), &fleet{listed: []string{"w1", "w2"}}
	d := desk(s, f)
	d.Begin()
	if call(d, http.MethodPost, "/maintenance/enter?who=w1") != 200 {
		t.Fatal("refused")
	}
	for _, fails := range []error{syscall.ENOSPC, syscall.EIO} {
		s.write = func(string, []byte) error { return fails }
		for _, path := range []string{"/maintenance/enter?who=w2", "/maintenance/exit?who=w1"} {
			if got := call(d, http.MethodPost, path); got != 200 {
				t.Errorf("%v: %s: %d", fails, path, got)
			}
		}
		if d.look(); !slices.Equal(f.out, []string{"w2"}) {
			t.Errorf("%v: out %v, taken back", fails, f.out)
		}
		s.write = writeDurably
		d.look()
		if st, err := s.Load(); err != nil || !slices.Equal(st.Banned, []string{"w2"}) || st.Started != 1 {
			t.Errorf("%v: the file has %+v, %v", fails, st, err)
		}
		call(d, http.MethodPost, "/maintenance/exit?who=w2")
		call(d, http.MethodPost, "/maintenance/enter?who=w1")
	}
}

// A file that is empty, half written or noise does not undo what this process knows, and is made whole again.
func TestAGarbledFileIsMadeWhole(t *testing.T) {
	for _, text := range []string{"", `{"started":1,"ban`, "\x00\x00", "[]"} {
		s, f := open(t, t.TempDir()), &fleet{listed: []string{"w1"}}
		d := desk(s, f)
		d.Begin()
		call(d, http.MethodPost, "/maintenance/enter?who=w1")
		if err := os.WriteFile(s.path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if d.look(); !slices.Equal(f.out, []string{"w1"}) {
			t.Errorf("%q: out %v", text, f.out)
		}
		if st, err := s.Load(); err != nil || !slices.Equal(st.Banned, []string{"w1"}) || st.Started != 1 {
			t.Errorf("%q: the file has %+v, %v", text, st, err)
		}
	}
}

// A file is replaced whole or not at all, and nothing half written is left.
func TestAFailedWriteLeavesTheOldText(t *testing.T) {
	path := filepath.Join(t.TempDir(), "f")
	if err := writeDurably(path, []byte("old")); err != nil {
		t.Fatal(err)
	}
	fails := func(*os.File) error { return syscall.EIO }
	if err := replaceFile(path, []byte("new"), fails); !errors.Is(err, syscall.EIO) {
		t.Errorf("%v", err)
	}
	if text, _ := os.ReadFile(path); string(text) != "old" {
		t.Errorf("%q", text)
	}
	if _, err := os.Stat(path + ".new"); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("left over: %v", err)
	}
}

// A process that has the lock and is stopped holds no call up.
func TestAStoppedProcessHoldsNoCallUp(t *testing.T) {
	s, f := open(t, t.TempDir()), &fleet{listed: []string{"w1"}}
	d := desk(s, f)
	d.Begin()
	other, err := os.Open(s.path + ".lock")
	if err != nil {
		t.Fatal(err)
	}
	if err := lockWithin(other, lockWait); err != nil {
		t.Fatal(err)
	}
	if got := call(d, http.MethodPost, "/maintenance/enter?who=w1"); got != 200 || len(f.out) != 1 {
		t.Errorf("%d, out %v", got, f.out)
	}
	other.Close()
	if d.look(); len(d.unkept) != 0 {
		t.Errorf("%d changes are not written", len(d.unkept))
	}
}
