package balance

import (
	"testing"
	"testing/synctest"
	"time"

	"yarrowridge/internal/routing"
)

func twoRunners() *Balancer {
	b := New("east")
	b.Update([]routing.Runner{{ID: "a", Service: "s", State: routing.RunnerReady, Zone: "east"}, {ID: "b", Service: "s", State: routing.RunnerReady, Zone: "west"}})
	return b
}

// A runner that fails for other routers is left alone before this router has lost a request there, and is
// used again once it is no longer named.
func TestRunnerThatFailsElsewhere(t *testing.T) {
	b := twoRunners()
	b.Failing(map[string]float64{"a": 1})
	for range 20 {
		attempt := b.Choose(Request{Service: "s"})
		if id := attempt.Runner().Info().ID; id != "b" {
			t.Fatalf("%s chosen, which fails everywhere", id)
		}
		attempt.Done()
	}
	b.Failing(map[string]float64{"a": 1, "b": 1})
	last := b.Choose(Request{Service: "s"})
	if last == nil {
		t.Fatal("no runner is chosen where all fail: one is to be tried")
	}
	last.Cancel()
	b.Failing(nil)
	attempt := b.Choose(Request{Service: "s"})
	if id := attempt.Runner().Info().ID; id != "a" {
		t.Errorf("%s chosen, the runner of the own zone serves again", id)
	}
}

// Without a core nothing newer is heard, and a runner that failed elsewhere is tried again after a while.
func TestOldWordOnFailingRunners(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := twoRunners()
		b.Failing(map[string]float64{"a": 1})
		time.Sleep(fleetFresh + time.Millisecond)
		attempt := b.Choose(Request{Service: "s"})
		if id := attempt.Runner().Info().ID; id != "a" {
			t.Errorf("%s chosen, a was to be tried again", id)
		}
	})
}

// What became of attempts is told once.
func TestTally(t *testing.T) {
	b := twoRunners()
	b.Choose(Request{Service: "s"}).Done()
	b.Choose(Request{Service: "s"}).Failed()
	b.Choose(Request{Service: "s"}).Cancel()
	tries, fails := 0, 0
	for _, tally := range b.Tally() {
		tries, fails = tries+tally.Tries, fails+tally.Fails
	}
	if tries != 2 || fails != 1 {
		t.Errorf("%d tries and %d failures, 2 and 1 expected", tries, fails)
	}
	if again := b.Tally(); len(again) != 0 {
		t.Errorf("told again: %v", again)
	}
}
