package gateway

import (
	"context"
	"log/slog"
	"sort"
	"sync"

	"github.com/prometheus/client_golang/prometheus"
)

// counters count how requests ended, by route and outcome, since the start.
type counters struct {
	mu       *sync.Mutex
	ended    map[endKey]int
	reported map[endKey]int // of these, in the log by now
}

type endKey struct{ Route, Code string }

// codeDone is the outcome of a request that was answered with its runner's whole answer.
const codeDone = "done"

func newCounters() counters {
	return counters{mu: &sync.Mutex{}, ended: map[endKey]int{}, reported: map[endKey]int{}}
}

func (c counters) add(r *request, code string) {
	name := "none"
	if r.route != nil {
		name = r.route.Name
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended[endKey{name, code}]++
}

// unreported gives what has been counted since it was last asked, in the order of routes and codes.
func (c counters) unreported() []slog.Attr {
	c.mu.Lock()
	defer c.mu.Unlock()
	var news []slog.Attr
	for key, count := range c.ended {
		if fresh := count - c.reported[key]; fresh > 0 {
			news = append(news, slog.Int(key.Route+"/"+key.Code, fresh))
			c.reported[key] = count
		}
	}
	sort.Slice(news, func(i, j int) bool { return news[i].Key < news[j].Key })
	return news
}

var requestsEnded = prometheus.NewDesc("yarrowridge_requests_total", "Requests ended, by route and code.", []string{"route", "code"}, nil)

// Describe names the metric, as prometheus asks for.
func (c counters) Describe(out chan<- *prometheus.Desc) { out <- requestsEnded }

// Collect reads the counts, as prometheus asks for.
func (c counters) Collect(out chan<- prometheus.Metric) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for key, count := range c.ended {
		out <- prometheus.MustNewConstMetric(requestsEnded, prometheus.CounterValue, float64(count), key.Route, key.Code)
	}
}

// Counts tells how requests ended since the start, for metrics.
func (g *Gateway) Counts() prometheus.Collector { return g.counts }

// Report logs how many requests ended how since the last report, if any did.
func (g *Gateway) Report() {
	if news := g.counts.unreported(); len(news) > 0 {
		g.Log.LogAttrs(context.Background(), slog.LevelInfo, "Requests ended.", news...)
	}
}
