package balance

import (
	"fmt"
	"sync"
	"testing"

	"yarrowridge/internal/model/routing"
)

// sessionFleet is a set of routers' balancers with the same list of runners.
type sessionFleet struct {
	*testing.T
	routers []*Balancer
	runners []routing.Runner
}

func newSessionFleet(t *testing.T, routers int, runners ...string) *sessionFleet {
	f := &sessionFleet{T: t}
	for range routers {
		f.routers = append(f.routers, New("east"))
	}
	for _, id := range runners {
		f.runners = append(f.runners, routing.Runner{ID: id, Service: "s", State: routing.RunnerReady, Zone: "east"})
	}
	f.update()
	return f
}

// update sends the list of runners to all routers.
func (f *sessionFleet) update() {
	for _, router := range f.routers {
		router.Update(f.runners)
	}
}

// add adds a runner, refreshes the affinity and synchronizes the directories.
func (f *sessionFleet) add(id string) {
	f.runners = append(f.runners, routing.Runner{ID: id, Service: "s", State: routing.RunnerReady, Zone: "east"})
	f.update()
	f.syncDirectories()
}

// setState changes the state of a runner and synchronizes the directories.
func (f *sessionFleet) setState(id string, state routing.RunnerState) {
	for i := range f.runners {
		if f.runners[i].ID == id {
			f.runners[i].State = state
		}
	}
	f.update()
	f.syncDirectories()
}

// syncDirectories sends the directory updates of each router to all others.
func (f *sessionFleet) syncDirectories() {
	for _, from := range f.routers {
		from.RefreshAffinity()
		sent := from.Sessions.DrainUpdates()
		for _, to := range f.routers {
			to.Sessions.Merge(sent)
		}
	}
}

func sessionRequest(number int) Request {
	return Request{Service: "s", Parts: []PromptPart{{ID: uint64(number)*7919 + 1, Tokens: 3000}, {ID: uint64(number)<<32 + 5, Tokens: 100}}, Input: 3100}
}

// serveOnce sends one request through a router and returns the runner that served it.
func serveOnce(b *Balancer, request Request) string {
	attempt := b.Choose(request)
	attempt.Progress()
	attempt.Done()
	return attempt.Runner().Info().ID
}

// serve sends one request of each session through the first router and returns the runners that served them.
func (f *sessionFleet) serve(count int) []string {
	served := make([]string, count)
	for number := range count {
		served[number] = serveOnce(f.routers[0], sessionRequest(number))
	}
	return served
}

// moved counts the sessions that a router sends to another runner than the one in served.
func (f *sessionFleet) moved(router int, served []string) int {
	moved := 0
	for number, runner := range served {
		if serveOnce(f.routers[router], sessionRequest(number)) != runner {
			moved++
		}
	}
	return moved
}

// prefilledAgain counts the sessions that a router sends to a runner in neither list, which has to prefill their
// context.
func (f *sessionFleet) prefilledAgain(router int, before, served []string) int {
	count := 0
	for number, runner := range served {
		id := serveOnce(f.routers[router], sessionRequest(number))
		if id != runner && (before == nil || id != before[number]) {
			count++
		}
	}
	return count
}

// While all sessions are at their affinity target, the directories stay empty and all routers choose alike.
func TestSessionsAtTheirTargetAreNotAnnounced(t *testing.T) {
	f := newSessionFleet(t, 2, "a", "b", "c", "d")
	served := f.serve(200)
	if moved := f.moved(1, served); moved > 0 {
		t.Errorf("another router moved %d sessions", moved)
	}
	f.syncDirectories()
	if f.routers[0].Sessions.Len()+f.routers[1].Sessions.Len() > 0 {
		t.Error("directory entries exist for sessions at their affinity target")
	}
}

// An added runner takes no session away from its runner, whichever router serves the next request.
func TestAddedRunnerTakesNoSession(t *testing.T) {
	f := newSessionFleet(t, 3, "a", "b", "c", "d")
	served := f.serve(200)
	f.add("e")
	for router := range f.routers {
		if moved := f.moved(router, served); moved > 0 {
			t.Errorf("router %d moved %d sessions", router, moved)
		}
	}
	entries := f.routers[2].Sessions.Len()
	if entries == 0 || entries > 80 {
		t.Errorf("got %d entries, want about a fifth of 200 sessions", entries)
	}
	newSessions := 0
	for number := range 200 {
		if serveOnce(f.routers[1], sessionRequest(1000+number)) == "e" {
			newSessions++
		}
	}
	if newSessions < 15 {
		t.Errorf("the added runner got %d of 200 new sessions, want at least 15", newSessions)
	}
}

// A router keeps the sessions that it served at their runner even before any directory update is sent.
func TestAddedRunnerBeforeAnyAnnouncement(t *testing.T) {
	f := newSessionFleet(t, 1, "a", "b", "c", "d")
	served := f.serve(200)
	f.runners = append(f.runners, routing.Runner{ID: "e", Service: "s", State: routing.RunnerReady, Zone: "east"})
	f.update()
	if moved := f.moved(0, served); moved > 0 {
		t.Errorf("%d sessions moved", moved)
	}
}

// Sessions of a runner whose heartbeats stop move to their next affinity target. When the runner returns, they go to a
// runner that has them cached; if it returns under a new ID, with an empty cache, they stay where they are.
func TestRunnerReturns(t *testing.T) {
	for _, returnedID := range []string{"a", "a2"} {
		f := newSessionFleet(t, 3, "a", "b", "c", "d")
		before := f.serve(200)
		f.setState("a", routing.RunnerTimedOut)
		served := f.serve(200)
		if returnedID == "a2" {
			before = nil // its cache is lost
		}
		for _, runner := range served {
			if runner == "a" {
				t.Fatal("a runner without heartbeats was chosen")
			}
		}
		if returnedID == "a" {
			f.setState("a", routing.RunnerReady)
		} else {
			f.setState("a", routing.RunnerGone)
			f.add(returnedID)
		}
		for router := range f.routers {
			if count := f.prefilledAgain(router, before, served); count > 0 {
				t.Errorf("%s: router %d has %d sessions prefilled again", returnedID, router, count)
			}
		}
	}
}

// After a session had to leave its affinity target, all routers know its new runner, even when the old one serves
// again.
func TestSessionThatLeftItsTarget(t *testing.T) {
	f := newSessionFleet(t, 3, "a", "b", "c", "d")
	home := serveOnce(f.routers[0], sessionRequest(1))
	for _, runner := range f.routers[0].Runners("s") {
		if runner.Info().ID == home {
			runner.begin(0, runner.firstSeen).Failed()
		}
	}
	second := serveOnce(f.routers[0], sessionRequest(1))
	if second == home {
		t.Fatal("a runner that has just failed was chosen")
	}
	f.syncDirectories()
	entry, _ := f.routers[2].Sessions.Lookup(f.routers[2].sessionRefFor(ptr(sessionRequest(1)), sessionRequest(1).Parts[0].ID, 3000).id)
	if len(entry.Runners) != 2 || entry.Runners[0] != second || entry.Runners[1] != home {
		t.Errorf("entry lists runners %v, want %s and %s", entry.Runners, second, home)
	}
	for i := range 20 {
		if id := serveOnce(f.routers[i%3], sessionRequest(1)); id != second && id != home {
			t.Errorf("sent to %s, which does not have the session cached", id)
		}
	}
	f.setState(home, routing.RunnerGone)
	for _, router := range f.routers {
		if id := serveOnce(router, sessionRequest(1)); id != second {
			t.Errorf("sent to %s, want %s, which has the session cached", id, second)
		}
	}
}

func ptr(request Request) *Request { return &request }

// A new router that has fetched the directory sends sessions where the other routers do.
func TestNewRouterWithFetchedDirectory(t *testing.T) {
	f := newSessionFleet(t, 1, "a", "b", "c", "d")
	served := f.serve(200)
	f.add("e")
	newRouter := New("east")
	newRouter.Update(f.runners)
	newRouter.Sessions.Merge(f.routers[0].Sessions.MostRecentlyUsed(maxDirectorySessions))
	f.routers = append(f.routers, newRouter)
	if moved := f.moved(1, served); moved > 0 {
		t.Errorf("%d sessions moved", moved)
	}
}

// A runner that was tried for a request is not chosen for it again, even if the directory lists it for the session.
func TestTriedRunnerIsNotChosenAgain(t *testing.T) {
	f := newSessionFleet(t, 1, "a", "b")
	b, request := f.routers[0], sessionRequest(1)
	b.Sessions.Record(b.sessionRefFor(&request, request.Parts[0].ID, 3000).id, "a", "b")
	request.Tried = map[int]bool{}
	for range 2 {
		attempt := b.Choose(request)
		if request.Tried[attempt.Runner().Index] {
			t.Fatal("chosen again")
		}
		request.Tried[attempt.Runner().Index] = true
		attempt.Rejected()
	}
	if attempt := b.Choose(request); attempt != nil {
		t.Errorf("%s was chosen a second time", attempt.Runner().Info().ID)
	}
}

// A session in use at many runners at once does not cause constant directory updates.
func TestBusySessionCausesFewUpdates(t *testing.T) {
	f := newSessionFleet(t, 2, "a", "b", "c", "d")
	sent := 0
	for i := range 100 {
		ref := f.routers[i%2].sessionRefFor(ptr(sessionRequest(1)), sessionRequest(1).Parts[0].ID, 3000)
		f.routers[i%2].recordSessionRunner(&ref, []string{"a", "b", "c", "d"}[i%4])
		for from := range f.routers {
			entries := f.routers[from].Sessions.DrainUpdates()
			sent += len(entries)
			f.routers[1-from].Sessions.Merge(entries)
		}
	}
	if sent > 4 {
		t.Errorf("%d directory updates were sent, want at most 4", sent)
	}
}

// Requests with few shared tokens or without a shared prefix get no session.
func TestSmallContextsAreNoSessions(t *testing.T) {
	b := New("east")
	for _, request := range []Request{{}, {Parts: []PromptPart{{ID: 1, Tokens: 5000}}}, {Parts: []PromptPart{{ID: 1, Tokens: 20}, {ID: 2, Tokens: 5000}}}} {
		key, shared := affinity(request.Parts)
		if ref := b.sessionRefFor(&request, key, shared); ref.id != 0 {
			t.Errorf("%v was treated as part of a session", request)
		}
	}
}

// The set evicts the least recently served sessions and keeps one that is in constant use.
func TestRecentSessionsAreBounded(t *testing.T) {
	r := newRecentSessions(10)
	for id := range uint64(100) {
		r.record(id, recentSession{runner: "a"})
		r.record(0, recentSession{runner: fmt.Sprint(id)})
	}
	if len(r.all()) != 10 || len(r.entries) != 10 {
		t.Errorf("got %d sessions, want 10", len(r.all()))
	}
	if latest, _ := r.get(0); latest.runner != "99" {
		t.Errorf("the session in use has runner %q, want 99", latest.runner)
	}
}

// Concurrent requests, runner changes and directory updates, for the race detector.
func TestSessionsInParallel(t *testing.T) {
	f := newSessionFleet(t, 2, "a", "b", "c", "d")
	var group sync.WaitGroup
	for worker := range 4 {
		group.Go(func() {
			for i := range 300 {
				serveOnce(f.routers[worker%2], sessionRequest(i%50))
			}
		})
	}
	group.Go(func() {
		for i := range 50 {
			f.setState("a", []routing.RunnerState{routing.RunnerReady, routing.RunnerTimedOut}[i%2])
			f.add(fmt.Sprint("new ", i))
		}
	})
	group.Wait()
}
