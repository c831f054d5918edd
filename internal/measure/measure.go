// Package measure exports Prometheus metrics, and OpenTelemetry traces of requests with their grants and attempts. No metric has
// a caller, request or worker as label, so that peers can't make the number of series grow. Both are off unless the operator's
// file enables them.
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
	"rowanyard/internal/inbound"
	"rowanyard/internal/invariant"
	"rowanyard/internal/kvindex"
)

// Metrics holds the metrics of the decision service and the collectors registered with it.
type Metrics struct {
	registry         *prometheus.Registry
	choiceTimes      *prometheus.HistogramVec
	refusals         *prometheus.CounterVec
	grantAges        *prometheus.HistogramVec
	revocationDelays prometheus.Histogram
}

// New returns Metrics. The Collect methods add metrics that are computed at each scrape.
func New() *Metrics {
	m := &Metrics{registry: prometheus.NewRegistry(),
		choiceTimes: prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "rowanyard_choice_seconds",
			Help: "From a caller's call to the grant that answers it, by stage.", Buckets: prometheus.ExponentialBuckets(0.0005, 2, 14)}, []string{"stage"}),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "rowanyard_refusals_total",
			Help: "Calls that were refused, by reason."}, []string{"reason"}),
		grantAges: prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "rowanyard_grant_age_seconds",
			Help: "How old grants were when they were reported, revoked or expired.", Buckets: prometheus.ExponentialBuckets(0.001, 2, 14)}, []string{"state"}),
		revocationDelays: prometheus.NewHistogram(prometheus.HistogramOpts{Name: "rowanyard_revocation_delay_seconds",
			Help: "From the news of a drain to its revocations on a caller's stream.", Buckets: prometheus.ExponentialBuckets(0.0001, 2, 14)}),
	}
	m.registry.MustRegister(m.choiceTimes, m.refusals, m.grantAges, m.revocationDelays)
	return m
}

// Observer returns an observer through which a decisions.Coordinator records its measurements in m.
func (m *Metrics) Observer() decisions.Observer {
	return decisions.Observer{
		Granted: func(stage string, wait time.Duration) { m.choiceTimes.WithLabelValues(stage).Observe(wait.Seconds()) },
		Refused: func(reason string) { m.refusals.WithLabelValues(reason).Inc() },
		Ended:   func(s grant.State, age time.Duration) { m.grantAges.WithLabelValues(s.String()).Observe(age.Seconds()) },
		Revoked: func(delay time.Duration) { m.revocationDelays.Observe(delay.Seconds()) },
	}
}

// CollectGrants adds the numbers of grants, requests, callers and effects of d.
func (m *Metrics) CollectGrants(d *decisions.Coordinator) { m.registry.MustRegister(grantCollector{d}) }

// CollectGuard adds the counts of g.
func (m *Metrics) CollectGuard(g *invariant.Guard) { m.registry.MustRegister(guardCollector{g}) }

// CollectInput adds what clients' input has waited for and holds.
func (m *Metrics) CollectInput(b *inbound.Budgets) { m.registry.MustRegister(inputCollector{b}) }

// inputCollector collects the counts of the accounts of input.
type inputCollector struct{ budgets *inbound.Budgets }

var (
	descInputTurns   = prometheus.NewDesc("rowanyard_input_turns_total", "Reads of clients' input that had to wait for their turn.", nil, nil)
	descInputWaited  = prometheus.NewDesc("rowanyard_input_wait_seconds_total", "Time that these have waited, in all.", nil, nil)
	descInputWaiting = prometheus.NewDesc("rowanyard_input_waiting", "Connections whose input waits for its turn.", nil, nil)
	descInputMemory  = prometheus.NewDesc("rowanyard_input_bytes", "Memory that clients' heads and bodies hold.", nil, nil)
)

// Describe implements prometheus.Collector.
func (c inputCollector) Describe(to chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{descInputTurns, descInputWaited, descInputWaiting, descInputMemory} {
		to <- d
	}
}

// Collect implements prometheus.Collector.
func (c inputCollector) Collect(to chan<- prometheus.Metric) {
	counts := c.budgets.Work.Counts()
	to <- prometheus.MustNewConstMetric(descInputTurns, prometheus.CounterValue, float64(counts.Turns))
	to <- prometheus.MustNewConstMetric(descInputWaited, prometheus.CounterValue, counts.Waited.Seconds())
	to <- prometheus.MustNewConstMetric(descInputWaiting, prometheus.GaugeValue, float64(counts.Waiting))
	to <- prometheus.MustNewConstMetric(descInputMemory, prometheus.GaugeValue, float64(c.budgets.Memory.Used()))
}

// guardCollector collects the counts of an invariant.Guard.
type guardCollector struct{ guard *invariant.Guard }

var descGuard = prometheus.NewDesc("rowanyard_guard_total",
	"Steps that a guard stopped as two events had crossed (result=stopped), and invariants that did not hold (result=violated).",
	[]string{"step", "result"}, nil)

// Describe implements prometheus.Collector.
func (c guardCollector) Describe(to chan<- *prometheus.Desc) { to <- descGuard }

// Collect implements prometheus.Collector.
func (c guardCollector) Collect(to chan<- prometheus.Metric) {
	for _, count := range c.guard.Counts() {
		step := count.Step.String()
		to <- prometheus.MustNewConstMetric(descGuard, prometheus.CounterValue, float64(count.Stopped), step, "stopped")
		to <- prometheus.MustNewConstMetric(descGuard, prometheus.CounterValue, float64(count.Violated), step, "violated")
	}
}

// Handler serves the metrics page.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{MaxRequestsInFlight: 4})
}

// grantCollector counts the entries of a Coordinator's grant table.
type grantCollector struct{ coordinator *decisions.Coordinator }

var (
	descGrants   = prometheus.NewDesc("rowanyard_grants", "Grants that are known, by state.", []string{"state"}, nil)
	descRequests = prometheus.NewDesc("rowanyard_grant_requests", "Requests that callers have open.", nil, nil)
	descEffects  = prometheus.NewDesc("rowanyard_effects", "Effects in the ledger: requests that may have run and must not again.", nil, nil)
	descCallers  = prometheus.NewDesc("rowanyard_callers", "Callers that have a request or a stream open.", nil, nil)
)

// Describe implements prometheus.Collector.
func (o grantCollector) Describe(to chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{descGrants, descRequests, descEffects, descCallers} {
		to <- d
	}
}

// Collect implements prometheus.Collector.
func (o grantCollector) Collect(to chan<- prometheus.Metric) {
	var c grant.Counts
	o.coordinator.Table(func(_ time.Duration, t *grant.Table) { c = t.Count() })
	for s := grant.Offered; s <= grant.Expired; s++ {
		to <- prometheus.MustNewConstMetric(descGrants, prometheus.GaugeValue, float64(c.States[s]), s.String())
	}
	to <- prometheus.MustNewConstMetric(descRequests, prometheus.GaugeValue, float64(c.Requests))
	to <- prometheus.MustNewConstMetric(descEffects, prometheus.GaugeValue, float64(c.Effects))
	to <- prometheus.MustNewConstMetric(descCallers, prometheus.GaugeValue, float64(c.Callers))
}

const (
	maxQueuedSpans     = 512 // further spans are dropped
	traceBatchInterval = 2 * time.Second
	traceFlushTimeout  = 300 * time.Millisecond
)

// NewTracerProvider returns a tracer provider that sends the given share of traces to an OTLP/HTTP collector. shutdown sends
// queued spans, but gives up after a short time.
func NewTracerProvider(ctx context.Context, endpoint string, share float64, router string) (provider *sdktrace.TracerProvider, shutdown func(), err error) {
	u, err := url.Parse(endpoint)
	if err != nil {
		return nil, nil, err
	}
	if strings.Trim(u.Path, "/") == "" { // the default path of OTLP/HTTP
		u = u.JoinPath("v1", "traces")
	}
	exporter, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(u.String()))
	if err != nil {
		return nil, nil, err
	}
	provider = sdktrace.NewTracerProvider(sdktrace.WithBatcher(exporter, sdktrace.WithMaxQueueSize(maxQueuedSpans), sdktrace.WithBatchTimeout(traceBatchInterval)),
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(share))),
		sdktrace.WithResource(resource.NewSchemaless(attribute.String("service.name", "rowanyard"), attribute.String("service.instance.id", router))))
	return provider, func() {
		ctx, stop := context.WithTimeout(context.Background(), traceFlushTimeout)
		defer stop()
		provider.Shutdown(ctx)
	}, nil
}

// CollectCacheReports adds the statistics that stats returns on the index of workers' prefix caches.
func (m *Metrics) CollectCacheReports(stats func() kvindex.Stats) {
	m.registry.MustRegister(cacheCollector{stats})
}

// cacheCollector collects the statistics of the index of workers' prefix caches.
type cacheCollector struct{ stats func() kvindex.Stats }

var (
	descBlocks      = prometheus.NewDesc("rowanyard_kv_blocks", "Blocks of text that workers report to keep, known now.", nil, nil)
	descWorkers     = prometheus.NewDesc("rowanyard_kv_workers", "Workers of which reports are known.", nil, nil)
	descGaps        = prometheus.NewDesc("rowanyard_kv_gaps_total", "Times that a worker's reports had a gap.", nil, nil)
	descReplays     = prometheus.NewDesc("rowanyard_kv_replays_total", "Gaps that were filled in time.", nil, nil)
	descExpiredGaps = prometheus.NewDesc("rowanyard_kv_aged_total", "Gaps that were not: the worker's knowledge went.", nil, nil)
	descRefused     = prometheus.NewDesc("rowanyard_kv_refused_total", "Reports, or parts of them, that count for nothing, by reason.", []string{"reason"}, nil)
	descPredicted   = prometheus.NewDesc("rowanyard_kv_predictions_total", "Reads at workers whose kept length was predicted.", nil, nil)
	descWrong       = prometheus.NewDesc("rowanyard_kv_wrong_predictions_total", "Of these, predicted wrong by more than a tenth and 64 tokens.", nil, nil)
)

// Describe implements prometheus.Collector.
func (x cacheCollector) Describe(to chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{descBlocks, descWorkers, descGaps, descReplays, descExpiredGaps, descRefused, descPredicted, descWrong} {
		to <- d
	}
}

// Collect implements prometheus.Collector.
func (x cacheCollector) Collect(to chan<- prometheus.Metric) {
	s := x.stats()
	to <- prometheus.MustNewConstMetric(descBlocks, prometheus.GaugeValue, float64(s.Blocks))
	to <- prometheus.MustNewConstMetric(descWorkers, prometheus.GaugeValue, float64(s.Workers))
	to <- prometheus.MustNewConstMetric(descGaps, prometheus.CounterValue, float64(s.Gaps))
	to <- prometheus.MustNewConstMetric(descReplays, prometheus.CounterValue, float64(s.Replays))
	to <- prometheus.MustNewConstMetric(descExpiredGaps, prometheus.CounterValue, float64(s.ExpiredGaps))
	to <- prometheus.MustNewConstMetric(descPredicted, prometheus.CounterValue, float64(s.Predictions))
	to <- prometheus.MustNewConstMetric(descWrong, prometheus.CounterValue, float64(s.WrongPredictions))
	for reason, n := range s.Refused {
		to <- prometheus.MustNewConstMetric(descRefused, prometheus.CounterValue, float64(n), reason)
	}
}
