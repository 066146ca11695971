package gateway

import (
	"context"
	"log/slog"
	"sort"
	"sync"

	"github.com/prometheus/client_golang/prometheus"
)

// counters counts ended requests by route and code, and interrupted responses by cause, since the process started. mu guards
// the maps.
type counters struct {
	mu     *sync.Mutex
	ended  map[resultKey]int
	logged map[resultKey]int // the counts in ended that have been logged
	broken map[InterruptionCause]int
}

// resultKey identifies a counter.
type resultKey struct {
	route string // "none": no route was found
	code  Code
}

func newCounters() counters {
	return counters{mu: &sync.Mutex{}, ended: map[resultKey]int{}, logged: map[resultKey]int{}, broken: map[InterruptionCause]int{}}
}

// add counts a request that ended with a code.
func (c counters) add(r *request, code Code) {
	name := "none"
	if r.route != nil {
		name = r.route.Name
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended[resultKey{name, code}]++
}

// addInterruption counts a response that broke off.
func (c counters) addInterruption(cause InterruptionCause) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.broken[cause]++
}

// takeUnreported returns the counts since its last call, sorted by route and code.
func (c counters) takeUnreported() []slog.Attr {
	c.mu.Lock()
	defer c.mu.Unlock()
	var counts []slog.Attr
	for key, count := range c.ended {
		if added := count - c.logged[key]; added > 0 {
			counts = append(counts, slog.Int(key.route+"/"+string(key.code), added))
			c.logged[key] = count
		}
	}
	sort.Slice(counts, func(i, j int) bool { return counts[i].Key < counts[j].Key })
	return counts
}

var (
	requestsEnded = prometheus.NewDesc("yarrowridge_requests_total", "Requests ended, by route and code.", []string{"route", "code"}, nil)
	interruptions = prometheus.NewDesc("yarrowridge_responses_broken_off_total", "Responses that broke off, by cause.", []string{"cause"}, nil)
)

// Describe implements prometheus.Collector.
func (c counters) Describe(out chan<- *prometheus.Desc) {
	out <- requestsEnded
	out <- interruptions
}

// Collect implements prometheus.Collector. It may run concurrently with requests.
func (c counters) Collect(out chan<- prometheus.Metric) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for key, count := range c.ended {
		out <- prometheus.MustNewConstMetric(requestsEnded, prometheus.CounterValue, float64(count), key.route, string(key.code))
	}
	for cause, count := range c.broken {
		out <- prometheus.MustNewConstMetric(interruptions, prometheus.CounterValue, float64(count), string(cause))
	}
}

// Counts returns the collector of the metrics of ended requests and interrupted responses.
func (g *Gateway) Counts() prometheus.Collector { return g.counts }

// Report logs the counts of requests that ended since the last report, if any.
func (g *Gateway) Report() {
	if counts := g.counts.takeUnreported(); len(counts) > 0 {
		g.Log.LogAttrs(context.Background(), slog.LevelInfo, "Requests ended.", counts...)
	}
}
