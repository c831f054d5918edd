package decide_test

import (
	"fmt"
	"time"

	"rowanyard/decide"
)

// printer is a minimal Executor that prints its calls.
type printer struct{}

func (printer) Send(id decide.RequestID, server string, timeout time.Duration) {
	fmt.Printf("send %d to %s\n", id, server)
}
func (printer) Cancel(id decide.RequestID, attempt int) { fmt.Printf("cancel %d/%d\n", id, attempt) }
func (printer) Refuse(id decide.RequestID, retryAfter time.Duration) {
	fmt.Printf("refuse %d\n", id)
}
func (printer) Fail(id decide.RequestID)       { fmt.Printf("fail %d\n", id) }
func (printer) Release(id decide.RequestID)    { fmt.Printf("release %d\n", id) }
func (printer) SetTimer(uint64, time.Duration) {} // a real Executor calls Router.Timer at that time
func (printer) Probe(string)                   {}
func (printer) RequestServerList(watch bool)   {}

// The host of a Router passes it every event with the time of its clock, and carries out its calls.
func Example() {
	settings := decide.Settings{
		RouterCount: 1,
		Classes:     []decide.Class{{TTFTTarget: time.Second, Deadline: 5 * time.Second, TPOTTarget: 60 * time.Millisecond, Value: 1}},
		Kinds:       []decide.Kind{{Role: decide.Reader}, {Role: decide.Writer}},
	}
	router, err := decide.New(settings, 1, printer{})
	if err != nil {
		fmt.Println(err)
		return
	}
	router.Servers(0, decide.ServerList{Complete: true, Servers: []decide.Server{
		{ID: "reader-a", Kind: 0}, {ID: "writer-a", Kind: 1},
	}})
	router.Request(0, decide.Request{ID: 7, TimeLeft: 5 * time.Second, Session: 1, PromptLength: 900, MaxOutput: 200})
	router.Outcome(80*time.Millisecond, decide.Outcome{ID: 7, Server: "reader-a", Status: decide.Read})
	router.Started(120*time.Millisecond, decide.Started{ID: 7, Attempt: 1, Server: "writer-a"})
	router.Outcome(2*time.Second, decide.Outcome{ID: 7, Attempt: 1, Server: "writer-a", Status: decide.Served, Final: true})
	// Output:
	// send 7 to reader-a
	// send 7 to writer-a
	// release 7
}
