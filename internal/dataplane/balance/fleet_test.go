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

// A runner that fails for other routers is avoided before this router has lost a request there, and is used again once
// it is no longer reported.
func TestRunnerWithFleetWideFailuresIsAvoided(t *testing.T) {
	b := twoRunners()
	b.SetFailureRates(map[string]float64{"a": 1})
	for range 20 {
		attempt := b.Choose(Request{Service: "s"})
		if id := attempt.Runner().Info().ID; id != "b" {
			t.Fatalf("%s was chosen, which fails for all routers", id)
		}
		attempt.Done()
	}
	b.SetFailureRates(map[string]float64{"a": 1, "b": 1})
	last := b.Choose(Request{Service: "s"})
	if last == nil {
		t.Fatal("no runner was chosen while all fail, want one as a last resort")
	}
	last.Cancel()
	b.SetFailureRates(nil)
	attempt := b.Choose(Request{Service: "s"})
	if id := attempt.Runner().Info().ID; id != "a" {
		t.Errorf("%s was chosen, want a: it is in the own zone and no longer fails", id)
	}
}

// Without a core there are no newer reports: a runner that failed for other routers is tried again after
// fleetReportTTL.
func TestFleetFailureReportExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := twoRunners()
		b.SetFailureRates(map[string]float64{"a": 1})
		time.Sleep(fleetReportTTL + time.Millisecond)
		attempt := b.Choose(Request{Service: "s"})
		if id := attempt.Runner().Info().ID; id != "a" {
			t.Errorf("%s was chosen, want a: the report has expired", id)
		}
	})
}

// Each attempt is counted in one DrainTally only.
func TestAttemptsAreReportedOnce(t *testing.T) {
	b := twoRunners()
	b.Choose(Request{Service: "s"}).Done()
	b.Choose(Request{Service: "s"}).Failed()
	b.Choose(Request{Service: "s"}).Cancel()
	attempts, failures := 0, 0
	for _, tally := range b.DrainTally() {
		attempts, failures = attempts+tally.Attempts, failures+tally.Failures
	}
	if attempts != 2 || failures != 1 {
		t.Errorf("got %d attempts and %d failures, want 2 and 1", attempts, failures)
	}
	if again := b.DrainTally(); len(again) != 0 {
		t.Errorf("counted again: %v", again)
	}
}

// countChoices counts how often each runner is chosen for a request; each attempt ends at once.
func countChoices(b *Balancer, request Request, times int) map[string]int {
	chosen := map[string]int{}
	for range times {
		attempt := b.Choose(request)
		chosen[attempt.Runner().Info().ID]++
		attempt.Cancel()
	}
	return chosen
}

// Responses that are longer than their prompt go to the low-latency runners of the fleet, spread evenly, whatever this
// router measured itself. Other responses are not affected.
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
		slow.Progress() // at once, so that only the gaps are long
		for range 5 {
			time.Sleep(100 * time.Millisecond)
			slow.Progress()
		}
		slow.Done()
		lowLatency := slow.Runner().Info().ID // the fleet-wide report overrides this router's own measurement
		var rest []string
		for _, runner := range runners {
			if runner.ID != lowLatency {
				rest = append(rest, runner.ID)
			}
		}
		b.SetLowLatency([]string{lowLatency, rest[0], rest[1]})
		const times = 300
		chosen := countChoices(b, long, times)
		for _, id := range []string{lowLatency, rest[0], rest[1]} {
			if chosen[id] < times/6 {
				t.Errorf("low-latency runner %s got %d of %d long responses", id, chosen[id], times)
			}
		}
		if spread := countChoices(b, short, times); len(spread) != len(runners) {
			t.Errorf("other responses went to %v, want all runners", spread)
		}
		time.Sleep(fleetReportTTL + time.Millisecond)
		if b.currentLowLatency(time.Now()) != nil {
			t.Error("the low-latency report is still valid after fleetReportTTL")
		}
	})
}

// Each gap between stream events is counted in one DrainTally only.
func TestGapsAreReportedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := twoRunners()
		attempt := b.Choose(Request{Service: "s"})
		for range 4 {
			time.Sleep(50 * time.Millisecond)
			attempt.Progress()
		}
		id := attempt.Runner().Info().ID
		if tally := b.DrainTally()[id]; tally.Gaps != 3 || tally.GapTotal != 150*time.Millisecond {
			t.Errorf("got %d gaps of %s in total, want 3 of 150 ms", tally.Gaps, tally.GapTotal)
		}
		if tallies := b.DrainTally(); len(tallies) != 0 {
			t.Errorf("counted again: %v", tallies)
		}
	})
}
