package gateway

import (
	"testing"
	"time"

	"yarrowridge/internal/dataplane/allow"
	"yarrowridge/internal/model/routing"
)

// The allowance depends on the route: it is the largest requested output up to a wait of the target latency, an eighth of
// that from five times the target latency on, and falls linearly between them.
func TestAllowanceFollowsTheRoute(t *testing.T) {
	route := routing.RouteSpec{TargetLatency: 200 * time.Millisecond}
	parameters := allowanceParameters(&route, 8000)
	for _, c := range []struct {
		wait time.Duration
		size int
	}{
		{0, 8000}, {200 * time.Millisecond, 8000}, {600 * time.Millisecond, 4500}, {time.Second, 1000}, {time.Minute, 1000},
	} {
		if got := allow.Allowance(parameters, c.wait); got != c.size {
			t.Errorf("allowance after a wait of %s: got %d tokens, want %d", c.wait, got, c.size)
		}
	}
}
