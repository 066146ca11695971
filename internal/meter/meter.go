// Package meter holds every metric of the router, for Prometheus. docs/metrics.md is their table.
package meter

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// Meter is one process's metrics.
type Meter struct {
	reg       *prometheus.Registry
	Queries   *prometheus.CounterVec
	Allowance *prometheus.CounterVec
	Wait      *prometheus.HistogramVec
	Dispatch  *prometheus.HistogramVec
	Firsts    *prometheus.CounterVec
	Seconds   *prometheus.CounterVec
	Repeats   *prometheus.CounterVec
}

var spans = []float64{.001, .005, .02, .1, .5, 1, 2, 5, 15, 30, 60, 120, 300, 600}

// New makes the metrics. gauge is asked for the values that stand at the time of reading.
//
//	m := meter.New(map[string]func() float64{"yarrowridge_queued": n})
func New(gauge map[string]func() float64) *Meter {
	m := &Meter{reg: prometheus.NewRegistry(),
		Queries:   prometheus.NewCounterVec(prometheus.CounterOpts{Name: "yarrowridge_queries_total", Help: "Queries ended, by lane and code."}, []string{"lane", "code"}),
		Allowance: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "yarrowridge_allowance_decisions_total", Help: "Decisions of the free output allowance."}, []string{"tenant_kind", "outcome", "asked", "allowance"}),
		Wait:      prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "yarrowridge_allowance_wait_seconds", Help: "Estimated wait that sized an allowance.", Buckets: spans}, []string{"tenant_kind"}),
		Dispatch:  prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "yarrowridge_dispatch_wait_seconds", Help: "Time from arrival to dispatch.", Buckets: spans}, []string{"tenant_kind"}),
		Firsts:    prometheus.NewCounterVec(prometheus.CounterOpts{Name: "yarrowridge_first_tries_total", Help: "First tries, by service."}, []string{"service"}),
		Seconds:   prometheus.NewCounterVec(prometheus.CounterOpts{Name: "yarrowridge_second_tries_total", Help: "Second tries, by service and whether they were let through."}, []string{"service", "let"}),
		Repeats:   prometheus.NewCounterVec(prometheus.CounterOpts{Name: "yarrowridge_second_runs_total", Help: "Second runs of lost streams, by lane and code."}, []string{"lane", "code"}),
	}
	m.reg.MustRegister(m.Queries, m.Allowance, m.Wait, m.Dispatch, m.Firsts, m.Seconds, m.Repeats, wireTraffic{})
	for k, f := range gauge {
		m.reg.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: k, Help: "See docs/metrics.md."}, f))
	}
	return m
}

// Handler serves the metrics in Prometheus' text form.
//
//	http.Handle("/metrics", m.Handler())
func (m *Meter) Handler() http.Handler {
	return promhttp.HandlerFor(m.reg, promhttp.HandlerOpts{})
}
