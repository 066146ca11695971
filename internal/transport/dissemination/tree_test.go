package dissemination

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// The tree connects all nodes, its edges are symmetric, and with four zones no node has more than Fanout+4 neighbours.
func TestTreeReachesAllNodes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var all []Node
		for i := range rapid.IntRange(1, 60).Draw(t, "nodes") {
			all = append(all, Node{Name: fmt.Sprintf("n%02d", i), Zone: rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "zone")})
		}
		reached := map[string]bool{all[0].Name: true}
		for queue := []string{all[0].Name}; len(queue) > 0; queue = queue[1:] {
			neighbours := Neighbours(queue[0], all)
			if len(neighbours) > Fanout+4 {
				t.Fatalf("%s: got %d neighbours, want at most %d", queue[0], len(neighbours), Fanout+4)
			}
			for _, neighbour := range neighbours {
				mutual := false
				for _, other := range Neighbours(neighbour.Name, all) {
					mutual = mutual || other.Name == queue[0]
				}
				if !mutual {
					t.Fatalf("%s has the neighbour %s, but not the reverse; want symmetric neighbours", queue[0], neighbour.Name)
				}
				if !reached[neighbour.Name] {
					reached[neighbour.Name] = true
					queue = append(queue, neighbour.Name)
				}
			}
		}
		if len(reached) != len(all) {
			t.Fatalf("got %d nodes reached, want %d", len(reached), len(all))
		}
	})
}
