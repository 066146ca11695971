package cluster

import (
	"context"
	"time"

	"yarrowridge/internal/controlplane/coreapi"
)

const (
	zoneBootstrapDelay   = 2 * time.Second // since the start of the process; before that, only the core is asked
	zoneBootstrapTimeout = time.Second
)

// bootstrapFromZone gets a configuration for a router that the core has never answered: from all routers of its zone that it
// reaches.
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
	// The peers are set first, so that a caller for which this router is ready also sees its peers.
	m.peers.setIfEmpty(nodes, coreapi.Node{Name: m.ctx.Name, Zone: m.ctx.Zone, Addr: m.addr, Run: m.ctx.RunID})
	m.readiness.setSynced()
}

// nodesFromSeeds requests the peer directories of all seeds and returns the longest one.
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
