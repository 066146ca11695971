package gateway

import (
	"testing"

	"github.com/prometheus/client_golang/prometheus"

	"yarrowridge/internal/model/routing"
)

// The log tells each end once, the metrics tell all ends since the start.
func TestCounters(t *testing.T) {
	counts := newCounters()
	asked := &request{route: &routing.Route{RouteSpec: routing.RouteSpec{Name: "ask"}}}
	counts.add(asked, codeDone)
	counts.add(asked, codeDone)
	counts.add(&request{}, "no-route")
	if news := counts.unreported(); len(news) != 2 || news[0].String() != "ask/done=2" || news[1].String() != "none/no-route=1" {
		t.Errorf("first report %v", news)
	}
	counts.add(asked, codeDone)
	if news := counts.unreported(); len(news) != 1 || news[0].String() != "ask/done=1" {
		t.Errorf("second report %v", news)
	}
	if news := counts.unreported(); len(news) != 0 {
		t.Errorf("a report of nothing new: %v", news)
	}
	registry := prometheus.NewRegistry()
	registry.MustRegister(counts)
	families, err := registry.Gather()
	if err != nil || len(families) != 1 {
		t.Fatalf("%d metrics, error %v", len(families), err)
	}
	total := 0.0
	for _, metric := range families[0].GetMetric() {
		total += metric.GetCounter().GetValue()
	}
	if total != 4 {
		t.Errorf("%v ends in the metrics, 4 expected", total)
	}
}
