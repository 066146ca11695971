package node

import (
	"yarrowridge/internal/core"
	"yarrowridge/internal/relay"
)

// Me is this node as its peers know it.
//
//	n := hub.Me()
func (h *Hub) Me() core.Node {
	n := core.Node{Name: h.ctx.Name, Zone: h.ctx.Zone, Addr: h.addr, ClientAddr: h.clientAddr, Run: h.ctx.Born}
	n.ConfigVersion = h.ConfigVersion()
	n.Ready = h.Ready() == ""
	return n
}

// Nodes lists the nodes that the core last named.
//
//	all := hub.Nodes()
func (h *Hub) Nodes() []core.Node {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.nodes
}

// Part splits a number between the nodes that the core last named: the parts of all add up to no more than it.
//
//	mine := hub.Part(4)
func (h *Hub) Part(n int) int {
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
//
//	sharedBy := hub.RoutersBefore()
func (h *Hub) RoutersBefore() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.routersBefore
}

// Neighbours lists our neighbours in the relay tree.
//
//	for _, s := range hub.Neighbours() { ... }
func (h *Hub) Neighbours() []relay.Node {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.neighbours
}

// ScarceTenants lists the tenants whose idle units the core wants back.
//
//	for _, t := range hub.ScarceTenants() { ... }
func (h *Hub) ScarceTenants() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.scarceTenants
}

// takeNodes takes a new list of nodes; the caller holds the lock.
func (h *Hub) takeNodes(nodes []core.Node) {
	h.nodes = nodes
	var relayNodes []relay.Node
	var addrs []string
	for _, n := range nodes {
		relayNodes = append(relayNodes, relay.Node{Name: n.Name, Zone: n.Zone, Addr: n.Addr})
		if n.Name != h.ctx.Name {
			addrs = append(addrs, n.Addr)
		}
	}
	h.neighbours = relay.Neighbours(h.ctx.Name, relayNodes)
	h.Core.SetPeers(addrs)
}
