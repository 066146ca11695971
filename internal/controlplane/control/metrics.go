package control

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"

	"yarrowridge/internal/controlplane/core"
	"yarrowridge/internal/lib/metrics"
)

// coreGauge is a gauge with one of a core's metrics as its value.
type coreGauge struct {
	description *prometheus.Desc
	value       func(core.Metrics) float64
}

func newCoreGauge(name string, value func(core.Metrics) float64) coreGauge {
	return coreGauge{prometheus.NewDesc(name, "See docs/metrics.md.", nil, nil), value}
}

var coreGauges = []coreGauge{
	newCoreGauge("yarrowridge_core_epoch", func(m core.Metrics) float64 { return float64(m.Epoch) }),
	newCoreGauge("yarrowridge_core_members", func(m core.Metrics) float64 { return float64(m.Members) }),
	newCoreGauge("yarrowridge_core_primary", func(m core.Metrics) float64 { return metrics.FlagValue(m.Primary) }),
	newCoreGauge("yarrowridge_core_ready", func(m core.Metrics) float64 { return metrics.FlagValue(m.Ready) }),
	newCoreGauge("yarrowridge_core_disk_failed", func(m core.Metrics) float64 { return metrics.FlagValue(m.DiskFailed) }),
	newCoreGauge("yarrowridge_core_store_version", func(m core.Metrics) float64 { return float64(m.StoreVersion) }),
	newCoreGauge("yarrowridge_config_version", func(m core.Metrics) float64 { return float64(m.ConfigVersion) }),
	newCoreGauge("yarrowridge_core_nodes", func(m core.Metrics) float64 { return float64(m.Nodes) }),
	newCoreGauge("yarrowridge_runners", func(m core.Metrics) float64 { return float64(m.Runners) }),
}

// metricsCollector collects a core's metrics. All of them are read once per scrape, so that they are consistent.
type metricsCollector func() core.Metrics

// Describe implements prometheus.Collector.
func (read metricsCollector) Describe(out chan<- *prometheus.Desc) {
	for _, gauge := range coreGauges {
		out <- gauge.description
	}
}

// Collect implements prometheus.Collector.
func (read metricsCollector) Collect(out chan<- prometheus.Metric) {
	values := read()
	for _, gauge := range coreGauges {
		out <- prometheus.MustNewConstMetric(gauge.description, prometheus.GaugeValue, gauge.value(values))
	}
}

// metricsHandler returns a handler that serves a core's metrics.
func metricsHandler(read func() core.Metrics) http.Handler {
	return metrics.NewHandler(nil, metricsCollector(read))
}
