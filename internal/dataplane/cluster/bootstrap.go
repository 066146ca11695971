package cluster

import (
	"context"
	"time"

	"yarrowridge/internal/controlplane/coreapi"
)

const (
	zoneBootstrapDelay   = 2 * time.Second // from the start: only the core is asked until then
	zoneBootstrapTimeout = time.Second
)

// bootstrapFromZone is how a router that the core has never answered gets a configuration: from all routers of its zone that
// it reaches.
func (m *Member) bootstrapFromZone() {
	if m.readiness.isSynced() || time.Since(m.startedAt) < zoneBootstrapDelay {
		return
	}
	nodes := m.Nodes()
	ctx, cancel := context.WithTimeout(m.ctx, zoneBootstrapTimeout)
	defer cancel()
	if len(nodes) == 0 {
		nodes = m.nodesFromSeeds(ctx)
	}
	for _, n := range nodes {
		if n.Zone == m.ctx.Zone && n.Name != m.ctx.Name {
			m.repairWith(ctx, n.Addr)
		}
	}
	if !m.config.isLoaded() {
		return
	}
	m.ctx.Log.Warn("No core to be found. Serving with the zone's configuration.")
	// The peers come first: who finds this router ready finds them as well.
	m.peers.setIfEmpty(nodes, coreapi.Node{Name: m.ctx.Name, Zone: m.ctx.Zone, Addr: m.addr, Run: m.ctx.RunID})
	m.readiness.setSynced()
}

// nodesFromSeeds asks all seeds for their peer directory and returns the longest one.
func (m *Member) nodesFromSeeds(ctx context.Context) []coreapi.Node {
	var longest []coreapi.Node
	for _, addr := range *m.seeds.Load() {
		var list NodeList
		err := m.caller.Call(ctx, addr, "node.roll", &NodeListRequest{}, &list)
		if err == nil && len(list.Nodes) > len(longest) {
			longest = list.Nodes
		}
	}
	return longest
}
