package faultproxy

import (
	"fmt"
	"slices"
	"strings"
	"testing"
)

// Requests are followed however their bytes come.
func TestRequestsAreFollowedInPieces(t *testing.T) {
	body := strings.Repeat("x", 300)
	text := "GET /stats HTTP/1.1\r\nHost: w\r\n\r\n"
	for _, id := range []string{"a", "b"} {
		text += fmt.Sprintf("POST / HTTP/1.1\r\nx-txn: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
	}
	text += "DELETE /v1/holds/a HTTP/1.1\r\nHost: w\r\n\r\n"
	for size := 1; size <= len(text); size++ {
		var ids []string
		r, rest := &requestTracker{}, text
		for len(rest) > 0 {
			n := min(size, len(rest))
			r.feed([]byte(rest[:n]), func(id string) { ids = append(ids, id) })
			rest = rest[n:]
		}
		if want := []string{"", "a", "b", ""}; !slices.Equal(ids, want) {
			t.Fatalf("pieces of %d bytes: %q, want %q", size, ids, want)
		}
	}
}
