package routerleases

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"yarrowridge/internal/controlplane/coreapi"
)

// testTable is a table with a clock set by the test, of a primary that started an hour ago.
type testTable struct {
	Table
	now time.Time
}

func newTestTable() *testTable {
	table := &testTable{now: time.Unix(1000, 0)}
	table.Start(3, table.now.Add(-time.Hour))
	return table
}

// heartbeat records a heartbeat that must be accepted, and reports whether the run of the router was unknown before.
func (t *testTable) heartbeat(test *testing.T, router coreapi.Node) bool {
	test.Helper()
	newRun, err := t.RecordHeartbeat(&coreapi.HeartbeatRequest{Node: router}, t.now)
	if err != nil {
		test.Fatal(err)
	}
	return newRun
}

// response returns the response to a router that has this version of the list.
func (t *testTable) response(version uint64) *coreapi.HeartbeatResponse {
	var response coreapi.HeartbeatResponse
	t.FillResponse(&coreapi.HeartbeatRequest{NodesVersion: version}, &response, t.now)
	return &response
}

// The version increases with every change that a router's peers need to know about, but not with every heartbeat.
func TestVersionCountsChanges(t *testing.T) {
	table := newTestTable()
	router := coreapi.Node{Name: "a", Addr: "10.0.0.1:70", Run: 1}
	for _, step := range []struct {
		name       string
		change     func()
		wantNewRun bool
		wantChange bool
	}{
		{"first heartbeat", func() {}, true, true},
		{"nothing", func() {}, false, false},
		{"configuration", func() { router.ConfigVersion = 7 }, false, false},
		{"ready", func() { router.Ready = true }, false, true},
		{"restart", func() { router.Run = 2 }, true, true},
	} {
		before := table.version
		step.change()
		if got := table.heartbeat(t, router); got != step.wantNewRun {
			t.Errorf("%s: got a new run %t, want %t", step.name, got, step.wantNewRun)
		}
		if got := table.version > before; got != step.wantChange {
			t.Errorf("%s: got a higher version %t, want %t", step.name, got, step.wantChange)
		}
		if got := table.response(before).NodesComplete; got != step.wantChange {
			t.Errorf("%s: got a list %t, want %t", step.name, got, step.wantChange)
		}
	}
}

// A lease is still valid exactly LeaseTerm after the last heartbeat, and has expired a moment later.
func TestLeaseRunsOut(t *testing.T) {
	table := newTestTable()
	table.heartbeat(t, coreapi.Node{Name: "b"})
	table.heartbeat(t, coreapi.Node{Name: "a"})
	if got := table.List(); len(got) != 2 || got[0].Name != "a" || got[1].Name != "b" {
		t.Errorf("got routers %+v, want a and b", got)
	}
	table.now = table.now.Add(LeaseTerm)
	table.heartbeat(t, coreapi.Node{Name: "a"})
	if got := table.Len(); got != 2 {
		t.Errorf("got %d routers at the end of the term, want 2", got)
	}
	before := table.version
	table.now = table.now.Add(time.Millisecond)
	table.Expire(table.now)
	if got := table.List(); len(got) != 1 || got[0].Name != "a" || table.version == before {
		t.Errorf("got routers %+v at version %d after the term, want a alone at a version above %d", got, table.version, before)
	}
}

// A router that has moved gets its name once the lease of its former address has expired, but not earlier.
func TestNameIsTakenWhileLeaseRuns(t *testing.T) {
	table := newTestTable()
	table.heartbeat(t, coreapi.Node{Name: "a", Addr: "10.0.0.1:70", Run: 1})
	moved := coreapi.Node{Name: "a", Addr: "10.0.0.2:70", Run: 2}
	table.now = table.now.Add(LeaseTerm)
	before := table.version
	if _, err := table.RecordHeartbeat(&coreapi.HeartbeatRequest{Node: moved}, table.now); !errors.Is(err, ErrNameTaken) {
		t.Errorf("got error %v before the lease expired, want %v", err, ErrNameTaken)
	}
	if got := table.List(); len(got) != 1 || got[0].Run != 1 || table.version != before {
		t.Errorf("got routers %+v at version %d after a rejected heartbeat, want the first run at version %d", got, table.version, before)
	}
	table.now = table.now.Add(time.Millisecond)
	if !table.heartbeat(t, moved) {
		t.Error("got a known run after the lease expired, want a new one")
	}
}

// A router that is leaving is removed at once. A delayed message that an earlier run is leaving does not end the lease of a
// later run.
func TestLeavingEndsLease(t *testing.T) {
	table := newTestTable()
	table.heartbeat(t, coreapi.Node{Name: "a", Run: 2})
	for _, step := range []struct {
		name string
		run  uint64
		want int
	}{{"an earlier run leaves", 1, 1}, {"the run of the lease leaves", 2, 0}, {"it leaves again", 2, 0}} {
		request := &coreapi.HeartbeatRequest{Node: coreapi.Node{Name: "a", Run: step.run}, Leaving: true}
		if _, err := table.RecordHeartbeat(request, table.now); err != nil {
			t.Fatal(err)
		}
		if got := table.Len(); got != step.want {
			t.Errorf("%s: got %d routers, want %d", step.name, got, step.want)
		}
	}
}

// Until LeaseTerm after its start, a primary treats every run as alive and sends the number of previous routers, not a list.
func TestNewPrimaryWaitsForHeartbeats(t *testing.T) {
	table := newTestTable()
	table.Start(3, table.now)
	table.heartbeat(t, coreapi.Node{Name: "a", Run: 1})
	if !table.MayBeAlive("unknown", 1, table.now) {
		t.Error("got an unknown run not alive just after the start, want it alive")
	}
	if got := table.response(0); got.PreviousRouters != 3 || got.NodesComplete {
		t.Errorf("got %+v just after the start, want 3 previous routers, no list", got)
	}
	table.now = table.now.Add(LeaseTerm)
	table.heartbeat(t, coreapi.Node{Name: "a", Run: 1})
	if table.MayBeAlive("unknown", 1, table.now) || table.MayBeAlive("a", 2, table.now) || !table.MayBeAlive("a", 1, table.now) {
		t.Error("got a run without the lease alive after the term, or the run with it not alive")
	}
	table.now = table.now.Add(time.Millisecond)
	if got := table.response(0); got.PreviousRouters != 0 || !got.NodesComplete || len(got.Nodes) != 1 {
		t.Errorf("got %+v after the term, want a list of one", got)
	}
	if table.HavePeerLists(table.now) {
		t.Error("got peer lists received just after the term, want not yet")
	}
	table.now = table.now.Add(peerListDelay)
	if !table.HavePeerLists(table.now) {
		t.Error("got peer lists not received after the delay, want received")
	}
}

// Only another run with the same name and address proves that one of the two has ended.
func TestHasOtherRun(t *testing.T) {
	table := newTestTable()
	table.heartbeat(t, coreapi.Node{Name: "a", Addr: "10.0.0.1:70", Run: 1})
	for _, c := range []struct {
		name   string
		router coreapi.Node
		want   bool
	}{
		{"unknown router", coreapi.Node{Name: "b", Addr: "10.0.0.1:70", Run: 2}, false},
		{"same run", coreapi.Node{Name: "a", Addr: "10.0.0.1:70", Run: 1}, false},
		{"other run", coreapi.Node{Name: "a", Addr: "10.0.0.1:70", Run: 2}, true},
		{"other address", coreapi.Node{Name: "a", Addr: "10.0.0.2:70", Run: 2}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := table.HasOtherRun(c.router); got != c.want {
				t.Errorf("got %t, want %t", got, c.want)
			}
		})
	}
}

// follower is a router that updates its peer list from heartbeat responses, like package cluster does.
type follower struct {
	epoch, version uint64
	nodes          map[string]coreapi.Node
}

func (f *follower) request() *coreapi.HeartbeatRequest {
	request := &coreapi.HeartbeatRequest{NodesVersion: f.version, NodesEpoch: f.epoch}
	if f.epoch != 0 {
		request.NodesDigest = coreapi.NodesDigest(slices.Collect(maps.Values(f.nodes)))
	}
	return request
}

func (f *follower) apply(response *coreapi.HeartbeatResponse) {
	if response.NodesComplete {
		f.nodes = map[string]coreapi.Node{}
	}
	if response.NodesComplete || response.NodesPartial {
		for _, node := range response.Nodes {
			f.nodes[node.Name] = node
		}
		for _, name := range response.NodesRemoved {
			delete(f.nodes, name)
		}
	}
	if response.NodesComplete || response.NodesPartial || response.NodesCurrent {
		f.epoch, f.version = response.NodesEpoch, response.NodesVersion
	}
}

// A router that applies changes has the same list as a router that gets a complete one, no matter how many changes happen
// between its heartbeats and whether the primary changes.
func TestAppliedChangesMatchCompleteList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		table := &Table{}
		table.Start(0, now.Add(-time.Hour))
		followers := make([]follower, 3)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			name := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "name")
			node := coreapi.Node{Name: name, Addr: name, Run: rapid.Uint64Range(1, 3).Draw(t, "run"), Ready: rapid.Bool().Draw(t, "ready")}
			switch rapid.SampledFrom([]string{"beat", "beat", "leave", "wait", "primary", "follow", "follow"}).Draw(t, "step") {
			case "beat":
				_, _ = table.RecordHeartbeat(&coreapi.HeartbeatRequest{Node: node}, now)
			case "leave":
				_, _ = table.RecordHeartbeat(&coreapi.HeartbeatRequest{Node: node, Leaving: true}, now)
			case "wait":
				now = now.Add(LeaseTerm / 2)
				table.Expire(now)
			case "primary":
				known := table.List()
				table = &Table{}
				table.Start(len(known), now.Add(-time.Hour))
				for _, node := range known {
					_, _ = table.RecordHeartbeat(&coreapi.HeartbeatRequest{Node: node}, now)
				}
			case "follow":
				router := &followers[rapid.IntRange(0, 2).Draw(t, "follower")]
				var response, complete coreapi.HeartbeatResponse
				table.FillResponse(router.request(), &response, now)
				router.apply(&response)
				table.FillResponse(&coreapi.HeartbeatRequest{NodesVersion: table.version + 1}, &complete, now)
				if coreapi.NodesDigest(slices.Collect(maps.Values(router.nodes))) != coreapi.NodesDigest(complete.Nodes) {
					t.Fatalf("got %v, want %v", router.nodes, complete.Nodes)
				}
			}
		}
	})
}

// A router with a list gets only the changes, and it gets no list from a new primary that knows the same routers.
func TestOnlyChangesAreSent(t *testing.T) {
	table := newTestTable()
	const routers = 50
	nodes := make([]coreapi.Node, routers)
	for i := range nodes {
		nodes[i] = coreapi.Node{Name: fmt.Sprint("node", i), Run: 1}
		table.heartbeat(t, nodes[i])
	}
	var router follower
	router.apply(table.response(0))
	table.heartbeat(t, coreapi.Node{Name: "new", Run: 1})
	_, _ = table.RecordHeartbeat(&coreapi.HeartbeatRequest{Node: nodes[0], Leaving: true}, table.now)
	var response coreapi.HeartbeatResponse
	table.FillResponse(router.request(), &response, table.now)
	if !response.NodesPartial || len(response.Nodes) != 1 || len(response.NodesRemoved) != 1 {
		t.Errorf("got %d nodes and %d removed, want 1 and 1", len(response.Nodes), len(response.NodesRemoved))
	}
	router.apply(&response)
	next := newTestTable()
	for _, node := range router.nodes {
		next.heartbeat(t, node)
	}
	response = coreapi.HeartbeatResponse{}
	next.FillResponse(router.request(), &response, next.now)
	if !response.NodesCurrent || len(response.Nodes) > 0 {
		t.Errorf("got %d nodes from a new primary that knows the same ones, want none", len(response.Nodes))
	}
}

// If more leases end than are remembered, routers get a complete list.
func TestForgottenRemovalsLeadToACompleteList(t *testing.T) {
	table := newTestTable()
	table.heartbeat(t, coreapi.Node{Name: "stays", Run: 1})
	leaves := coreapi.Node{Name: "leaves", Run: 1}
	table.heartbeat(t, leaves)
	var router follower
	router.apply(table.response(0))
	_, _ = table.RecordHeartbeat(&coreapi.HeartbeatRequest{Node: leaves, Leaving: true}, table.now)
	for i := range maxRemoved + 1 {
		node := coreapi.Node{Name: fmt.Sprint("node", i), Run: 1}
		table.heartbeat(t, node)
		_, _ = table.RecordHeartbeat(&coreapi.HeartbeatRequest{Node: node, Leaving: true}, table.now)
	}
	var response coreapi.HeartbeatResponse
	table.FillResponse(router.request(), &response, table.now)
	router.apply(&response)
	if len(table.removed) > maxRemoved || len(router.nodes) != 1 {
		t.Errorf("got %d remembered removals and %d nodes, want at most %d and 1", len(table.removed), len(router.nodes), maxRemoved)
	}
}
