package cluster

import (
	"cmp"
	"slices"
	"sync"

	"yarrowridge/internal/controlplane/coreapi"
	"yarrowridge/internal/transport/dissemination"
)

// peerDirectory is the fleet's routers as the core last listed them, this one among them. Its mutex guards all but self and
// setCorePeers, which do not change.
type peerDirectory struct {
	self         string               // this router's name
	setCorePeers func(addrs []string) // gives the core's client the other routers, to ask them for the primary
	mu           sync.Mutex           // also held over setCorePeers, so that the last list wins there as well
	epoch        uint64               // of the version: which primary's it is; 0: none, or an older core's
	version      uint64               // of the core's list
	nodes        []coreapi.Node       // sorted by name; replaced, never changed
	digest       uint64               // of nodes
	neighbours   []dissemination.Node // in the dissemination tree of nodes
	previous     int                  // see PreviousRouters
}

// fillRequest states in a heartbeat which list is kept here.
func (d *peerDirectory) fillRequest(request *coreapi.HeartbeatRequest) {
	d.mu.Lock()
	defer d.mu.Unlock()
	request.NodesVersion, request.NodesEpoch = d.version, d.epoch
	if d.epoch != 0 {
		request.NodesDigest = d.digest
	}
}

// apply takes what a heartbeat's answer has of the core's list.
func (d *peerDirectory) apply(response *coreapi.HeartbeatResponse) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.previous = response.PreviousRouters
	switch {
	case response.NodesComplete:
		d.set(response.Nodes)
	case response.NodesPartial && response.NodesEpoch == d.epoch:
		d.set(merge(d.nodes, response.Nodes, response.NodesRemoved))
	case !response.NodesCurrent:
		return
	}
	d.version, d.epoch = response.NodesVersion, response.NodesEpoch
}

// merge gives a list of nodes with some replaced or added and some removed, sorted by name.
func merge(nodes, changed []coreapi.Node, removed []string) []coreapi.Node {
	gone := make(map[string]bool, len(changed)+len(removed))
	for _, node := range changed {
		gone[node.Name] = true
	}
	for _, name := range removed {
		gone[name] = true
	}
	merged := slices.Clone(changed)
	for _, node := range nodes {
		if !gone[node.Name] {
			merged = append(merged, node)
		}
	}
	slices.SortFunc(merged, func(a, b coreapi.Node) int { return cmp.Compare(a.Name, b.Name) })
	return merged
}

// setIfEmpty takes the other routers and this one if the core has named none yet.
func (d *peerDirectory) setIfEmpty(others []coreapi.Node, self coreapi.Node) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.nodes) == 0 {
		d.set(append(others, self))
	}
}

// set replaces the list; the caller holds the lock.
func (d *peerDirectory) set(nodes []coreapi.Node) {
	d.nodes, d.digest = nodes, coreapi.NodesDigest(nodes)
	var tree []dissemination.Node
	var addrs []string
	for _, n := range nodes {
		tree = append(tree, dissemination.Node{Name: n.Name, Zone: n.Zone, Addr: n.Addr})
		if n.Name != d.self {
			addrs = append(addrs, n.Addr)
		}
	}
	d.neighbours = dissemination.Neighbours(d.self, tree)
	d.setCorePeers(addrs)
}

// Self is this router as its peers know it.
func (m *Member) Self() coreapi.Node {
	n := coreapi.Node{Name: m.ctx.Name, Zone: m.ctx.Zone, Addr: m.addr, ClientAddr: m.clientAddr, Run: m.ctx.RunID}
	n.ConfigVersion = m.ConfigVersion()
	n.Ready = m.NotReadyReason() == ""
	return n
}

// Addr is the address where other processes of the fleet reach this router.
func (m *Member) Addr() string { return m.addr }

// Nodes lists the fleet's routers as the core last named them, this one among them; empty before the first answer. The list
// is shared: it must not be changed.
func (m *Member) Nodes() []coreapi.Node {
	m.peers.mu.Lock()
	defer m.peers.mu.Unlock()
	return m.peers.nodes
}

// Neighbours lists this router's neighbours in the dissemination tree. The list is shared: it must not be changed.
func (m *Member) Neighbours() []dissemination.Node {
	m.peers.mu.Lock()
	defer m.peers.mu.Unlock()
	return m.peers.neighbours
}

// Share splits a total between the routers that the core last named and returns this router's share, 0 if it is not among
// them. With the same list everywhere, the shares add up to the total.
func (m *Member) Share(total int) int {
	m.peers.mu.Lock()
	defer m.peers.mu.Unlock()
	nodes := m.peers.nodes
	for i, n := range nodes {
		if n.Name == m.ctx.Name {
			share := total / len(nodes)
			if i < total%len(nodes) {
				share++
			}
			return share
		}
	}
	return 0
}

// PreviousRouters is how many routers there were before the primary's term, where the primary does not know yet which of
// them live; 0: it did not say.
func (m *Member) PreviousRouters() int {
	m.peers.mu.Lock()
	defer m.peers.mu.Unlock()
	return m.peers.previous
}
