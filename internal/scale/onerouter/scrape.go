package onerouter

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"
)

// Scrapes counts scrapes of the router's metrics.
type Scrapes struct {
	Succeeded, Failed int64
	Bytes             int64 // of the bodies of successful scrapes
}

// since returns the difference to earlier counts.
func (s Scrapes) since(before Scrapes) Scrapes {
	return Scrapes{Succeeded: s.Succeeded - before.Succeeded, Failed: s.Failed - before.Failed, Bytes: s.Bytes - before.Bytes}
}

// scraper requests a router's metrics.
type scraper struct {
	address                  string
	succeeded, failed, bytes atomic.Int64
}

func (s *scraper) counts() Scrapes {
	return Scrapes{Succeeded: s.succeeded.Load(), Failed: s.failed.Load(), Bytes: s.bytes.Load()}
}

// run scrapes at the given interval over a kept connection until ctx ends.
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
		s.succeeded.Add(1)
		s.bytes.Add(n)
	}
}

// scrape requests the metrics once and returns the size of the body.
func (s *scraper) scrape(ctx context.Context, client *http.Client) (int64, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.address+"/metrics", nil)
	if err != nil {
		return 0, err
	}
	res, err := client.Do(req)
	if err != nil {
		return 0, err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return 0, fmt.Errorf("metrics: %s", res.Status)
	}
	return io.Copy(io.Discard, res.Body)
}
