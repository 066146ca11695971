package cluster

import (
	"cmp"
	"slices"
	"sync"

	"yarrowridge/internal/controlplane/coreapi"
	"yarrowridge/internal/transport/dissemination"
)

// peerDirectory is the core's last list of the fleet's routers, including this one. Its mutex guards all fields except self
// and setCorePeers, which do not change.
type peerDirectory struct {
	self            string               // this router's name
	setCorePeers    func(addrs []string) // passes the other routers to the core's client, which asks them for the primary
	mu              sync.Mutex           // also held during setCorePeers, so that the client gets the lists in order
	epoch           uint64               // of the primary that counts version; 0: no list yet, or an older core
	version         uint64               // of the core's list
	nodes           []coreapi.Node       // sorted by name if from the core; replaced as a whole, never modified
	digest          uint64               // of nodes
	neighbours      []dissemination.Node // in the dissemination tree over nodes
	previousRouters int                  // see PreviousRouters
}

// fillRequest sets the fields of a heartbeat that identify this router's list.
func (d *peerDirectory) fillRequest(request *coreapi.HeartbeatRequest) {
	d.mu.Lock()
	defer d.mu.Unlock()
	request.NodesVersion, request.NodesEpoch = d.version, d.epoch
	if d.epoch != 0 {
		request.NodesDigest = d.digest
	}
}

// apply applies the core's list, or the changes to it, from a heartbeat response.
func (d *peerDirectory) apply(response *coreapi.HeartbeatResponse) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.previousRouters = response.PreviousRouters
	switch {
	case response.NodesComplete:
		d.set(response.Nodes)
	case response.NodesPartial && response.NodesEpoch == d.epoch:
		d.set(mergeNodes(d.nodes, response.Nodes, response.NodesRemoved))
	case !response.NodesCurrent:
		return
	}
	d.version, d.epoch = response.NodesVersion, response.NodesEpoch
}

// mergeNodes returns nodes with the changed ones replaced or added and the removed ones left out, sorted by name.
func mergeNodes(nodes, changed []coreapi.Node, removed []string) []coreapi.Node {
	replacedOrRemoved := make(map[string]bool, len(changed)+len(removed))
	for _, node := range changed {
		replacedOrRemoved[node.Name] = true
	}
	for _, name := range removed {
		replacedOrRemoved[name] = true
	}
	merged := slices.Clone(changed)
	for _, node := range nodes {
		if !replacedOrRemoved[node.Name] {
			merged = append(merged, node)
		}
	}
	slices.SortFunc(merged, func(a, b coreapi.Node) int { return cmp.Compare(a.Name, b.Name) })
	return merged
}

// setIfEmpty sets the list to the other routers and this one if the core has sent no list yet.
func (d *peerDirectory) setIfEmpty(others []coreapi.Node, self coreapi.Node) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.nodes) == 0 {
		d.set(append(others, self))
	}
}

// set replaces the list. The caller holds the lock.
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

// Self returns the description of this router that its peers get.
func (m *Member) Self() coreapi.Node {
	n := coreapi.Node{Name: m.ctx.Name, Zone: m.ctx.Zone, Addr: m.addr, ClientAddr: m.clientAddr, Run: m.ctx.RunID}
	n.ConfigVersion = m.ConfigVersion()
	n.Ready = m.NotReadyReason() == ""
	return n
}

// Addr returns the address at which other processes of the fleet reach this router.
func (m *Member) Addr() string { return m.addr }

// Nodes returns the core's last list of the fleet's routers, including this one. It is empty before the first list. The
// slice is shared and must not be modified.
func (m *Member) Nodes() []coreapi.Node {
	m.peers.mu.Lock()
	defer m.peers.mu.Unlock()
	return m.peers.nodes
}

// Neighbours returns this router's neighbours in the dissemination tree. The slice is shared and must not be modified.
func (m *Member) Neighbours() []dissemination.Node {
	m.peers.mu.Lock()
	defer m.peers.mu.Unlock()
	return m.peers.neighbours
}

// Share splits a total evenly between the routers of the core's last list and returns this router's share, or 0 if it is not
// in the list. If all routers have the same list, their shares add up to the total.
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

// PreviousRouters returns the number of routers before the primary's term while the primary does not know yet which of them
// are alive. It is 0 if the core has sent no such number.
func (m *Member) PreviousRouters() int {
	m.peers.mu.Lock()
	defer m.peers.mu.Unlock()
	return m.peers.previousRouters
}
