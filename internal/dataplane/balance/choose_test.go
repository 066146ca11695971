package balance

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"yarrowridge/internal/model/routing"
)

// readyRunners are runners of one service and zone.
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

// sessionOf is a request of a session whose shared prompt has 5000 tokens.
func sessionOf(key uint64) Request {
	return Request{Service: "s", Parts: []PromptPart{{ID: key, Tokens: 5000}, {ID: key + 1<<40, Tokens: 100}}, Input: 5100, Output: 50}
}

// chosen gives the ID of the runner that a request would go to.
func chosen(b *Balancer, request Request) string {
	attempt := b.Choose(request)
	if attempt == nil {
		return ""
	}
	attempt.Cancel()
	return attempt.Runner().Info().ID
}

// sendTo begins a request at one runner, whatever the balancer would choose.
func sendTo(b *Balancer, id string, request Request) *Attempt {
	request.Tried = map[int]bool{}
	for _, runner := range b.Runners(request.Service) {
		if runner.Info().ID != id {
			request.Tried[runner.Index] = true
		}
	}
	return b.Choose(request)
}

// answer has a runner answer so long after the request.
func answer(attempt *Attempt, after time.Duration) {
	time.Sleep(after)
	attempt.Progress()
	attempt.Done()
}

// measuredWait has the balancer measure that a runner lets requests wait.
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

// A session stays at its runner while nothing is wrong there, turn after turn.
func TestSessionStaysAtItsRunner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := balancerOf(readyRunners(6))
		for key := range uint64(30) {
			home := chosen(b, sessionOf(key+1))
			for turn := range 10 {
				attempt := b.Choose(sessionOf(key + 1))
				if id := attempt.Runner().Info().ID; id != home {
					t.Fatalf("session %d: turn %d goes to %s, the ones before went to %s", key, turn, id, home)
				}
				answer(attempt, 5*time.Millisecond)
			}
		}
	})
}

// A short wait at its runner does not move a session, a long one does. Later it goes to one of the two, which
// both have read its prompt.
func TestSessionLeavesForALongWaitOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := balancerOf(readyRunners(6))
		home := chosen(b, sessionOf(1))
		measuredWait(b, home, 30*time.Millisecond)
		if id := chosen(b, sessionOf(1)); id != home {
			t.Errorf("a wait of 30 ms moves the session from %s to %s", home, id)
		}
		measuredWait(b, home, 1200*time.Millisecond)
		second := chosen(b, sessionOf(1))
		if second == home {
			t.Errorf("the session stays at %s, where requests wait 1.2 s", home)
		}
		time.Sleep(10 * time.Second)
		for range 10 {
			if id := chosen(b, sessionOf(1)); id != home && id != second {
				t.Errorf("the wait is over, but the session goes to %s, not to %s or %s", id, home, second)
			}
		}
	})
}

// A prompt that one runner keeps is not read again elsewhere to save about the time of the reading: that time is taken from
// all other requests.
func TestSharedPromptIsNotReadAgainForAShortWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := balancerOf(readyRunners(6))
		home := chosen(b, sessionOf(1))
		measuredWait(b, home, 100*time.Millisecond)
		if id := chosen(b, sessionOf(1)); id != home {
			t.Errorf("got %s for a prompt of 5000 tokens that %s keeps, where requests wait 100 ms, want the latter: reading it takes 50 ms", id, home)
		}
	})
}

// Of runners that are alike the router's own zone serves, for the bytes between zones.
func TestOwnZoneIsPreferred(t *testing.T) {
	list := readyRunners(8)
	for i := range list[1:] {
		list[1+i].Zone = "west"
	}
	b := balancerOf(list)
	for range 50 {
		if id := chosen(b, Request{Service: "s"}); id != list[0].ID {
			t.Fatalf("got %s in another zone, want %s, which is as free", id, list[0].ID)
		}
	}
}

// Routers that never spoke to each other, in other zones, with lists in another order, choose alike.
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
			t.Fatalf("session %d goes to %s from one router and to %s from another", key, a, b)
		}
	}
}

// A runner that failed gets nothing new for a while, longer each time, and then one request to try it.
func TestFailingRunnerIsTriedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := balancerOf(readyRunners(2))
		pause := func() time.Duration {
			sendTo(b, "life-0", Request{Service: "s"}).Failed()
			begun := time.Now()
			for {
				keep := sendTo(b, "life-1", Request{Service: "s", Input: 1_000_000}) // so that life-0 is wanted
				id := chosen(b, Request{Service: "s"})
				keep.Cancel()
				if id == "life-0" {
					return time.Since(begun)
				}
				time.Sleep(10 * time.Millisecond)
			}
		}
		first, second := pause(), pause()
		if first < minEjection || second < 2*minEjection {
			t.Errorf("ejected for %s after the first failure, for %s after the second", first, second)
		}
		sendTo(b, "life-1", Request{Service: "s", Input: 1_000_000})
		trial := sendTo(b, "life-0", Request{Service: "s"})
		for range 10 {
			if id := chosen(b, Request{Service: "s"}); id != "life-1" {
				t.Fatal("a runner on trial gets a second request before the first one is answered")
			}
		}
		answer(trial, time.Millisecond)
	})
}

// Where every runner is ejected, one is chosen all the same.
func TestLastResort(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := balancerOf(readyRunners(3))
		for i := range 3 {
			sendTo(b, fmt.Sprintf("life-%d", i), Request{Service: "s"}).Failed()
		}
		if chosen(b, Request{Service: "s"}) == "" {
			t.Error("no runner is chosen while all are ejected")
		}
	})
}

// Runners that drain, have left or have lost their address get nothing, not even as a last resort.
func TestRunnersThatMustNotBeUsed(t *testing.T) {
	list := readyRunners(3)
	list[0].State, list[1].State = routing.RunnerDraining, routing.RunnerGone
	b := balancerOf(list)
	for range 10 {
		if id := chosen(b, Request{Service: "s"}); id != "life-2" {
			t.Fatalf("%q is chosen", id)
		}
	}
	b.AddressReused(b.Runners("s")[2])
	if id := chosen(b, Request{Service: "s"}); id != "" {
		t.Errorf("%q is chosen though none may be", id)
	}
	if id := chosen(b, Request{Service: "other"}); id != "" {
		t.Errorf("%q is chosen for another service", id)
	}
}

// A runner whose heartbeats stopped, or that says nothing on its requests, is a last resort.
func TestStalledRunners(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		list := readyRunners(2)
		list[0].State = routing.RunnerSilent
		b := balancerOf(list)
		for range 10 {
			if id := chosen(b, Request{Service: "s"}); id != "life-1" {
				t.Fatalf("%q is chosen, its heartbeats stopped", id)
			}
		}
		b = balancerOf(readyRunners(2))
		stuck := sendTo(b, "life-0", Request{Service: "s"})
		time.Sleep(stallTimeoutFactor*initialLongestGap + time.Millisecond)
		if !stuck.Runner().Stalled() {
			t.Error("a runner that says nothing is not called silent")
		}
		busy := sendTo(b, "life-1", Request{Service: "s", Input: 10000})
		for range 10 {
			if id := chosen(b, Request{Service: "s"}); id != "life-1" {
				t.Fatal("a runner that says nothing gets more")
			}
		}
		busy.Cancel()
		stuck.Progress()
		if stuck.Runner().Stalled() {
			t.Error("a runner that has just spoken is called silent")
		}
	})
}

// A runner that says that it is full is left alone for a moment.
func TestRejectingRunner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := balancerOf(readyRunners(2))
		sendTo(b, "life-0", Request{Service: "s"}).Rejected()
		for range 10 {
			if id := chosen(b, Request{Service: "s"}); id != "life-1" {
				t.Fatal("a full runner gets more at once")
			}
		}
		time.Sleep(2 * rejectionTTL)
		sendTo(b, "life-1", Request{Service: "s"})
		if id := chosen(b, Request{Service: "s"}); id != "life-0" {
			t.Error("a runner that was full is never asked again")
		}
	})
}

// A runner that served a request before is not sent it again, and one without the model never.
func TestTriedAndModels(t *testing.T) {
	list := readyRunners(2)
	list[0].Models = []routing.RunnerModel{{Name: "m"}}
	list[1].Models = []routing.RunnerModel{{Name: "n"}}
	b := balancerOf(list)
	for range 10 {
		if id := chosen(b, Request{Service: "s", Model: "m"}); id != "life-0" {
			t.Fatalf("%q is chosen for a model that it does not serve", id)
		}
	}
	if id := chosen(b, Request{Service: "s", Model: "m", Tried: map[int]bool{0: true}}); id != "" {
		t.Errorf("%q is chosen again", id)
	}
}

// A runner that comes takes sessions over from others, one that goes leaves its own to others; no session
// moves between two runners that stay.
func TestChangesMoveOnlyWhatTheyMust(t *testing.T) {
	few, many := readyRunners(6), readyRunners(7)
	moved := 0
	for key := range uint64(300) {
		before, after := chosen(balancerOf(few), sessionOf(key+1)), chosen(balancerOf(many), sessionOf(key+1))
		if before != after {
			moved++
			if after != "life-6" {
				t.Fatalf("session %d moves from %s to %s, which were there before and after", key, before, after)
			}
		}
	}
	if moved < 300/7/2 || moved > 300/7*2 {
		t.Errorf("%d of 300 sessions move to the seventh runner", moved)
	}
}

// What a runner is known by stays with it when the list is told anew; what has left is forgotten.
func TestUpdateKeepsWhatIsKnown(t *testing.T) {
	list := readyRunners(3)
	b := balancerOf(list)
	known := b.Runners("s")[1]
	b.Update([]routing.Runner{list[1], list[2]})
	if got := b.Runners("s"); len(got) != 2 || got[0] != known {
		t.Error("a runner that stays is made anew")
	}
	b.Update([]routing.Runner{list[2]})
	b.Update(list)
	if got := b.Runners("s"); got[1] == known || got[1].Index == known.Index {
		t.Error("a runner that comes back has the index of its old life")
	}
}

// Many requests, updates and reports at once; the race detector looks on.
func TestBalancerAtOnce(t *testing.T) {
	b := balancerOf(readyRunners(5))
	var all sync.WaitGroup
	for worker := range 8 {
		all.Go(func() {
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
	all.Go(func() {
		for i := range 200 {
			b.Update(readyRunners(3 + i%4))
			b.Estimates("s", "")
			b.Tally()
			b.SetFailureRates(map[string]float64{"life-1": float64(i%2) / 2})
		}
	})
	all.Wait()
	for _, runner := range b.Runners("s") {
		if len(runner.inFlight) != 0 || runner.pendingPromptTokens != 0 {
			t.Errorf("%s: %d requests and %d tokens stay counted", runner.info.ID, len(runner.inFlight), runner.pendingPromptTokens)
		}
	}
}
