package balance

import (
	"fmt"
	"testing"

	"yarrowridge/internal/model/routing"
)

// BenchmarkRefreshAffinity measures RefreshAffinity with a full set of recent sessions when a hundredth runner is added.
func BenchmarkRefreshAffinity(b *testing.B) {
	for b.Loop() {
		b.StopTimer()
		balancer, runners := New("east"), []routing.Runner{}
		for i := range 100 {
			runners = append(runners, routing.Runner{ID: fmt.Sprint("runner ", i), Service: "s", State: routing.RunnerReady})
		}
		balancer.Update(runners[:99])
		balancer.RefreshAffinity()
		for number := range maxRecentSessions {
			serveOnce(balancer, sessionRequest(number))
		}
		balancer.Update(runners)
		b.StartTimer()
		balancer.RefreshAffinity()
	}
}
