// Package load generates the load of many clients on one router. It is an open loop: requests in the platform's
// protocol start at a constant rate, regardless of earlier ones. They belong to sessions of several turns, and their
// prompts share prefixes.
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

// Options configures the load on one router.
type Options struct {
	Address string  // of the router
	Rate    float64 // requests per second
	Seed    uint64
	Class   string
	Prompt  int // bytes of a prompt, four per token
}

const (
	meanTurns         = 4                // mean number of requests of a session
	maxOpenSessions   = 50               // sessions that may have another turn
	prefixCount       = 200              // prefixes that sessions share
	firstTokenTimeout = 10 * time.Second // how long a client waits for the first token, sent as X-Remaining-Ms
	bytesPerToken     = 4
	idleConnTimeout   = 2 * time.Second // idle client connections are closed after this
)

// Result counts requests by their outcome.
type Result struct{ Sent, Served, Refused, Failed int }

// client sends the requests of one run.
type client struct {
	Options
	http *http.Client
	mu   sync.Mutex
	Result
}

// Run generates load until ctx ends, waits for the requests in progress, and returns the outcomes. A rate of 0
// generates none.
func Run(ctx context.Context, o Options) Result {
	if o.Rate <= 0 {
		<-ctx.Done()
		return Result{}
	}
	c := &client{Options: o, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: math.MaxInt, IdleConnTimeout: idleConnTimeout}}}
	defer c.http.CloseIdleConnections()
	random := rand.New(rand.NewPCG(o.Seed, 0))
	tick := time.NewTicker(time.Duration(float64(time.Second) / o.Rate))
	defer tick.Stop()
	sessions := &openSessions{}
	var requests sync.WaitGroup
	for n := uint64(1); ; n++ {
		select {
		case <-ctx.Done():
			requests.Wait()
			return c.Result
		case <-tick.C:
		}
		s := sessions.next(random)
		requests.Go(func() { c.send(n, s) })
	}
}

// session is one conversation.
type session struct{ id, prefix uint64 }

// openSessions holds the sessions that may have another turn.
type openSessions struct{ sessions []session }

// next returns the session of the next request: a new one, or a random open one.
func (r *openSessions) next(random *rand.Rand) session {
	if len(r.sessions) > 0 && random.Float64() < float64(meanTurns-1)/meanTurns {
		return r.sessions[random.IntN(len(r.sessions))]
	}
	s := session{id: random.Uint64() | 1, prefix: random.Uint64N(prefixCount) + 1}
	r.sessions = append(r.sessions, s)
	if len(r.sessions) > maxOpenSessions {
		r.sessions = r.sessions[1:]
	}
	return s
}

// send sends one request, reads the response to its end and counts the outcome.
func (c *client) send(n uint64, s session) {
	text := strings.Repeat("x", c.Prompt)
	body := fmt.Sprintf(`{"model":"chat","stream":true,"max_tokens":400,"messages":[{"role":"user","content":%q}]}`, text)
	req, err := http.NewRequest(http.MethodPost, "http://"+c.Address+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		panic(err) // the address is that of a running router
	}
	tokens := c.Prompt / bytesPerToken
	for name, value := range map[string]string{
		"X-Txn":          fmt.Sprintf("%016x", c.Seed<<32+n),
		"X-Lane":         c.Class,
		"X-Entity":       fmt.Sprintf("%016x", s.id),
		"X-Remaining-Ms": fmt.Sprint(firstTokenTimeout.Milliseconds()),
		"X-Estimate":     "8000000",
		"X-Labels":       fmt.Sprintf("prefix=%016x,prompt_len=%d,prefix_len=%d,max_out=400", s.prefix, tokens, tokens*2/3),
	} {
		req.Header.Set(name, value)
	}
	result := c.roundTrip(req)
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

// roundTrip returns the status of the response, or 0 if there was none or it broke off.
func (c *client) roundTrip(req *http.Request) int {
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
