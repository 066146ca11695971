package gateway

import (
	"log/slog"
	"sort"
	"sync"
)

// counters count how requests ended, by route and outcome.
type counters struct {
	mu       *sync.Mutex
	outcomes map[outcome]int
}

type outcome struct{ Route, Code string }

func newCounters() counters {
	return counters{mu: &sync.Mutex{}, outcomes: map[outcome]int{}}
}

func (c counters) add(r *request, code string) {
	name := "none"
	if r.route != nil {
		name = r.route.Name
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outcomes[outcome{name, code}]++
}

// Report logs how many requests ended how since the last report, if any did.
func (g *Gateway) Report() {
	g.counts.mu.Lock()
	var all []outcome
	for key := range g.counts.outcomes {
		all = append(all, key)
	}
	sort.Slice(all, func(i, j int) bool {
		return all[i].Route < all[j].Route || all[i].Route == all[j].Route && all[i].Code < all[j].Code
	})
	var args []any
	for _, key := range all {
		args = append(args, slog.Int(key.Route+"/"+key.Code, g.counts.outcomes[key]))
	}
	clear(g.counts.outcomes)
	g.counts.mu.Unlock()
	if len(args) > 0 {
		g.Log.Info("Requests ended.", args...)
	}
}
