package balance

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"yarrowridge/internal/model/routing"
)

// readyRunners returns ready runners of one service in one zone.
func readyRunners(count int) []routing.Runner {
	var list []routing.Runner
	for i := range count {
		list = append(list, routing.Runner{ID: fmt.Sprintf("life-%d", i), Service: "s", Zone: "east", State: routing.RunnerReady, Slots: 8})
	}
	return list
}

func balancerOf(list []routing.Runner) *Balancer {
	b := New("east")
	b.Update(list)
	return b
}

// sessionOf returns a request of a session with 5000 shared prompt tokens.
func sessionOf(key uint64) Request {
	return Request{Service: "s", Parts: []PromptPart{{ID: key, Tokens: 5000}, {ID: key + 1<<40, Tokens: 100}}, Input: 5100, Output: 50}
}

// chosen returns the ID of the runner that the request would be sent to, "" if there is none.
func chosen(b *Balancer, request Request) string {
	attempt := b.Choose(request)
	if attempt == nil {
		return ""
	}
	attempt.Cancel()
	return attempt.Runner().Info().ID
}

// sendTo starts a request at the given runner by excluding all others.
func sendTo(b *Balancer, id string, request Request) *Attempt {
	request.Tried = map[int]bool{}
	for _, runner := range b.Runners(request.Service) {
		if runner.Info().ID != id {
			request.Tried[runner.Index] = true
		}
	}
	return b.Choose(request)
}

// answer completes the response after a delay.
func answer(attempt *Attempt, after time.Duration) {
	time.Sleep(after)
	attempt.Progress()
	attempt.Done()
}

// measuredWait makes the balancer measure a wait at a runner.
func measuredWait(b *Balancer, id string, wait time.Duration) {
	var open []*Attempt
	for range 8 {
		open = append(open, sendTo(b, id, Request{Service: "s"}))
	}
	time.Sleep(wait)
	for _, attempt := range open {
		answer(attempt, 0)
	}
}

// A session stays at its runner over all turns if nothing is wrong there.
func TestSessionStaysAtItsRunner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := balancerOf(readyRunners(6))
		for key := range uint64(30) {
			home := chosen(b, sessionOf(key+1))
			for turn := range 10 {
				attempt := b.Choose(sessionOf(key + 1))
				if id := attempt.Runner().Info().ID; id != home {
					t.Fatalf("session %d: turn %d was sent to %s, earlier turns to %s", key, turn, id, home)
				}
				answer(attempt, 5*time.Millisecond)
			}
		}
	})
}

// A short wait at its runner does not move a session, a long one does. Afterwards the session stays at one of the two
// runners that have its prompt cached.
func TestSessionLeavesForALongWaitOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := balancerOf(readyRunners(6))
		home := chosen(b, sessionOf(1))
		measuredWait(b, home, 30*time.Millisecond)
		if id := chosen(b, sessionOf(1)); id != home {
			t.Errorf("a wait of 30 ms moved the session from %s to %s", home, id)
		}
		measuredWait(b, home, 1200*time.Millisecond)
		second := chosen(b, sessionOf(1))
		if second == home {
			t.Errorf("the session stayed at %s despite a wait of 1.2 s", home)
		}
		time.Sleep(10 * time.Second)
		for range 10 {
			if id := chosen(b, sessionOf(1)); id != home && id != second {
				t.Errorf("after the wait the session was sent to %s, want %s or %s", id, home, second)
			}
		}
	})
}

// A cached prompt is not prefilled at another runner to save a wait of about the prefill time: the prefill would delay
// all other requests.
func TestSharedPromptIsNotPrefilledAgainForAShortWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := balancerOf(readyRunners(6))
		home := chosen(b, sessionOf(1))
		measuredWait(b, home, 100*time.Millisecond)
		if id := chosen(b, sessionOf(1)); id != home {
			t.Errorf("got %s for a prompt of 5000 tokens that %s has cached with a wait of 100 ms, want the latter: the prefill takes 50 ms", id, home)
		}
	})
}

// Among otherwise equal runners, one in the router's own zone is chosen, to avoid traffic between zones.
func TestOwnZoneIsPreferred(t *testing.T) {
	list := readyRunners(8)
	for i := range list[1:] {
		list[1+i].Zone = "west"
	}
	b := balancerOf(list)
	for range 50 {
		if id := chosen(b, Request{Service: "s"}); id != list[0].ID {
			t.Fatalf("got %s in another zone, want %s with the same load", id, list[0].ID)
		}
	}
}

// Routers choose the same runner for a session without any communication, regardless of their zone and the order of
// their lists.
func TestBalancersAgree(t *testing.T) {
	list := readyRunners(7)
	reversed := make([]routing.Runner, len(list))
	for i, runner := range list {
		reversed[len(list)-1-i] = runner
	}
	for key := range uint64(200) {
		one, other := balancerOf(list), New("west")
		other.Update(reversed)
		if a, b := chosen(one, sessionOf(key+1)), chosen(other, sessionOf(key+1)); a != b {
			t.Fatalf("session %d was sent to %s by one router and to %s by another", key, a, b)
		}
	}
}

// A failed runner gets no new requests for a period that doubles with each failure, and then a single request as a
// probe.
func TestEjectionAndProbe(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := balancerOf(readyRunners(2))
		ejection := func() time.Duration {
			sendTo(b, "life-0", Request{Service: "s"}).Failed()
			started := time.Now()
			for {
				load := sendTo(b, "life-1", Request{Service: "s", Input: 1_000_000}) // makes life-0 the cheaper runner
				id := chosen(b, Request{Service: "s"})
				load.Cancel()
				if id == "life-0" {
					return time.Since(started)
				}
				time.Sleep(10 * time.Millisecond)
			}
		}
		first, second := ejection(), ejection()
		if first < minEjection || second < 2*minEjection {
			t.Errorf("ejected for %s after the first failure, for %s after the second", first, second)
		}
		sendTo(b, "life-1", Request{Service: "s", Input: 1_000_000})
		probe := sendTo(b, "life-0", Request{Service: "s"})
		for range 10 {
			if id := chosen(b, Request{Service: "s"}); id != "life-1" {
				t.Fatal("a second request was sent to the runner before the probe was answered")
			}
		}
		answer(probe, time.Millisecond)
	})
}

// If every runner is ejected, one of them is chosen nevertheless.
func TestLastResort(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := balancerOf(readyRunners(3))
		for i := range 3 {
			sendTo(b, fmt.Sprintf("life-%d", i), Request{Service: "s"}).Failed()
		}
		if chosen(b, Request{Service: "s"}) == "" {
			t.Error("no runner was chosen while all are ejected")
		}
	})
}

// Runners that drain, are gone or have lost their address are not chosen, not even as a last resort.
func TestRunnersThatMustNotBeUsed(t *testing.T) {
	list := readyRunners(3)
	list[0].State, list[1].State = routing.RunnerDraining, routing.RunnerGone
	b := balancerOf(list)
	for range 10 {
		if id := chosen(b, Request{Service: "s"}); id != "life-2" {
			t.Fatalf("%q was chosen", id)
		}
	}
	b.AddressReused(b.Runners("s")[2])
	if id := chosen(b, Request{Service: "s"}); id != "" {
		t.Errorf("%q was chosen, want none", id)
	}
	if id := chosen(b, Request{Service: "other"}); id != "" {
		t.Errorf("%q was chosen for another service", id)
	}
}

// A runner whose heartbeats stopped, or that has stalled, is used only as a last resort.
func TestStalledRunners(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		list := readyRunners(2)
		list[0].State = routing.RunnerTimedOut
		b := balancerOf(list)
		for range 10 {
			if id := chosen(b, Request{Service: "s"}); id != "life-1" {
				t.Fatalf("%q was chosen although its heartbeats stopped", id)
			}
		}
		b = balancerOf(readyRunners(2))
		stalled := sendTo(b, "life-0", Request{Service: "s"})
		time.Sleep(stallTimeoutFactor*initialLongestGap + time.Millisecond)
		if !stalled.Runner().Stalled() {
			t.Error("a runner that sent nothing was not detected as stalled")
		}
		busy := sendTo(b, "life-1", Request{Service: "s", Input: 10000})
		for range 10 {
			if id := chosen(b, Request{Service: "s"}); id != "life-1" {
				t.Fatal("a request was sent to a stalled runner")
			}
		}
		busy.Cancel()
		stalled.Progress()
		if stalled.Runner().Stalled() {
			t.Error("a runner that just sent data counts as stalled")
		}
	})
}

// A runner that rejected a request for lack of capacity is avoided for rejectionTTL.
func TestRejectingRunner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := balancerOf(readyRunners(2))
		sendTo(b, "life-0", Request{Service: "s"}).Rejected()
		for range 10 {
			if id := chosen(b, Request{Service: "s"}); id != "life-1" {
				t.Fatal("a request was sent to a full runner at once")
			}
		}
		time.Sleep(2 * rejectionTTL)
		sendTo(b, "life-1", Request{Service: "s"})
		if id := chosen(b, Request{Service: "s"}); id != "life-0" {
			t.Error("the runner was not used again after rejectionTTL")
		}
	})
}

// A request is not sent again to a runner that was tried, and never to one without the model.
func TestTriedRunnersAndOtherModelsAreExcluded(t *testing.T) {
	list := readyRunners(2)
	list[0].Models = []routing.RunnerModel{{Name: "m"}}
	list[1].Models = []routing.RunnerModel{{Name: "n"}}
	b := balancerOf(list)
	for range 10 {
		if id := chosen(b, Request{Service: "s", Model: "m"}); id != "life-0" {
			t.Fatalf("%q was chosen for a model that it does not serve", id)
		}
	}
	if id := chosen(b, Request{Service: "s", Model: "m", Tried: map[int]bool{0: true}}); id != "" {
		t.Errorf("%q was chosen again", id)
	}
}

// Between two lists that differ by one runner, only the sessions of that runner move; no session moves between two
// runners that are in both lists.
func TestAddedRunnerMovesOnlyItsShare(t *testing.T) {
	few, many := readyRunners(6), readyRunners(7)
	moved := 0
	for key := range uint64(300) {
		before, after := chosen(balancerOf(few), sessionOf(key+1)), chosen(balancerOf(many), sessionOf(key+1))
		if before != after {
			moved++
			if after != "life-6" {
				t.Fatalf("session %d moved from %s to %s, although both are in both lists", key, before, after)
			}
		}
	}
	if moved < 300/7/2 || moved > 300/7*2 {
		t.Errorf("%d of 300 sessions moved to the seventh runner", moved)
	}
}

// The measurements of a runner survive an update of the list. A runner that was off the list gets a new index and new
// measurements.
func TestUpdateKeepsMeasurements(t *testing.T) {
	list := readyRunners(3)
	b := balancerOf(list)
	known := b.Runners("s")[1]
	b.Update([]routing.Runner{list[1], list[2]})
	if got := b.Runners("s"); len(got) != 2 || got[0] != known {
		t.Error("a runner that stays on the list was recreated")
	}
	b.Update([]routing.Runner{list[2]})
	b.Update(list)
	if got := b.Runners("s"); got[1] == known || got[1].Index == known.Index {
		t.Error("a runner that returned has its old index or measurements")
	}
}

// Concurrent requests, updates and reports, for the race detector.
func TestBalancerConcurrentUse(t *testing.T) {
	b := balancerOf(readyRunners(5))
	var group sync.WaitGroup
	for worker := range 8 {
		group.Go(func() {
			for i := range 200 {
				attempt := b.Choose(sessionOf(uint64(worker*200+i)%17 + 1))
				if attempt == nil {
					continue
				}
				attempt.Progress()
				switch i % 5 {
				case 0:
					attempt.Failed()
				case 1:
					attempt.Rejected()
				case 2:
					attempt.Abandon()
				default:
					attempt.Done()
				}
			}
		})
	}
	group.Go(func() {
		for i := range 200 {
			b.Update(readyRunners(3 + i%4))
			b.Estimates("s", "")
			b.DrainTally()
			b.SetFailureRates(map[string]float64{"life-1": float64(i%2) / 2})
		}
	})
	group.Wait()
	for _, runner := range b.Runners("s") {
		if len(runner.inFlight) != 0 || runner.pendingPromptTokens != 0 {
			t.Errorf("%s: %d requests and %d tokens still counted as in flight", runner.info.ID, len(runner.inFlight), runner.pendingPromptTokens)
		}
	}
}
