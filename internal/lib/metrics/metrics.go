// Package metrics exports what a process counts of itself in Prometheus' text form. docs/metrics.md lists all metrics with
// their labels; names and labels never change.
package metrics

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// Metrics are the counters and histograms of one router. All of them may be used concurrently.
type Metrics struct {
	registry *prometheus.Registry

	Requests           *prometheus.CounterVec   // ended, by lane and code
	AllowanceDecisions *prometheus.CounterVec   // of the free output allowance, by tenant kind, outcome and size buckets
	AllowanceWait      *prometheus.HistogramVec // seconds that a decision was based on, by tenant kind
	DispatchWait       *prometheus.HistogramVec // seconds from arrival to dispatch, by tenant kind
	FirstAttempts      *prometheus.CounterVec   // by service; what the retries are limited against
	RetryDecisions     *prometheus.CounterVec   // by service and whether the retry was allowed
	StreamReruns       *prometheus.CounterVec   // requests run again for a lost stream, by lane and code
}

// secondsBuckets are the upper bounds of the histograms' buckets, in seconds: from a dispatch without queueing to ten
// minutes in the queue.
var secondsBuckets = []float64{.001, .005, .02, .1, .5, 1, 2, 5, 15, 30, 60, 120, 300, 600}

// Gauges are functions that return a value as it is when the metrics are read, by the metric's name. They are called
// concurrently.
type Gauges map[string]func() float64

// New returns the metrics of a router, with its gauges.
func New(gauges Gauges) *Metrics {
	m := &Metrics{
		Requests:           newCounter("yarrowridge_queries_total", "Queries ended, by lane and code.", "lane", "code"),
		AllowanceDecisions: newCounter("yarrowridge_allowance_decisions_total", "Decisions of the free output allowance.", "tenant_kind", "outcome", "asked", "allowance"),
		AllowanceWait:      newHistogram("yarrowridge_allowance_wait_seconds", "Estimated wait that sized an allowance.", "tenant_kind"),
		DispatchWait:       newHistogram("yarrowridge_dispatch_wait_seconds", "Time from arrival to dispatch.", "tenant_kind"),
		FirstAttempts:      newCounter("yarrowridge_first_tries_total", "First tries, by service.", "service"),
		RetryDecisions:     newCounter("yarrowridge_second_tries_total", "Second tries, by service and whether they were let through.", "service", "let"),
		StreamReruns:       newCounter("yarrowridge_second_runs_total", "Second runs of lost streams, by lane and code.", "lane", "code"),
	}
	m.registry = newRegistry(gauges, m.Requests, m.AllowanceDecisions, m.AllowanceWait, m.DispatchWait, m.FirstAttempts, m.RetryDecisions, m.StreamReruns)
	return m
}

// Handler returns a handler that answers with the metrics in Prometheus' text form.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// NewHandler returns a handler that answers with gauges, the metrics of collectors and the traffic between our own
// processes, in Prometheus' text form.
func NewHandler(gauges Gauges, collectors ...prometheus.Collector) http.Handler {
	return promhttp.HandlerFor(newRegistry(gauges, collectors...), promhttp.HandlerOpts{})
}

// newRegistry returns a registry of the traffic between our own processes, of gauges and of collectors. It panics where
// two metrics have one name.
func newRegistry(gauges Gauges, collectors ...prometheus.Collector) *prometheus.Registry {
	registry := prometheus.NewRegistry()
	registry.MustRegister(wireTraffic{})
	registry.MustRegister(collectors...)
	for name, read := range gauges {
		registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: "See docs/metrics.md."}, read))
	}
	return registry
}

// newCounter returns a counter with labels.
func newCounter(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Name: name, Help: help}, labels)
}

// newHistogram returns a histogram of seconds with labels.
func newHistogram(name, help string, labels ...string) *prometheus.HistogramVec {
	return prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: name, Help: help, Buckets: secondsBuckets}, labels)
}

// FlagValue returns the value of a flag as a gauge: 1 where it is set, else 0.
func FlagValue(set bool) float64 {
	if set {
		return 1
	}
	return 0
}
