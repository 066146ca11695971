package gateway

import (
	"testing"

	"github.com/prometheus/client_golang/prometheus"

	"yarrowridge/internal/model/routing"
)

// The log counts each end once, the metric counts all ends since the start.
func TestCounters(t *testing.T) {
	counts := newCounters()
	asked := &request{route: &routing.Route{RouteSpec: routing.RouteSpec{Name: "ask"}}}
	counts.add(asked, codeDone)
	counts.add(asked, codeDone)
	counts.add(&request{}, CodeNoRoute)
	if counted := counts.unreported(); len(counted) != 2 || counted[0].String() != "ask/done=2" || counted[1].String() != "none/no-route=1" {
		t.Errorf("first report: got %v, want ask/done=2 and none/no-route=1", counted)
	}
	counts.add(asked, codeDone)
	if counted := counts.unreported(); len(counted) != 1 || counted[0].String() != "ask/done=1" {
		t.Errorf("second report: got %v, want ask/done=1", counted)
	}
	if counted := counts.unreported(); len(counted) != 0 {
		t.Errorf("report without new ends: got %v, want none", counted)
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
		t.Errorf("ends in the metric: got %v, want 4", total)
	}
}
