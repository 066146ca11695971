package dissemination

import "sort"

// Node is a node as the tree needs it. Operators read it as JSON.
type Node struct {
	Name string `json:"Name"`
	Zone string `json:"Hall"`
	Addr string `json:"Addr"`
}

// Fanout is how many children a relay hands news to.
const Fanout = 3

// Neighbours names the neighbours of a node: its parent and children in its zone's tree, and for the
// first of a zone the first of every other. All nodes work it out from the same list, so it needs
// no talk; while lists differ, the repair by digests covers the gaps.
func Neighbours(me string, all []Node) []Node {
	zones := map[string][]Node{}
	zone := ""
	for _, s := range all {
		zones[s.Zone] = append(zones[s.Zone], s)
		if s.Name == me {
			zone = s.Zone
		}
	}
	for _, nodes := range zones {
		sort.Slice(nodes, func(i, j int) bool { return nodes[i].Name < nodes[j].Name })
	}
	zoneNodes := zones[zone]
	position := -1
	for i, s := range zoneNodes {
		if s.Name == me {
			position = i
		}
	}
	if position < 0 {
		return nil
	}
	var neighbours []Node
	if position > 0 {
		neighbours = append(neighbours, zoneNodes[(position-1)/Fanout])
	}
	for i := position*Fanout + 1; i <= position*Fanout+Fanout && i < len(zoneNodes); i++ {
		neighbours = append(neighbours, zoneNodes[i])
	}
	if position == 0 {
		for other, list := range zones {
			if other != zone {
				neighbours = append(neighbours, list[0])
			}
		}
	}
	sort.Slice(neighbours, func(i, j int) bool { return neighbours[i].Name < neighbours[j].Name })
	return neighbours
}
