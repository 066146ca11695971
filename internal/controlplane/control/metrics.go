package control

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"

	"yarrowridge/internal/controlplane/core"
	"yarrowridge/internal/lib/metrics"
)

// coreGauge is one of a core's figures, as a metric.
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

// figuresCollector gives a core's figures as metrics. They are read once for each page, so that all are of one moment.
type figuresCollector func() core.Metrics

// Describe names the metrics, as prometheus asks for.
func (read figuresCollector) Describe(out chan<- *prometheus.Desc) {
	for _, gauge := range coreGauges {
		out <- gauge.description
	}
}

// Collect reads the figures, as prometheus asks for.
func (read figuresCollector) Collect(out chan<- prometheus.Metric) {
	figures := read()
	for _, gauge := range coreGauges {
		out <- prometheus.MustNewConstMetric(gauge.description, prometheus.GaugeValue, gauge.value(figures))
	}
}

// metricsHandler serves a core's own figures.
func metricsHandler(figures func() core.Metrics) http.Handler {
	return metrics.NewHandler(nil, figuresCollector(figures))
}
