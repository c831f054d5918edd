// Package measure owns what operators see of the desk in figures: metrics for scraping, and traces of requests through
// caller, grants, attempts and end. It must never decide, hold anything a peer names without bound (no metric is
// labelled by a caller, a request or a worker), nor run where the operator's file does not ask for it.
package measure

import (
	"context"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"

	"rowanyard/internal/decisions"
	"rowanyard/internal/grant"
	"rowanyard/internal/invariant"
	"rowanyard/internal/kvindex"
)

// Metrics are the desk's.
type Metrics struct {
	registry *prometheus.Registry
	answers  *prometheus.HistogramVec
	refusals *prometheus.CounterVec
	ages     *prometheus.HistogramVec
	delays   prometheus.Histogram
}

// New returns Metrics. Count is asked at each scrape; set it with Follow.
func New() *Metrics {
	m := &Metrics{registry: prometheus.NewRegistry(),
		answers: prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "rowanyard_choice_seconds",
			Help: "From a caller's call to the grant that answers it, by stage.", Buckets: prometheus.ExponentialBuckets(0.0005, 2, 14)}, []string{"stage"}),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "rowanyard_refusals_total",
			Help: "Calls that were refused, by reason."}, []string{"reason"}),
		ages: prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "rowanyard_grant_age_seconds",
			Help: "How old grants were when they were reported, revoked or expired.", Buckets: prometheus.ExponentialBuckets(0.001, 2, 14)}, []string{"state"}),
		delays: prometheus.NewHistogram(prometheus.HistogramOpts{Name: "rowanyard_revocation_delay_seconds",
			Help: "From the news of a drain to its revocations on a caller's stream.", Buckets: prometheus.ExponentialBuckets(0.0001, 2, 14)}),
	}
	m.registry.MustRegister(m.answers, m.refusals, m.ages, m.delays)
	return m
}

// Seen is what a Desk tells.
func (m *Metrics) Seen() decisions.Seen {
	return decisions.Seen{
		Granted: func(stage string, wait time.Duration) { m.answers.WithLabelValues(stage).Observe(wait.Seconds()) },
		Refused: func(reason string) { m.refusals.WithLabelValues(reason).Inc() },
		Ended:   func(s grant.State, age time.Duration) { m.ages.WithLabelValues(s.String()).Observe(age.Seconds()) },
		Revoked: func(delay time.Duration) { m.delays.Observe(delay.Seconds()) },
	}
}

// Follow has each scrape count what is open at the desk.
func (m *Metrics) Follow(d *decisions.Desk) { m.registry.MustRegister(open{d}) }

// FollowGuard has each scrape count what the guards have found.
func (m *Metrics) FollowGuard(g *invariant.Guard) { m.registry.MustRegister(guarded{g}) }

// guarded collects what guards have found.
type guarded struct{ guard *invariant.Guard }

var descGuard = prometheus.NewDesc("rowanyard_guard_total",
	"Steps that a guard stopped as two events had crossed (result=stopped), and invariants that did not hold (result=violated).",
	[]string{"step", "result"}, nil)

// Describe implements prometheus.Collector.
func (c guarded) Describe(to chan<- *prometheus.Desc) { to <- descGuard }

// Collect implements prometheus.Collector.
func (c guarded) Collect(to chan<- prometheus.Metric) {
	for _, count := range c.guard.Counts() {
		step := count.Step.String()
		to <- prometheus.MustNewConstMetric(descGuard, prometheus.CounterValue, float64(count.Stopped), step, "stopped")
		to <- prometheus.MustNewConstMetric(descGuard, prometheus.CounterValue, float64(count.Violated), step, "violated")
	}
}

// Handler serves the metrics.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{MaxRequestsInFlight: 4})
}

// open collects what is open.
type open struct{ desk *decisions.Desk }

var (
	descGrants   = prometheus.NewDesc("rowanyard_grants", "Grants that are known, by state.", []string{"state"}, nil)
	descRequests = prometheus.NewDesc("rowanyard_grant_requests", "Requests that callers have open.", nil, nil)
	descEffects  = prometheus.NewDesc("rowanyard_effects", "Effects in the ledger: requests that may have run and must not again.", nil, nil)
	descCallers  = prometheus.NewDesc("rowanyard_callers", "Callers that have a request or a stream open.", nil, nil)
)

// Describe implements prometheus.Collector.
func (o open) Describe(to chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{descGrants, descRequests, descEffects, descCallers} {
		to <- d
	}
}

// Collect implements prometheus.Collector.
func (o open) Collect(to chan<- prometheus.Metric) {
	var c grant.Counts
	o.desk.Table(func(_ time.Duration, t *grant.Table) { c = t.Count() })
	for s := grant.Offered; s <= grant.Expired; s++ {
		to <- prometheus.MustNewConstMetric(descGrants, prometheus.GaugeValue, float64(c.States[s]), s.String())
	}
	to <- prometheus.MustNewConstMetric(descRequests, prometheus.GaugeValue, float64(c.Requests))
	to <- prometheus.MustNewConstMetric(descEffects, prometheus.GaugeValue, float64(c.Effects))
	to <- prometheus.MustNewConstMetric(descCallers, prometheus.GaugeValue, float64(c.Callers))
}

const (
	traceQueue = 512 // spans that wait to be sent; more are dropped
	traceEvery = 2 * time.Second
	traceEnd   = 300 * time.Millisecond
)

// Traces sends a share of the requests' traces to an OTLP/HTTP collector. close sends what waits, within a short time.
func Traces(ctx context.Context, endpoint string, share float64, router string) (p *sdktrace.TracerProvider, close func(), err error) {
	u, err := url.Parse(endpoint)
	if err != nil {
		return nil, nil, err
	}
	if strings.Trim(u.Path, "/") == "" { // the collector's usual place
		u = u.JoinPath("v1", "traces")
	}
	out, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(u.String()))
	if err != nil {
		return nil, nil, err
	}
	p = sdktrace.NewTracerProvider(sdktrace.WithBatcher(out, sdktrace.WithMaxQueueSize(traceQueue), sdktrace.WithBatchTimeout(traceEvery)),
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(share))),
		sdktrace.WithResource(resource.NewSchemaless(attribute.String("service.name", "rowanyard"), attribute.String("service.instance.id", router))))
	return p, func() {
		ctx, stop := context.WithTimeout(context.Background(), traceEnd)
		defer stop()
		p.Shutdown(ctx)
	}, nil
}

// FollowTexts has each scrape count what is known of the texts that workers keep.
func (m *Metrics) FollowTexts(stats func() kvindex.Stats) { m.registry.MustRegister(texts{stats}) }

// texts collects what is known of texts.
type texts struct{ stats func() kvindex.Stats }

var (
	descBlocks    = prometheus.NewDesc("rowanyard_kv_blocks", "Blocks of text that workers report to keep, known now.", nil, nil)
	descReporters = prometheus.NewDesc("rowanyard_kv_workers", "Workers of which reports are known.", nil, nil)
	descGaps      = prometheus.NewDesc("rowanyard_kv_gaps_total", "Times that a worker's reports had a gap.", nil, nil)
	descReplays   = prometheus.NewDesc("rowanyard_kv_replays_total", "Gaps that were filled in time.", nil, nil)
	descAged      = prometheus.NewDesc("rowanyard_kv_aged_total", "Gaps that were not: the worker's knowledge went.", nil, nil)
	descBad       = prometheus.NewDesc("rowanyard_kv_refused_total", "Reports, or parts of them, that count for nothing, by reason.", []string{"reason"}, nil)
	descPredicted = prometheus.NewDesc("rowanyard_kv_predictions_total", "Reads at workers whose kept length was predicted.", nil, nil)
	descWrong     = prometheus.NewDesc("rowanyard_kv_wrong_predictions_total", "Of these, predicted wrong by more than a tenth and 64 tokens.", nil, nil)
)

// Describe implements prometheus.Collector.
func (x texts) Describe(to chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{descBlocks, descReporters, descGaps, descReplays, descAged, descBad, descPredicted, descWrong} {
		to <- d
	}
}

// Collect implements prometheus.Collector.
func (x texts) Collect(to chan<- prometheus.Metric) {
	s := x.stats()
	to <- prometheus.MustNewConstMetric(descBlocks, prometheus.GaugeValue, float64(s.Blocks))
	to <- prometheus.MustNewConstMetric(descReporters, prometheus.GaugeValue, float64(s.Workers))
	to <- prometheus.MustNewConstMetric(descGaps, prometheus.CounterValue, float64(s.Gaps))
	to <- prometheus.MustNewConstMetric(descReplays, prometheus.CounterValue, float64(s.Replays))
	to <- prometheus.MustNewConstMetric(descAged, prometheus.CounterValue, float64(s.Aged))
	to <- prometheus.MustNewConstMetric(descPredicted, prometheus.CounterValue, float64(s.Predicted))
	to <- prometheus.MustNewConstMetric(descWrong, prometheus.CounterValue, float64(s.Wrong))
	for reason, n := range s.Refused {
		to <- prometheus.MustNewConstMetric(descBad, prometheus.CounterValue, float64(n), reason)
	}
}
