package gateway

import (
	"testing"
	"time"

	"yarrowridge/internal/dataplane/allow"
	"yarrowridge/internal/model/routing"
)

// The allowance's figures follow the route: nobody is refused up to the aim, an eighth of the most that was
// asked for is free from five times the aim on, and the fall between is linear.
func TestAllowanceFollowsTheRoute(t *testing.T) {
	route := routing.RouteSpec{TargetLatency: 200 * time.Millisecond}
	rule := allowanceRule(&route, 8000)
	for _, c := range []struct {
		wait time.Duration
		size int
	}{
		{0, 8000}, {200 * time.Millisecond, 8000}, {600 * time.Millisecond, 4500}, {time.Second, 1000}, {time.Minute, 1000},
	} {
		if got := allow.Size(rule, c.wait); got != c.size {
			t.Errorf("after a wait of %s %d tokens are free, %d expected", c.wait, got, c.size)
		}
	}
}
