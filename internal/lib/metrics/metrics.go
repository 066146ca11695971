// Package metrics shows what processes count of themselves, in the form that Prometheus reads. docs/metrics.md lists it.
package metrics

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// Metrics is one process's metrics.
type Metrics struct {
	registry    *prometheus.Registry
	Requests    *prometheus.CounterVec
	Allowance   *prometheus.CounterVec
	Wait        *prometheus.HistogramVec
	Dispatch    *prometheus.HistogramVec
	FirstTries  *prometheus.CounterVec
	SecondTries *prometheus.CounterVec
	SecondRuns  *prometheus.CounterVec
}

var secondsBuckets = []float64{.001, .005, .02, .1, .5, 1, 2, 5, 15, 30, 60, 120, 300, 600}

// Gauges are asked for the values that stand at the time of reading, by name.
type Gauges map[string]func() float64

// newRegistry makes a registry of the messages between our own processes, of gauges and of what collectors tell.
func newRegistry(gauges Gauges, collectors ...prometheus.Collector) *prometheus.Registry {
	registry := prometheus.NewRegistry()
	registry.MustRegister(wireTraffic{})
	registry.MustRegister(collectors...)
	for name, read := range gauges {
		registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: "See docs/metrics.md."}, read))
	}
	return registry
}

// NewHandler serves gauges and what collectors tell, with the messages between our own processes, in Prometheus' text
// form.
func NewHandler(gauges Gauges, collectors ...prometheus.Collector) http.Handler {
	return promhttp.HandlerFor(newRegistry(gauges, collectors...), promhttp.HandlerOpts{})
}

// FlagValue is a flag's value as a gauge: 1 where it is set.
func FlagValue(set bool) float64 {
	if set {
		return 1
	}
	return 0
}

// New makes the metrics.
func New(gauges Gauges) *Metrics {
	m := &Metrics{
		Requests:    prometheus.NewCounterVec(prometheus.CounterOpts{Name: "yarrowridge_queries_total", Help: "Queries ended, by lane and code."}, []string{"lane", "code"}),
		Allowance:   prometheus.NewCounterVec(prometheus.CounterOpts{Name: "yarrowridge_allowance_decisions_total", Help: "Decisions of the free output allowance."}, []string{"tenant_kind", "outcome", "asked", "allowance"}),
		Wait:        prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "yarrowridge_allowance_wait_seconds", Help: "Estimated wait that sized an allowance.", Buckets: secondsBuckets}, []string{"tenant_kind"}),
		Dispatch:    prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "yarrowridge_dispatch_wait_seconds", Help: "Time from arrival to dispatch.", Buckets: secondsBuckets}, []string{"tenant_kind"}),
		FirstTries:  prometheus.NewCounterVec(prometheus.CounterOpts{Name: "yarrowridge_first_tries_total", Help: "First tries, by service."}, []string{"service"}),
		SecondTries: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "yarrowridge_second_tries_total", Help: "Second tries, by service and whether they were let through."}, []string{"service", "let"}),
		SecondRuns:  prometheus.NewCounterVec(prometheus.CounterOpts{Name: "yarrowridge_second_runs_total", Help: "Second runs of lost streams, by lane and code."}, []string{"lane", "code"}),
	}
	m.registry = newRegistry(gauges, m.Requests, m.Allowance, m.Wait, m.Dispatch, m.FirstTries, m.SecondTries, m.SecondRuns)
	return m
}

// Handler serves the metrics in Prometheus' text form.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}
