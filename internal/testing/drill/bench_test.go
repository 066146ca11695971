package drill

import (
	"context"
	"io"
	"net/http"
	"sort"
	"testing"
	"time"
)

// BenchmarkHop sends requests to a plain runner alternately directly and through a router, and reports the median times
// and their difference.
func BenchmarkHop(b *testing.B) {
	f, err := NewFleet(Tokachi(), bin, b.TempDir())
	if err != nil {
		b.Fatal(err)
	}
	defer f.Stop()
	ctx, cancel := context.WithTimeout(b.Context(), 60*time.Second)
	defer cancel()
	for _, s := range f.AppRunners {
		s.TokenTime = 0
	}
	if err := f.Start(ctx); err != nil {
		b.Fatal(err)
	}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8}}
	send := func(addr string) time.Duration {
		req, _ := http.NewRequest("GET", "http://"+addr+"/v1/status/1", nil)
		req.Header.Set("Authorization", "Bearer "+TenantKey("desk-a"))
		start := time.Now()
		response, err := client.Do(req)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			b.Fatal(err)
		}
		_ = response.Body.Close()
		if response.StatusCode != 200 {
			b.Fatalf("status %d", response.StatusCode)
		}
		return time.Since(start)
	}
	var direct, routed []time.Duration
	for b.Loop() {
		direct = append(direct, send(f.AppRunners[0].Addr))
		routed = append(routed, send(f.Routers[0].ClientAddr))
	}
	median := func(d []time.Duration) float64 {
		sort.Slice(d, func(i, j int) bool { return d[i] < d[j] })
		return float64(d[len(d)/2].Microseconds())
	}
	directTime, routedTime := median(direct), median(routed)
	b.ReportMetric(directTime, "direct-us")
	b.ReportMetric(routedTime, "router-us")
	b.ReportMetric(routedTime-directTime, "cost-us")
}
