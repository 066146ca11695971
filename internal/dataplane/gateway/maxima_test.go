package gateway

import "testing"

// The largest value is recorded for each route separately.
func TestRouteMaxima(t *testing.T) {
	var largest routeMaxima[int]
	for _, c := range []struct {
		route       string
		value, want int
	}{{"a", 10, 10}, {"b", 500, 500}, {"a", 4, 10}, {"a", 30, 30}, {"b", 1, 500}} {
		if got := largest.observe(c.route, c.value); got != c.want {
			t.Errorf("route %s after %d: got %d, want %d", c.route, c.value, got, c.want)
		}
	}
}
