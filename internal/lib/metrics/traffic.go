package metrics

import (
	"github.com/prometheus/client_golang/prometheus"

	"yarrowridge/internal/transport/wire"
)

// Descriptions of the metrics of package wire.
var (
	wireFrames = prometheus.NewDesc("yarrowridge_wire_frames_total", "Messages between our own processes, by kind and direction.", []string{"kind", "direction"}, nil)
	wireBytes  = prometheus.NewDesc("yarrowridge_wire_bytes_total", "Bytes of messages between our own processes, by kind and direction.", []string{"kind", "direction"}, nil)
)

// wireTraffic is a prometheus.Collector that exports the traffic counters of package wire.
type wireTraffic struct{}

// Describe implements prometheus.Collector.
func (wireTraffic) Describe(out chan<- *prometheus.Desc) {
	out <- wireFrames
	out <- wireBytes
}

// Collect implements prometheus.Collector.
func (wireTraffic) Collect(out chan<- prometheus.Metric) {
	for kind, traffic := range wire.TrafficByKind() {
		for direction, count := range map[string]wire.Count{"sent": traffic.Sent(), "received": traffic.Received()} {
			out <- prometheus.MustNewConstMetric(wireFrames, prometheus.CounterValue, float64(count.Frames), kind, direction)
			out <- prometheus.MustNewConstMetric(wireBytes, prometheus.CounterValue, float64(count.Bytes), kind, direction)
		}
	}
}
