package gateway

import (
	"cmp"
	"sync"
)

// routeMaxima remembers the largest value seen on each route. The zero value has seen none. mu guards the map.
type routeMaxima[T cmp.Ordered] struct {
	mu     sync.Mutex
	routes map[string]T
}

// observe takes a value and returns the largest of its route so far.
func (m *routeMaxima[T]) observe(route string, value T) T {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.routes == nil {
		m.routes = map[string]T{}
	}
	m.routes[route] = max(m.routes[route], value)
	return m.routes[route]
}
