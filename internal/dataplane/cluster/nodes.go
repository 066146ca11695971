package cluster

import (
	"yarrowridge/internal/controlplane/coreapi"
	"yarrowridge/internal/transport/dissemination"
)

// Me is this node as its peers know it.
func (h *Member) Self() coreapi.Node {
	n := coreapi.Node{Name: h.ctx.Name, Zone: h.ctx.Zone, Addr: h.addr, ClientAddr: h.clientAddr, Run: h.ctx.RunID}
	n.ConfigVersion = h.ConfigVersion()
	n.Ready = h.NotReadyReason() == ""
	return n
}

// Nodes lists the nodes that the core last named.
func (h *Member) Nodes() []coreapi.Node {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.nodes
}

// ShareOf splits a number between the nodes that the core last named: the parts of all add up to no more than it.
func (h *Member) Share(n int) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i, o := range h.nodes {
		if o.Name == h.ctx.Name {
			part := n / len(h.nodes)
			if i < n%len(h.nodes) {
				part++
			}
			return part
		}
	}
	return 0
}

// RoutersBefore is how many routers there were before the primary began, where it does not know yet which of them
// live; 0: it was not told.
func (h *Member) PreviousRouters() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.routersBefore
}

// Neighbours lists our neighbours in the relay tree.
func (h *Member) Neighbours() []dissemination.Node {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.neighbours
}

// ScarceTenants lists the tenants whose idle units the core wants back.
func (h *Member) ScarceTenants() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.scarceTenants
}

// takeNodes takes a new list of nodes; the caller holds the lock.
func (h *Member) takeNodes(nodes []coreapi.Node) {
	h.nodes = nodes
	var relayNodes []dissemination.Node
	var addrs []string
	for _, n := range nodes {
		relayNodes = append(relayNodes, dissemination.Node{Name: n.Name, Zone: n.Zone, Addr: n.Addr})
		if n.Name != h.ctx.Name {
			addrs = append(addrs, n.Addr)
		}
	}
	h.neighbours = dissemination.Neighbours(h.ctx.Name, relayNodes)
	h.Core.SetPeers(addrs)
}

// Addr is the address where other processes of the fleet reach this router.
func (h *Member) Addr() string { return h.addr }
