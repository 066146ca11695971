package router

import "testing"

// Before the nodes are known a router takes the part of a fleet as large as it was.
func TestPartBeforeTheNodesAreKnown(t *testing.T) {
	for told, want := range map[int]int{0: assumedRouters, 4: 4, 200: 200} {
		if got := routersBefore(told); got != want {
			t.Errorf("%d routers told, %d assumed, %d expected", told, got, want)
		}
	}
}
