package dissemination

import "sort"

// Fanout is the maximum number of children of a node within its zone's tree.
const Fanout = 3

// Node is a member of the dissemination tree. Operators read it as JSON.
type Node struct {
	Name string `json:"Name"`
	Zone string `json:"Hall"`
	Addr string `json:"Addr"`
}

// Neighbours returns the neighbours of the node named self in the dissemination tree over all nodes, sorted by name. They
// are its parent and children in its zone's tree, and for the root of a zone also the roots of the other zones. The result
// is empty if self is not in all.
//
// Each zone's tree is the complete Fanout-ary tree over the zone's nodes in the order of their names. Every node computes
// it locally from its membership list. While those lists differ, anti-entropy delivers what the broadcast misses.
func Neighbours(self string, all []Node) []Node {
	zones, zone := byZone(self, all)
	nodes := zones[zone]
	index := -1
	for i, node := range nodes {
		if node.Name == self {
			index = i
		}
	}
	if index < 0 {
		return nil
	}
	var neighbours []Node
	if index > 0 {
		neighbours = append(neighbours, nodes[(index-1)/Fanout])
	}
	for i := index*Fanout + 1; i <= index*Fanout+Fanout && i < len(nodes); i++ {
		neighbours = append(neighbours, nodes[i])
	}
	if index == 0 {
		for other, nodes := range zones {
			if other != zone {
				neighbours = append(neighbours, nodes[0])
			}
		}
	}
	sortByName(neighbours)
	return neighbours
}

// byZone returns the nodes of each zone, sorted by name, and the zone of the node named self.
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
