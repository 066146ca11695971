package relay

import "sort"

// Seat is a node's place, as the tree needs it.
type Seat struct {
	Name, Hall, Addr string
}

// Fan is how many children a relay hands news to.
const Fan = 3

// Near names the neighbours of a node: its parent and children in its hall's tree, and for the
// first of a hall the first of every other. All nodes work it out from the same roll, so it needs
// no talk; while rolls differ, the repair by digests covers the gaps.
//
//	for _, n := range relay.Near("n1", seats) { ... }
func Near(me string, all []Seat) []Seat {
	halls := map[string][]Seat{}
	hall := ""
	for _, s := range all {
		halls[s.Hall] = append(halls[s.Hall], s)
		if s.Name == me {
			hall = s.Hall
		}
	}
	for _, h := range halls {
		sort.Slice(h, func(i, j int) bool { return h[i].Name < h[j].Name })
	}
	mine := halls[hall]
	at := -1
	for i, s := range mine {
		if s.Name == me {
			at = i
		}
	}
	if at < 0 {
		return nil
	}
	var out []Seat
	if at > 0 {
		out = append(out, mine[(at-1)/Fan])
	}
	for i := at*Fan + 1; i <= at*Fan+Fan && i < len(mine); i++ {
		out = append(out, mine[i])
	}
	if at == 0 {
		for h, list := range halls {
			if h != hall {
				out = append(out, list[0])
			}
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}
