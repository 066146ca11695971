// Package metrics exports the metrics of a process in the Prometheus text format. docs/metrics.md lists all metrics with
// their labels; names and labels never change.
package metrics

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// Metrics holds the counters and histograms of one router. All of them may be used concurrently.
type Metrics struct {
	registry *prometheus.Registry

	Requests           *prometheus.CounterVec   // completed requests, by lane and code
	AllowanceDecisions *prometheus.CounterVec   // of the free output allowance, by tenant kind, outcome, and buckets of requested and granted tokens
	AllowanceWait      *prometheus.HistogramVec // estimated wait in seconds on which an allowance decision was based, by tenant kind
	DispatchWait       *prometheus.HistogramVec // seconds from arrival to dispatch, by tenant kind
	FirstAttempts      *prometheus.CounterVec   // first attempts, by service; the retry budget is relative to them
	RetryDecisions     *prometheus.CounterVec   // decisions on retries, by service and whether the retry was allowed
	StreamReruns       *prometheus.CounterVec   // requests run again after their stream was lost, by lane and code
}

// secondsBuckets are the upper bounds of the histogram buckets, in seconds. They range from a dispatch without queueing to
// ten minutes in the queue.
var secondsBuckets = []float64{.001, .005, .02, .1, .5, 1, 2, 5, 15, 30, 60, 120, 300, 600}

// Gauges maps the names of gauges to functions that return their current values. The functions are called at each scrape
// and may be called concurrently.
type Gauges map[string]func() float64

// New returns the metrics of a router, which include the given gauges.
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

// Handler returns a handler that serves the metrics in the Prometheus text format.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// NewHandler returns a handler that serves gauges, the metrics of collectors and the wire traffic counters in the Prometheus
// text format.
func NewHandler(gauges Gauges, collectors ...prometheus.Collector) http.Handler {
	return promhttp.HandlerFor(newRegistry(gauges, collectors...), promhttp.HandlerOpts{})
}

// newRegistry returns a registry of the wire traffic counters, gauges and collectors. It panics if two metrics have the same
// name.
func newRegistry(gauges Gauges, collectors ...prometheus.Collector) *prometheus.Registry {
	registry := prometheus.NewRegistry()
	registry.MustRegister(wireTraffic{})
	registry.MustRegister(collectors...)
	for name, read := range gauges {
		registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: "See docs/metrics.md."}, read))
	}
	return registry
}

// newCounter returns a counter vector with the given labels.
func newCounter(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Name: name, Help: help}, labels)
}

// newHistogram returns a histogram vector with the given labels and secondsBuckets.
func newHistogram(name, help string, labels ...string) *prometheus.HistogramVec {
	return prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: name, Help: help, Buckets: secondsBuckets}, labels)
}

// FlagValue converts a boolean to the value of a gauge: 1 if set, 0 otherwise.
func FlagValue(set bool) float64 {
	if set {
		return 1
	}
	return 0
}
