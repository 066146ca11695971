package dissemination

import "sort"

// Fanout is how many children a node of the tree has at most.
const Fanout = 3

// Node is a node as the tree needs it. Operators read it as JSON.
type Node struct {
	Name string `json:"Name"`
	Zone string `json:"Hall"`
	Addr string `json:"Addr"`
}

// Neighbours returns the neighbours of the node named self in the dissemination tree over all nodes, by name: its parent
// and children in its zone's tree, and for a zone's root the roots of the other zones. It returns none where self is not
// among them.
//
// Each zone's tree is the complete Fanout-ary tree over its nodes in the order of their names. Every node computes it
// from its membership without a message; while memberships differ, anti-entropy covers the gaps.
func Neighbours(self string, all []Node) []Node {
	zones, zone := byZone(self, all)
	nodes := zones[zone]
	position := -1
	for i, node := range nodes {
		if node.Name == self {
			position = i
		}
	}
	if position < 0 {
		return nil
	}
	var neighbours []Node
	if position > 0 {
		neighbours = append(neighbours, nodes[(position-1)/Fanout])
	}
	for i := position*Fanout + 1; i <= position*Fanout+Fanout && i < len(nodes); i++ {
		neighbours = append(neighbours, nodes[i])
	}
	if position == 0 {
		for other, nodes := range zones {
			if other != zone {
				neighbours = append(neighbours, nodes[0])
			}
		}
	}
	sortByName(neighbours)
	return neighbours
}

// byZone returns the nodes of each zone in the order of their names, and the zone of the node named self.
func byZone(self string, all []Node) (zones map[string][]Node, selfZone string) {
	zones = map[string][]Node{}
	for _, node := range all {
		zones[node.Zone] = append(zones[node.Zone], node)
		if node.Name == self {
			selfZone = node.Zone
		}
	}
	for _, nodes := range zones {
		sortByName(nodes)
	}
	return zones, selfZone
}

func sortByName(nodes []Node) {
	sort.Slice(nodes, func(i, j int) bool { return nodes[i].Name < nodes[j].Name })
}
