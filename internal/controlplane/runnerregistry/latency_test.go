package runnerregistry

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"yarrowridge/internal/controlplane/coreapi"
	"yarrowridge/internal/model/routing"
)

// readyRunners returns a function that lists ready runners of a service.
func readyRunners(service string, ids ...string) func(time.Time) []routing.Runner {
	return func(time.Time) []routing.Runner {
		var runners []routing.Runner
		for _, id := range ids {
			runners = append(runners, routing.Runner{ID: id, Service: service, State: routing.RunnerReady})
		}
		return runners
	}
}

// One router alone reports too few gaps to rank a runner, but the reports of all routers together are enough.
func TestLowLatencyRunnersAcrossRouters(t *testing.T) {
	var tracker LatencyTracker
	now := time.Now()
	for router := range 10 {
		tracker.Record([]coreapi.RunnerStats{{ID: "a", TokenGaps: 1, TokenGapsMs: 40 + router}, {ID: "b", TokenGaps: 1, TokenGapsMs: 60 - router},
			{ID: "c", TokenGaps: 1, TokenGapsMs: 30}, {ID: "d", TokenGaps: 1, TokenGapsMs: 90}}, now)
	}
	tracker.Record([]coreapi.RunnerStats{{ID: "rare", TokenGaps: 1, TokenGapsMs: 1}}, now)
	if got := tracker.LowLatencyRunners(readyRunners("s", "a", "b", "c", "d", "rare", "unseen"), now); !slices.Equal(got, []string{"a", "c"}) {
		t.Errorf("got low-latency runners %v, want a and c", got)
	}
}

// A slow runner counts as low-latency soon after it becomes fast, and a runner that is no longer known is removed.
func TestLowLatencyRunnersFollowChanges(t *testing.T) {
	var tracker LatencyTracker
	now := time.Now()
	all := readyRunners("s", "a", "b")
	tracker.Record([]coreapi.RunnerStats{{ID: "a", TokenGaps: 50, TokenGapsMs: 50 * 200}, {ID: "b", TokenGaps: 50, TokenGapsMs: 50 * 60}}, now)
	if got := tracker.LowLatencyRunners(all, now); !slices.Equal(got, []string{"b"}) {
		t.Fatalf("got low-latency runners %v, want b", got)
	}
	for range 8 {
		now = now.Add(time.Second)
		tracker.Record([]coreapi.RunnerStats{{ID: "a", TokenGaps: 10, TokenGapsMs: 10 * 30}, {ID: "b", TokenGaps: 10, TokenGapsMs: 10 * 60}}, now)
	}
	if got := tracker.LowLatencyRunners(all, now); !slices.Equal(got, []string{"a"}) {
		t.Errorf("got low-latency runners %v after eight seconds, want a", got)
	}
	tracker.LowLatencyRunners(readyRunners("s", "b"), now.Add(time.Second))
	if len(tracker.gaps) != 1 {
		t.Errorf("got %d runners tracked, want only the known one", len(tracker.gaps))
	}
}

// Runners are ranked within their service, runners that are not ready are not listed, and invalid counts change nothing.
func TestLowLatencyRunnersOfEachService(t *testing.T) {
	var tracker LatencyTracker
	now := time.Now()
	var runners []routing.Runner
	for i := range 8 {
		runner := routing.Runner{ID: fmt.Sprint(i), Service: fmt.Sprint("s", i/4), State: routing.RunnerReady}
		if i == 0 {
			runner.State = routing.RunnerDraining
		}
		runners = append(runners, runner)
		tracker.Record([]coreapi.RunnerStats{{ID: runner.ID, TokenGaps: 10, TokenGapsMs: 100 * (i + 1)}}, now)
	}
	tracker.Record([]coreapi.RunnerStats{{ID: "7", TokenGaps: -1, TokenGapsMs: 5}, {ID: "7", TokenGaps: 5, TokenGapsMs: -100000}}, now)
	got := tracker.LowLatencyRunners(func(time.Time) []routing.Runner { return runners }, now)
	if want := []string{"1", "4", "5"}; !slices.Equal(got, want) {
		t.Errorf("got low-latency runners %v, want %v", got, want)
	}
}
