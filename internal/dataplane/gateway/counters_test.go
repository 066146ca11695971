package gateway

import (
	"testing"

	"github.com/prometheus/client_golang/prometheus"

	"yarrowridge/internal/model/routing"
)

// The log reports each ended request once; the metric counts all of them since the start.
func TestCounters(t *testing.T) {
	counts := newCounters()
	ended := &request{route: &routing.Route{RouteSpec: routing.RouteSpec{Name: "ask"}}}
	counts.add(ended, codeCompleted)
	counts.add(ended, codeCompleted)
	counts.add(&request{}, CodeNoRoute)
	if reported := counts.takeUnreported(); len(reported) != 2 || reported[0].String() != "ask/done=2" || reported[1].String() != "none/no-route=1" {
		t.Errorf("first report: got %v, want ask/done=2 and none/no-route=1", reported)
	}
	counts.add(ended, codeCompleted)
	if reported := counts.takeUnreported(); len(reported) != 1 || reported[0].String() != "ask/done=1" {
		t.Errorf("second report: got %v, want ask/done=1", reported)
	}
	if reported := counts.takeUnreported(); len(reported) != 0 {
		t.Errorf("report without new requests: got %v, want none", reported)
	}
	registry := prometheus.NewRegistry()
	registry.MustRegister(counts)
	families, err := registry.Gather()
	if err != nil || len(families) != 1 {
		t.Fatalf("got %d metrics, error %v, want one", len(families), err)
	}
	total := 0.0
	for _, metric := range families[0].GetMetric() {
		total += metric.GetCounter().GetValue()
	}
	if total != 4 {
		t.Errorf("requests in the metric: got %v, want 4", total)
	}
}
