package gateway

import (
	"cmp"
	"sync"
)

// routeMaxima records the largest value observed on each route. The zero value is ready to use. mu guards the map.
type routeMaxima[T cmp.Ordered] struct {
	mu     sync.Mutex
	routes map[string]T
}

// observe records a value and returns the largest value of its route so far.
func (m *routeMaxima[T]) observe(route string, value T) T {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.routes == nil {
		m.routes = map[string]T{}
	}
	m.routes[route] = max(m.routes[route], value)
	return m.routes[route]
}
