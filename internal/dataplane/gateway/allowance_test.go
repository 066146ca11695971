package gateway

import (
	"testing"
	"time"

	"yarrowridge/internal/dataplane/allow"
	"yarrowridge/internal/model/routing"
)

// The allowance's figures follow the route: nobody is rejected up to the target latency, an eighth of the most that was
// asked for is free from five times the target on, and the fall between is linear.
func TestAllowanceFollowsTheRoute(t *testing.T) {
	route := routing.RouteSpec{TargetLatency: 200 * time.Millisecond}
	rule := allowanceRule(&route, 8000)
	for _, c := range []struct {
		wait time.Duration
		size int
	}{
		{0, 8000}, {200 * time.Millisecond, 8000}, {600 * time.Millisecond, 4500}, {time.Second, 1000}, {time.Minute, 1000},
	} {
		if got := allow.Allowance(rule, c.wait); got != c.size {
			t.Errorf("allowance after a wait of %s: got %d tokens, want %d", c.wait, got, c.size)
		}
	}
}
