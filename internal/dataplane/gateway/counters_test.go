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
	counts.addInterruption(CauseRunnerStalled)
	counts.addInterruption(CauseRunnerStalled)
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
	if err != nil || len(families) != 2 {
		t.Fatalf("got %d metrics, error %v, want two", len(families), err)
	}
	totals := map[string]float64{}
	for _, family := range families {
		for _, metric := range family.GetMetric() {
			totals[family.GetName()] += metric.GetCounter().GetValue()
		}
	}
	if got := totals["yarrowridge_requests_total"]; got != 4 {
		t.Errorf("requests in the metric: got %v, want 4", got)
	}
	if got := totals["yarrowridge_responses_broken_off_total"]; got != 2 {
		t.Errorf("interrupted responses in the metric: got %v, want 2", got)
	}
}
