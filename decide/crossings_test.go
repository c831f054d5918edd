package decide

import (
	"slices"
	"testing"
	"time"
)

// The first token of an answer comes behind the module's own Cancel, or behind its own final answer, which the core has not given then.
// Its server is not blamed, nothing more is sent, and nothing of the request stays behind its end.
func TestFirstTokenBehindOwnCancelOrEnd(t *testing.T) {
	for name, cross := range map[string]func(r *Router, rec *recorder){
		"cancel": func(r *Router, rec *recorder) {
			for _, at := range slices.Sorted(slices.Values(rec.timers[1])) {
				if r.Timer(at, 1); rec.called("cancel 1 1") {
					return
				}
			}
			t.Fatal("the silent attempt was not cancelled")
		},
		"refuse":   func(r *Router, rec *recorder) { r.Timer(testRequest(1).TimeLeft, 1) },
		"shutdown": func(r *Router, rec *recorder) { r.Shutdown(r.now) },
	} {
		r, rec := newTestRouter(t, testSettings(), testServers())
		r.Request(0, testRequest(1))
		reader := rec.lastServer()
		r.Outcome(50*ms, Outcome{ID: 1, Server: reader, Status: Read, Elapsed: 50 * ms})
		writer := rec.lastServer()
		cross(r, rec)
		sends := len(rec.sends)
		r.Started(r.now+ms, Started{ID: 1, Attempt: 1, Server: writer, Elapsed: r.now})
		s := r.servers[writer]
		if s.suspect || s.failures.value(r.now) > 0 || s.aliveAt != r.now || r.requests[1] == nil || r.requests[1].holder != nil {
			t.Errorf("%s: its server: suspect %v, %v failures, alive at %v of %v", name, s.suspect, s.failures.value(r.now), s.aliveAt, r.now)
		}
		for _, at := range rec.timers[1] {
			r.Timer(max(r.now, at), 1)
		}
		r.Outcome(r.now+time.Second, Outcome{ID: 1, Attempt: 1, Server: writer, Status: Served, Final: true})
		r.Outcome(r.now, Outcome{ID: 1, Attempt: 1, Server: writer, Status: Cancelled, Final: true}) // a second end is none
		if len(rec.sends) != sends || len(r.requests) != 0 || s.inFlight != 0 || s.tokens != 0 || r.requestTokens != 0 || s.failures.value(r.now) > 0 {
			t.Errorf("%s: %d sends more, %d requests left, at its server %d in flight with %d tokens, %d tokens of requests", name, len(rec.sends)-sends,
				len(r.requests), s.inFlight, s.tokens, r.requestTokens)
		}
	}
}
