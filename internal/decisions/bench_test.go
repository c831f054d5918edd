package decisions_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"google.golang.org/grpc/metadata"

	"rowanyard/internal/decisions"
	"rowanyard/internal/decisions/pb"
	"rowanyard/internal/standin"
)

// Measures the time from learning of a drain until each of n callers, with one grant each at the worker and a stream of its
// own, has received the revocation. One operation is one drain; the percentiles are over all callers.
func BenchmarkRevocation(b *testing.B) {
	for _, callers := range []int{1, 8, 64} {
		b.Run(fmt.Sprint(callers), func(b *testing.B) {
			t := b
			e := start(t, standin.Options{Readers: 1, Writers: 1})
			received := make(chan time.Time, callers)
			var names []*caller
			ctx, stop := context.WithCancel(context.Background())
			defer stop()
			for i := range callers {
				c := e.caller(fmt.Sprint("c", i))
				names = append(names, c)
				w, err := c.Watch(metadata.AppendToOutgoingContext(ctx, decisions.CallerMetadataKey, c.name))
				if err != nil {
					b.Fatal(err)
				}
				if _, err := w.Recv(); err != nil {
					b.Fatal(err)
				}
				go func() {
					for {
						m, err := w.Recv()
						if err != nil {
							return
						}
						for range m.Revocations {
							received <- time.Now()
						}
					}
				}()
			}
			var delays []time.Duration
			n := 0
			for b.Loop() {
				var all sync.WaitGroup
				worker := ""
				grants := make([]*pb.Choice, callers)
				for i, c := range names {
					n++
					id := fmt.Sprint("q", n)
					all.Go(func() {
						g, err := c.ask(id, 0, "draft-reply")
						if err != nil {
							b.Error(err)
							return
						}
						grants[i] = g
					})
				}
				all.Wait()
				if b.Failed() {
					return
				}
				worker = grants[0].Worker
				drainedAt := time.Now()
				e.setWorkers(map[string]bool{worker: true})
				for range callers {
					delays = append(delays, (<-received).Sub(drainedAt))
				}
				e.setWorkers(nil)
				for i, c := range names {
					c.Report(c.ctx(), &pb.ReportRequest{Grant: grants[i].Grant, Fate: pb.Fate_FATE_NOT_SENT, Over: true})
				}
			}
			slices.Sort(delays)
			b.ReportMetric(float64(delays[len(delays)/2].Microseconds()), "µs/median")
			b.ReportMetric(float64(delays[len(delays)*99/100].Microseconds()), "µs/p99")
		})
	}
}
