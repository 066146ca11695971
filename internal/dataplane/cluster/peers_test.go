package cluster

import (
	"slices"
	"testing"

	"yarrowridge/internal/controlplane/coreapi"
)

// names returns the names of nodes, in their order.
func names(nodes []coreapi.Node) []string {
	var all []string
	for _, node := range nodes {
		all = append(all, node.Name)
	}
	return all
}

// The list is updated by complete lists, by partial changes, and by a new primary's confirmation that the list is current.
// Partial changes to another primary's list are not applied.
func TestPeersFollowTheCore(t *testing.T) {
	d := &peerDirectory{self: "b", setCorePeers: func([]string) {}}
	a, b, c := coreapi.Node{Name: "a", Run: 1}, coreapi.Node{Name: "b", Run: 1}, coreapi.Node{Name: "c", Run: 1}
	newA := coreapi.Node{Name: "a", Run: 2}
	steps := []struct {
		name        string
		response    coreapi.HeartbeatResponse
		want        []string
		wantVersion uint64
	}{
		{"complete", coreapi.HeartbeatResponse{NodesEpoch: 7, NodesVersion: 2, NodesComplete: true, Nodes: []coreapi.Node{a, b}}, []string{"a", "b"}, 2},
		{"one more", coreapi.HeartbeatResponse{NodesEpoch: 7, NodesVersion: 3, NodesPartial: true, Nodes: []coreapi.Node{c}}, []string{"a", "b", "c"}, 3},
		{"nothing", coreapi.HeartbeatResponse{NodesEpoch: 7, NodesVersion: 3}, []string{"a", "b", "c"}, 3},
		{"one gone, one changed", coreapi.HeartbeatResponse{NodesEpoch: 7, NodesVersion: 5, NodesPartial: true, Nodes: []coreapi.Node{newA}, NodesRemoved: []string{"c"}},
			[]string{"a", "b"}, 5},
		{"changes of another primary", coreapi.HeartbeatResponse{NodesEpoch: 8, NodesVersion: 9, NodesPartial: true, Nodes: []coreapi.Node{c}}, []string{"a", "b"}, 5},
		{"a new primary that names none yet", coreapi.HeartbeatResponse{NodesEpoch: 8, NodesVersion: 9, PreviousRouters: 3}, []string{"a", "b"}, 5},
		{"the same list of another primary", coreapi.HeartbeatResponse{NodesEpoch: 8, NodesVersion: 4, NodesCurrent: true}, []string{"a", "b"}, 4},
	}
	for _, step := range steps {
		d.apply(&step.response)
		if !slices.Equal(names(d.nodes), step.want) || d.version != step.wantVersion {
			t.Errorf("%s: got %v at version %d, want %v at %d", step.name, names(d.nodes), d.version, step.want, step.wantVersion)
		}
	}
	if d.nodes[0].Run != newA.Run {
		t.Errorf("got run %d of a, want the newest, %d", d.nodes[0].Run, newA.Run)
	}
	var request coreapi.HeartbeatRequest
	d.fillRequest(&request)
	if request.NodesEpoch != 8 || request.NodesVersion != 4 || request.NodesDigest != coreapi.NodesDigest([]coreapi.Node{newA, b}) {
		t.Errorf("got a request with epoch %d, version %d, digest %x, want 8, 4 and that of the list", request.NodesEpoch, request.NodesVersion, request.NodesDigest)
	}
}
