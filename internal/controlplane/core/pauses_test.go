package core

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"yarrowridge/internal/controlplane/coreapi"
	"yarrowridge/internal/model/routing"
)

func pausingRunners(service string, ids ...string) func(time.Time) []routing.Runner {
	return func(time.Time) []routing.Runner {
		var out []routing.Runner
		for _, id := range ids {
			out = append(out, routing.Runner{ID: id, Service: service, State: routing.RunnerReady})
		}
		return out
	}
}

// No single router sees enough of a slow runner's pauses, all together do.
func TestCalmRunnersByWhatAllRoutersSaw(t *testing.T) {
	var pauses runnerPauses
	now := time.Now()
	for router := range 10 {
		pauses.note([]coreapi.RunnerStats{{ID: "a", TokenGaps: 1, TokenGapsMs: 40 + router}, {ID: "b", TokenGaps: 1, TokenGapsMs: 60 - router},
			{ID: "c", TokenGaps: 1, TokenGapsMs: 30}, {ID: "d", TokenGaps: 1, TokenGapsMs: 90}}, now)
	}
	pauses.note([]coreapi.RunnerStats{{ID: "seldom", TokenGaps: 1, TokenGapsMs: 1}}, now)
	if got := pauses.calm(pausingRunners("s", "a", "b", "c", "d", "seldom", "unseen"), now); !slices.Equal(got, []string{"a", "c"}) {
		t.Errorf("calm: %v, a and c expected", got)
	}
}

// A runner that was busy is calm again soon after it has become so, and one that is gone is forgotten.
func TestCalmRunnersFollow(t *testing.T) {
	var pauses runnerPauses
	now := time.Now()
	all := pausingRunners("s", "a", "b")
	pauses.note([]coreapi.RunnerStats{{ID: "a", TokenGaps: 50, TokenGapsMs: 50 * 200}, {ID: "b", TokenGaps: 50, TokenGapsMs: 50 * 60}}, now)
	if got := pauses.calm(all, now); !slices.Equal(got, []string{"b"}) {
		t.Fatalf("calm: %v, b expected", got)
	}
	for range 8 {
		now = now.Add(time.Second)
		pauses.note([]coreapi.RunnerStats{{ID: "a", TokenGaps: 10, TokenGapsMs: 10 * 30}, {ID: "b", TokenGaps: 10, TokenGapsMs: 10 * 60}}, now)
	}
	if got := pauses.calm(all, now); !slices.Equal(got, []string{"a"}) {
		t.Errorf("calm after eight seconds: %v, a expected", got)
	}
	pauses.calm(pausingRunners("s", "b"), now.Add(time.Second))
	if len(pauses.runners) != 1 {
		t.Errorf("%d runners remembered, one is known", len(pauses.runners))
	}
}

// Services are judged apart, runners that are not ready are not named, and nonsense in a tally changes nothing.
func TestCalmRunnersOfEachService(t *testing.T) {
	var pauses runnerPauses
	now := time.Now()
	var runners []routing.Runner
	for i := range 8 {
		runner := routing.Runner{ID: fmt.Sprint(i), Service: fmt.Sprint("s", i/4), State: routing.RunnerReady}
		if i == 0 {
			runner.State = routing.RunnerDraining
		}
		runners = append(runners, runner)
		pauses.note([]coreapi.RunnerStats{{ID: runner.ID, TokenGaps: 10, TokenGapsMs: 100 * (i + 1)}}, now)
	}
	pauses.note([]coreapi.RunnerStats{{ID: "7", TokenGaps: -1, TokenGapsMs: 5}, {ID: "7", TokenGaps: 5, TokenGapsMs: -100000}}, now)
	got := pauses.calm(func(time.Time) []routing.Runner { return runners }, now)
	if want := []string{"1", "4", "5"}; !slices.Equal(got, want) {
		t.Errorf("calm: %v, %v expected", got, want)
	}
}
