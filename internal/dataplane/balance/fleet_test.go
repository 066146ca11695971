package balance

import (
	"testing"
	"testing/synctest"
	"time"

	"yarrowridge/internal/model/routing"
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
	b.SetFailureRates(map[string]float64{"a": 1})
	for range 20 {
		attempt := b.Choose(Request{Service: "s"})
		if id := attempt.Runner().Info().ID; id != "b" {
			t.Fatalf("%s chosen, which fails everywhere", id)
		}
		attempt.Done()
	}
	b.SetFailureRates(map[string]float64{"a": 1, "b": 1})
	last := b.Choose(Request{Service: "s"})
	if last == nil {
		t.Fatal("no runner is chosen where all fail: one is to be tried")
	}
	last.Cancel()
	b.SetFailureRates(nil)
	attempt := b.Choose(Request{Service: "s"})
	if id := attempt.Runner().Info().ID; id != "a" {
		t.Errorf("%s chosen, the runner of the own zone serves again", id)
	}
}

// Without a core nothing newer is heard, and a runner that failed elsewhere is tried again after a while.
func TestOldReportOnFailingRunners(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := twoRunners()
		b.SetFailureRates(map[string]float64{"a": 1})
		time.Sleep(fleetReportTTL + time.Millisecond)
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
		tries, fails = tries+tally.Attempts, fails+tally.Failures
	}
	if tries != 2 || fails != 1 {
		t.Errorf("%d tries and %d failures, 2 and 1 expected", tries, fails)
	}
	if again := b.Tally(); len(again) != 0 {
		t.Errorf("told again: %v", again)
	}
}

// choosesOf counts which runners a request is sent to, each answered at once.
func choosesOf(b *Balancer, request Request, times int) map[string]int {
	chosen := map[string]int{}
	for range times {
		attempt := b.Choose(request)
		chosen[attempt.Runner().Info().ID]++
		attempt.Cancel()
	}
	return chosen
}

// An answer of which more comes out than goes in goes to the runners that are calm for all routers, to each of them
// alike, whatever this router saw of one of them; other answers go where they went.
func TestLongResponsesGoToLowLatencyRunners(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New("east")
		var runners []routing.Runner
		for _, id := range []string{"a", "b", "c", "d", "e", "f"} {
			runners = append(runners, routing.Runner{ID: id, Service: "s", State: routing.RunnerReady, Zone: "east"})
		}
		b.Update(runners)
		long := Request{Service: "s", Input: 100, Output: 4000}
		short := Request{Service: "s", Input: 4000, Output: 100}
		slow := b.Choose(long)
		slow.Progress() // at once: it is its pauses that are long
		for range 5 {
			time.Sleep(100 * time.Millisecond)
			slow.Progress()
		}
		slow.Done()
		calm := slow.Runner().Info().ID // one router's own view goes behind that of all
		var others []string
		for _, runner := range runners {
			if runner.ID != calm {
				others = append(others, runner.ID)
			}
		}
		b.SetLowLatency([]string{calm, others[0], others[1]})
		const times = 300
		chosen := choosesOf(b, long, times)
		for _, id := range []string{calm, others[0], others[1]} {
			if chosen[id] < times/6 {
				t.Errorf("%s, which is calm, has %d of %d long answers", id, chosen[id], times)
			}
		}
		if spread := choosesOf(b, short, times); len(spread) != len(runners) {
			t.Errorf("other answers went to %v", spread)
		}
		time.Sleep(fleetReportTTL + time.Millisecond)
		if b.currentLowLatency(time.Now()) != nil {
			t.Error("the core's word on calm runners holds though it was heard of no longer")
		}
	})
}

// The pauses between the events of streams are told once.
func TestGapsAreReportedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := twoRunners()
		attempt := b.Choose(Request{Service: "s"})
		for range 4 {
			time.Sleep(50 * time.Millisecond)
			attempt.Progress()
		}
		id := attempt.Runner().Info().ID
		if tally := b.Tally()[id]; tally.Gaps != 3 || tally.GapTotal != 150*time.Millisecond {
			t.Errorf("%d pauses of %s, 3 of 150 ms expected", tally.Gaps, tally.GapTotal)
		}
		if tallies := b.Tally(); len(tallies) != 0 {
			t.Errorf("told again: %v", tallies)
		}
	})
}
