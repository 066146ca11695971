package control

import (
	"net/http"

	"yarrowridge/internal/core"
	"yarrowridge/internal/metrics"
)

// metricsHandler serves a core's own figures.
func metricsHandler(figures func() core.Figures) http.Handler {
	return metrics.NewHandler(metrics.Gauges{
		"yarrowridge_core_epoch":         func() float64 { return float64(figures().Epoch) },
		"yarrowridge_core_members":       func() float64 { return float64(figures().Members) },
		"yarrowridge_core_primary":       func() float64 { return metrics.FlagValue(figures().Primary) },
		"yarrowridge_core_ready":         func() float64 { return metrics.FlagValue(figures().Ready) },
		"yarrowridge_core_disk_failed":   func() float64 { return metrics.FlagValue(figures().DiskFailed) },
		"yarrowridge_core_store_version": func() float64 { return float64(figures().StoreVersion) },
		"yarrowridge_config_version":     func() float64 { return float64(figures().ConfigVersion) },
		"yarrowridge_core_nodes":         func() float64 { return float64(figures().Nodes) },
		"yarrowridge_runners":            func() float64 { return float64(figures().Runners) },
	})
}
