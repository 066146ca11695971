package gateway

import (
	"context"
	"log/slog"
	"sort"
	"sync"

	"github.com/prometheus/client_golang/prometheus"
)

// counters count how requests ended, by route and code, since the start. mu guards both maps.
type counters struct {
	mu       *sync.Mutex
	ended    map[endKey]int
	reported map[endKey]int // of these, in the log by now
}

// endKey is one way in which requests of a route end.
type endKey struct {
	route string // "none": no route was found
	code  Code
}

func newCounters() counters {
	return counters{mu: &sync.Mutex{}, ended: map[endKey]int{}, reported: map[endKey]int{}}
}

// add counts a request that ended.
func (c counters) add(r *request, code Code) {
	name := "none"
	if r.route != nil {
		name = r.route.Name
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended[endKey{name, code}]++
}

// unreported gives what has been counted since the last call, in the order of routes and codes.
func (c counters) unreported() []slog.Attr {
	c.mu.Lock()
	defer c.mu.Unlock()
	var counts []slog.Attr
	for key, count := range c.ended {
		if added := count - c.reported[key]; added > 0 {
			counts = append(counts, slog.Int(key.route+"/"+string(key.code), added))
			c.reported[key] = count
		}
	}
	sort.Slice(counts, func(i, j int) bool { return counts[i].Key < counts[j].Key })
	return counts
}

var requestsEnded = prometheus.NewDesc("yarrowridge_requests_total", "Requests ended, by route and code.", []string{"route", "code"}, nil)

// Describe implements prometheus.Collector.
func (c counters) Describe(out chan<- *prometheus.Desc) { out <- requestsEnded }

// Collect implements prometheus.Collector. It may run concurrently with requests.
func (c counters) Collect(out chan<- prometheus.Metric) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for key, count := range c.ended {
		out <- prometheus.MustNewConstMetric(requestsEnded, prometheus.CounterValue, float64(count), key.route, string(key.code))
	}
}

// Counts is the metric of how requests ended since the start.
func (g *Gateway) Counts() prometheus.Collector { return g.counts }

// Report logs how many requests ended how since the last report, if any did.
func (g *Gateway) Report() {
	if counts := g.counts.unreported(); len(counts) > 0 {
		g.Log.LogAttrs(context.Background(), slog.LevelInfo, "Requests ended.", counts...)
	}
}
