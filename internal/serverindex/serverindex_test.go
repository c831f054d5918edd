package serverindex

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// The index agrees with a scan of the whole list, after each change and at any time.
func TestIndexAgreesWithTheList(t *testing.T) {
	const roles, kinds, maxServers = 3, 4, 30
	random := rand.New(rand.NewPCG(1, 1))
	index := New[int](roles, kinds)
	for range 200 {
		list := make([]Entry[int], random.IntN(maxServers))
		for i := range list {
			kind := random.IntN(kinds)
			list[i] = Entry[int]{Server: i, Kind: kind, Role: kind % roles, WarmAt: time.Duration(random.IntN(9))}
		}
		index.Replace(list)
		for now := time.Duration(-1); now < 10; now++ {
			for role := range roles {
				compareRole(t, index, list, role, now)
			}
			for kind := range kinds {
				want := count(list, func(e Entry[int]) bool { return e.Kind == kind && e.WarmAt <= now })
				if got := index.WarmCount(kind, now); got != want {
					t.Fatalf("kind %d at %v: %d warm, want %d", kind, now, got, want)
				}
			}
		}
	}
}

func compareRole(t *testing.T, index *Index[int], list []Entry[int], role int, now time.Duration) {
	t.Helper()
	var ready []int
	for _, e := range list {
		if e.Role == role {
			ready = append(ready, e.Server)
		}
	}
	if got := index.Ready(role); !slices.Equal(got, ready) {
		t.Fatalf("role %d: %v, want %v", role, got, ready)
	}
	var warm, cold []int
	for _, e := range list {
		switch {
		case e.Role == role && e.WarmAt <= now:
			warm = append(warm, e.Server)
		case e.Role == role:
			cold = append(cold, e.Server)
		}
	}
	if got := index.Warm(role, now); !slices.Equal(got, warm) {
		t.Fatalf("role %d at %v: %v warm, want %v", role, now, got, warm)
	}
	if got := index.Cold(role, now); !slices.Equal(got, cold) {
		t.Fatalf("role %d at %v: %v cold, want %v", role, now, got, cold)
	}
}

func count(list []Entry[int], is func(Entry[int]) bool) (n int) {
	for _, e := range list {
		if is(e) {
			n++
		}
	}
	return n
}
