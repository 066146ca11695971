package router

import (
	"encoding/json"
	"testing"

	"yarrowridge/internal/controlplane/coreapi"
	"yarrowridge/internal/controlplane/view"
	"yarrowridge/internal/dataplane/runner"
)

// Operators' scripts read these views, so their JSON must not change: each view encodes to the same bytes as a map with its
// keys, which are sorted.
func TestViewsEncodeLikeMaps(t *testing.T) {
	node, report := coreapi.Node{Name: "north1"}, runner.Report{Name: "r1", Zone: "north"}
	for _, c := range []struct {
		view     any
		expected map[string]any
	}{
		{statusView{ConfigHash: "ab", Node: node, Stale: true, View: view.View{Epoch: 3}, WhyNotReady: "stale"},
			map[string]any{"node": node, "layout_sha256": "ab", "stale": true, "why_not_ready": "stale", "view": view.View{Epoch: 3}}},
		{relaysView{Nodes: []coreapi.Node{node}}, map[string]any{"near": nil, "nodes": []coreapi.Node{node}}},
		{runnerView{Report: report, Health: "ready", Load: 1, Capacity: 2, QueuedTokens: 3, Rate: 4.5},
			map[string]any{"runner": report, "standing": "ready", "load": 1, "room": 2, "queued_tokens": 3, "rate": 4.5}},
		{shareView{Free: 1, Allocated: 2, SpentInWindow: 3}, map[string]any{"held": 2, "free": 1, "spent_in_window": 3}},
	} {
		encoded, err := json.Marshal(c.view)
		if err != nil {
			t.Fatal(err)
		}
		expected, err := json.Marshal(c.expected)
		if err != nil {
			t.Fatal(err)
		}
		if string(encoded) != string(expected) {
			t.Errorf("%T: got %s, want %s", c.view, encoded, expected)
		}
	}
}
