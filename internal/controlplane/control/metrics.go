package control

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"

	"yarrowridge/internal/controlplane/core"
	"yarrowridge/internal/lib/metrics"
)

// coreGauge is a gauge with one of a core's figures as its value.
type coreGauge struct {
	description *prometheus.Desc
	value       func(core.Metrics) float64
}

func newCoreGauge(name string, value func(core.Metrics) float64) coreGauge {
	return coreGauge{prometheus.NewDesc(name, "See docs/metrics.md.", nil, nil), value}
}

var coreGauges = []coreGauge{
	newCoreGauge("yarrowridge_core_epoch", func(f core.Metrics) float64 { return float64(f.Epoch) }),
	newCoreGauge("yarrowridge_core_members", func(f core.Metrics) float64 { return float64(f.Members) }),
	newCoreGauge("yarrowridge_core_primary", func(f core.Metrics) float64 { return metrics.FlagValue(f.Primary) }),
	newCoreGauge("yarrowridge_core_ready", func(f core.Metrics) float64 { return metrics.FlagValue(f.Ready) }),
	newCoreGauge("yarrowridge_core_disk_failed", func(f core.Metrics) float64 { return metrics.FlagValue(f.DiskFailed) }),
	newCoreGauge("yarrowridge_core_store_version", func(f core.Metrics) float64 { return float64(f.StoreVersion) }),
	newCoreGauge("yarrowridge_config_version", func(f core.Metrics) float64 { return float64(f.ConfigVersion) }),
	newCoreGauge("yarrowridge_core_nodes", func(f core.Metrics) float64 { return float64(f.Nodes) }),
	newCoreGauge("yarrowridge_runners", func(f core.Metrics) float64 { return float64(f.Runners) }),
}

// figuresCollector collects a core's figures as metrics. All of them are read once per scrape, so that they are consistent.
type figuresCollector func() core.Metrics

// Describe implements prometheus.Collector.
func (read figuresCollector) Describe(out chan<- *prometheus.Desc) {
	for _, gauge := range coreGauges {
		out <- gauge.description
	}
}

// Collect implements prometheus.Collector.
func (read figuresCollector) Collect(out chan<- prometheus.Metric) {
	figures := read()
	for _, gauge := range coreGauges {
		out <- prometheus.MustNewConstMetric(gauge.description, prometheus.GaugeValue, gauge.value(figures))
	}
}

// metricsHandler returns a handler that serves a core's figures as metrics.
func metricsHandler(figures func() core.Metrics) http.Handler {
	return metrics.NewHandler(nil, figuresCollector(figures))
}
