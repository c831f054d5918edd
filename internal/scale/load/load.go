// Package load is clients of one router: requests in the platform's protocol, begun at a steady rate whatever becomes of
// those before (an open loop), with sessions of some turns and prompts that share beginnings.
package load

import (
	"context"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Options describe the load on one router.
type Options struct {
	Address string  // of the router
	Rate    float64 // requests a second
	Seed    uint64
	Class   string
	Prompt  int // bytes of a prompt; four make a token
}

const (
	turns        = 4                // requests of a session, in the mean
	openSessions = 50               // that may have another turn
	beginnings   = 200              // that sessions share
	patience     = 10 * time.Second // a client waits so long for its first token
	charsToken   = 4
	idleClient   = 2 * time.Second // a client's connection closes after this
)

// Result is how requests ended.
type Result struct{ Sent, Served, Refused, Failed int }

// client plays the requests of one run.
type client struct {
	Options
	http *http.Client
	mu   sync.Mutex
	Result
}

// Run plays the load until ctx ends, and waits for what is under way then.
func Run(ctx context.Context, o Options) Result {
	if o.Rate <= 0 {
		<-ctx.Done()
		return Result{}
	}
	c := &client{Options: o, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: math.MaxInt, IdleConnTimeout: idleClient}}}
	defer c.http.CloseIdleConnections()
	random := rand.New(rand.NewPCG(o.Seed, 0))
	tick := time.NewTicker(time.Duration(float64(time.Second) / o.Rate))
	defer tick.Stop()
	sessions := &recent{}
	var all sync.WaitGroup
	for n := uint64(1); ; n++ {
		select {
		case <-ctx.Done():
			all.Wait()
			return c.Result
		case <-tick.C:
		}
		s := sessions.next(random)
		all.Go(func() { c.send(n, s) })
	}
}

// session is one conversation.
type session struct{ id, beginning uint64 }

// recent is the sessions that may have another turn.
type recent struct{ sessions []session }

// next is a session with its turn to come: a new one, or one of the latest once more.
func (r *recent) next(random *rand.Rand) session {
	if len(r.sessions) > 0 && random.Float64() < float64(turns-1)/turns {
		return r.sessions[random.IntN(len(r.sessions))]
	}
	s := session{id: random.Uint64() | 1, beginning: random.Uint64N(beginnings) + 1}
	r.sessions = append(r.sessions, s)
	if len(r.sessions) > openSessions {
		r.sessions = r.sessions[1:]
	}
	return s
}

// send plays one request to the end of its answer.
func (c *client) send(n uint64, s session) {
	text := strings.Repeat("x", c.Prompt)
	body := fmt.Sprintf(`{"model":"chat","stream":true,"max_tokens":400,"messages":[{"role":"user","content":%q}]}`, text)
	req, err := http.NewRequest(http.MethodPost, "http://"+c.Address+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		panic(err) // the address was checked
	}
	tokens := c.Prompt / charsToken
	for name, value := range map[string]string{
		"X-Txn":          fmt.Sprintf("%016x", c.Seed<<32+n),
		"X-Lane":         c.Class,
		"X-Entity":       fmt.Sprintf("%016x", s.id),
		"X-Remaining-Ms": fmt.Sprint(patience.Milliseconds()),
		"X-Estimate":     "8000000",
		"X-Labels":       fmt.Sprintf("prefix=%016x,prompt_len=%d,prefix_len=%d,max_out=400", s.beginning, tokens, tokens*2/3),
	} {
		req.Header.Set(name, value)
	}
	result := c.do(req)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.Sent++
	switch result {
	case http.StatusOK:
		c.Served++
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		c.Refused++
	default:
		c.Failed++
	}
}

// do returns the answer's status, 0 where there is none or it broke.
func (c *client) do(req *http.Request) int {
	res, err := c.http.Do(req)
	if err != nil {
		return 0
	}
	defer res.Body.Close()
	if _, err := io.Copy(io.Discard, res.Body); err != nil {
		return 0
	}
	return res.StatusCode
}
