package onerouter

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"
)

// Scrapes is what whoever asks for metrics has got.
type Scrapes struct {
	Good, Failed int64
	Bytes        int64 // of the good ones' bodies
}

// since is what came after other counts.
func (s Scrapes) since(before Scrapes) Scrapes {
	return Scrapes{Good: s.Good - before.Good, Failed: s.Failed - before.Failed, Bytes: s.Bytes - before.Bytes}
}

// scraper asks a router for its metrics.
type scraper struct {
	address             string
	good, failed, bytes atomic.Int64
}

func (s *scraper) counts() Scrapes {
	return Scrapes{Good: s.good.Load(), Failed: s.failed.Load(), Bytes: s.bytes.Load()}
}

// run scrapes so often, over a connection that is kept, until ctx ends.
func (s *scraper) run(ctx context.Context, every time.Duration) {
	client := &http.Client{Timeout: every, Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	for tick := time.NewTicker(every); ; {
		select {
		case <-ctx.Done():
			tick.Stop()
			return
		case <-tick.C:
		}
		n, err := s.scrape(ctx, client)
		if err != nil {
			s.failed.Add(1)
			continue
		}
		s.good.Add(1)
		s.bytes.Add(n)
	}
}

// scrape asks once and returns the size of the answer.
func (s *scraper) scrape(ctx context.Context, client *http.Client) (int64, error) {
	ask, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.address+"/metrics", nil)
	if err != nil {
		return 0, err
	}
	answer, err := client.Do(ask)
	if err != nil {
		return 0, err
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		return 0, fmt.Errorf("metrics: %s", answer.Status)
	}
	return io.Copy(io.Discard, answer.Body)
}
