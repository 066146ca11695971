package coreapi

import (
	"fmt"
	"testing"
)

// Lists that differ in fields that peers must know have different digests, even if two nodes change in the same way.
func TestNodesDigest(t *testing.T) {
	seen := map[uint64]string{}
	add := func(nodes ...Node) {
		t.Helper()
		list := fmt.Sprint(nodes)
		digest := NodesDigest(nodes)
		if known, ok := seen[digest]; ok && known != list {
			t.Errorf("got digest %x of both %s and %s", digest, known, list)
		}
		seen[digest] = list
	}
	var nodes []Node
	for run := range uint64(12) {
		nodes = append(nodes, Node{Name: fmt.Sprint("node", run), Addr: "10.0.0.1:70", Run: run})
	}
	for i := range nodes {
		for j := range i {
			for ready := range 4 {
				a, b := nodes[i], nodes[j]
				a.Ready, b.Ready = ready&1 > 0, ready&2 > 0
				add(a, b)
			}
		}
	}
	if first, second := NodesDigest(nodes[:2]), NodesDigest([]Node{nodes[1], nodes[0]}); first != second {
		t.Errorf("got digests %x and %x of one list in two orders, want equal ones", first, second)
	}
	if NodesDigest(nil) == 0 {
		t.Error("got digest 0 of an empty list, want another value: 0 means that there is no list")
	}
}
