package httpfront

import (
	"net"
	"strings"
	"testing"

	"rowanyard/internal/inbound"
)

// The number of pipelined requests does not depend on how their bytes are divided, and is what a scan of all of them finds.
func TestPipelinedRequestsAreCountedAsTheyCome(t *testing.T) {
	one := requestText("one", contentLength("body"), "body")
	for name, x := range map[string]struct {
		text string
		want int
	}{
		"none":             {"", 0},
		"a part of a line": {"POST", 0},
		"a first line":     {"POST / HTTP/1.1\r\n", 1},
		"whole":            {one + one + one, 3},
		"a part of a body": {one + one[:len(one)-2], 2},
		"chunked":          {one + requestText("two", "Transfer-Encoding: chunked\r\n", "0\r\n\r\n") + one, 2},
		"malformed":        {one + "\r\n\r\n" + one + one, 2},
		"an empty line":    {one + "\r\n" + one + "\r\n" + one, 3},
	} {
		for _, step := range []int{1, 7, len(x.text) + 1} {
			var counter pipelineCounter
			got := 0
			for end := 0; end <= len(x.text)+step; end += step {
				got = counter.count([]byte(x.text[:min(end, len(x.text))]))
			}
			if got != x.want {
				t.Errorf("%s, %d bytes at a time: %d requests, want %d", name, step, got, x.want)
			}
		}
	}
}

// Each request that becomes the current one is no longer counted, however the rest has come.
func TestCountFollowsTheCurrentRequest(t *testing.T) {
	one := requestText("one", contentLength("body"), "body")
	text := []byte(strings.Repeat(one, 3) + one[:60])
	var counter pipelineCounter
	if n := counter.count(text); n != 4 {
		t.Fatal(n)
	}
	for left := 3; left > 0; left-- {
		counter.begin(len(one))
		counter.consume(len(one))
		if text = text[len(one):]; counter.count(text) != left {
			t.Fatalf("%d requests, want %d", counter.count(text), left)
		}
	}
	counter.begin(len(one))
	if n := counter.count(text); n != 0 {
		t.Errorf("%d behind a request in part", n)
	}
}

// A head with very many fields is answered with an error, and none of it is parsed.
func TestHeadWithVeryManyFieldsIsRejected(t *testing.T) {
	f, _ := newFront(t, "127.0.0.1:1")
	addr := serveOnTCP(t, f, 50)
	for fields, want := range map[int]string{maxHeadFields - 2: "HTTP/1.1 404", maxHeadFields + 1: "HTTP/1.1 431", 2800: "HTTP/1.1 431"} {
		client := dialAndSend(t, addr, "GET /none HTTP/1.1\r\nHost: x\r\n"+strings.Repeat("a:b\r\n", fields)+"\r\n")
		answer := make([]byte, len(want))
		if _, err := client.Read(answer); string(answer) != want {
			t.Errorf("%d fields: %q %v, want %q", fields, answer, err, want)
		}
	}
}

// A connection that was accepted keeps no turn: other input is read at once.
func TestAcceptedConnectionKeepsNoTurn(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	budgets := inbound.NewBudgets(1, 64<<20)
	listener := newClientListener(l, 9, 0, budgets, discardLogger)
	dialAndSend(t, l.Addr().String(), "")
	c, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if began, ok := budgets.NewClient().TryBegin(); !began || !ok {
		t.Error("input has to wait after a connection was accepted")
	}
}
