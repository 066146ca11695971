package router

import "testing"

// While the peers are unknown, the number of routers before the current primary is used, or a constant if it is unknown too.
func TestPreviousRouters(t *testing.T) {
	for reported, want := range map[int]int{0: assumedRouters, 4: 4, 200: 200} {
		if got := previousRouters(reported); got != want {
			t.Errorf("%d routers reported: got %d, want %d", reported, got, want)
		}
	}
}
