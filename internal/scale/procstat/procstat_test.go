package procstat

import (
	"os"
	"testing"
	"time"
)

func TestParse(t *testing.T) {
	const text = "42 (a (b) c) S 1 2 3 4 5 6 7 8 9 10 150 50 0 0 20 0 9 0 100 4096000 300 0 0\n"
	got, err := parse([]byte(text))
	want := Sample{CPU: 2 * time.Second, Resident: 300 * int64(os.Getpagesize()), Threads: 9}
	if err != nil || got != want {
		t.Errorf("%+v %v, want %+v", got, err, want)
	}
	for _, bad := range []string{"", "42 sh S 1", "42 (sh) S 1 2", "42 (sh) S 1 2 3 4 5 6 7 8 9 10 x 50 0 0 20 0 9 0 100 4096000 300 0"} {
		if got, err := parse([]byte(bad)); err == nil {
			t.Errorf("%q: %+v", bad, got)
		}
	}
}

func TestReadOwnProcess(t *testing.T) {
	got, err := Read(os.Getpid())
	if err != nil || got.Resident <= 0 || got.Threads <= 0 || got.Descriptors < 3 {
		t.Errorf("%+v %v", got, err)
	}
	if _, err := Read(-1); err == nil {
		t.Error("no error for a process id that cannot exist")
	}
}
