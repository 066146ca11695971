package router

import (
	"net/http"

	"yarrowridge/internal/lib/metrics"
)

// metricsHandler returns the handler that serves the gateway's metrics.
func (g *Gateway) metricsHandler() http.Handler {
	return metrics.NewHandler(metrics.Gauges{
		"yarrowridge_requests_open":  func() float64 { return float64(g.ClientHandler.InFlight()) },
		"yarrowridge_config_version": func() float64 { return float64(g.Cluster.ConfigVersion()) },
		"yarrowridge_runners":        func() float64 { return float64(len(g.Registry.List())) },
		"yarrowridge_routers":        func() float64 { return float64(len(g.Cluster.Nodes())) },
		"yarrowridge_stale":          func() float64 { return metrics.FlagValue(g.Cluster.CoreTimedOut()) },
		"yarrowridge_ready":          func() float64 { return metrics.FlagValue(g.notReadyReason() == "") },
	}, g.ClientHandler.Counts())
}
