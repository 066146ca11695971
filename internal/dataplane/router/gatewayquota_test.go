package router

import "testing"

// Before the peers are known a router takes its share of a fleet as large as it was.
func TestPreviousRouters(t *testing.T) {
	for reported, want := range map[int]int{0: assumedRouters, 4: 4, 200: 200} {
		if got := previousRouters(reported); got != want {
			t.Errorf("%d routers reported: got %d, want %d", reported, got, want)
		}
	}
}
