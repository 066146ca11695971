package balance

import (
	"fmt"
	"sync"
	"testing"

	"yarrowridge/internal/model/routing"
)

// sessionFleet is some routers' balancers before the same runners.
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

func (f *sessionFleet) update() {
	for _, router := range f.routers {
		router.Update(f.runners)
	}
}

// add adds a runner and lets the routers look for sessions whose home it has become.
func (f *sessionFleet) add(id string) {
	f.runners = append(f.runners, routing.Runner{ID: id, Service: "s", State: routing.RunnerReady, Zone: "east"})
	f.update()
	f.spread()
}

func (f *sessionFleet) state(id string, state routing.RunnerState) {
	for i := range f.runners {
		if f.runners[i].ID == id {
			f.runners[i].State = state
		}
	}
	f.update()
	f.spread()
}

// spread has all routers tell each other what is new.
func (f *sessionFleet) spread() {
	for _, from := range f.routers {
		from.RefreshAffinity()
		told := from.Sessions.DrainUpdates()
		for _, to := range f.routers {
			to.Sessions.Merge(told)
		}
	}
}

func sessionRequest(number int) Request {
	return Request{Service: "s", Parts: []PromptPart{{ID: uint64(number)*7919 + 1, Tokens: 3000}, {ID: uint64(number)<<32 + 5, Tokens: 100}}, Input: 3100}
}

// ask sends one request of a session through a router and tells which runner served it.
func ask(b *Balancer, request Request) string {
	attempt := b.Choose(request)
	attempt.Progress()
	attempt.Done()
	return attempt.Runner().Info().ID
}

// serve sends one request of each session through the first router and notes who served it.
func (f *sessionFleet) serve(count int) []string {
	served := make([]string, count)
	for number := range count {
		served[number] = ask(f.routers[0], sessionRequest(number))
	}
	return served
}

// moved counts the sessions that a router sends elsewhere than to the runner that serves them.
func (f *sessionFleet) moved(router int, served []string) int {
	moved := 0
	for number, runner := range served {
		if ask(f.routers[router], sessionRequest(number)) != runner {
			moved++
		}
	}
	return moved
}

// readAgain counts the sessions that a router sends to a runner that does not keep them: one of neither list.
func (f *sessionFleet) readAgain(router int, before, served []string) int {
	read := 0
	for number, runner := range served {
		id := ask(f.routers[router], sessionRequest(number))
		if id != runner && (before == nil || id != before[number]) {
			read++
		}
	}
	return read
}

// Where nothing deviates nothing is kept or told, and all routers choose alike.
func TestSessionsAtTheirTargetAreNotAnnounced(t *testing.T) {
	f := newSessionFleet(t, 2, "a", "b", "c", "d")
	served := f.serve(200)
	if moved := f.moved(1, served); moved > 0 {
		t.Errorf("%d sessions were moved by another router", moved)
	}
	f.spread()
	if f.routers[0].Sessions.Len()+f.routers[1].Sessions.Len() > 0 {
		t.Error("entries were made though every router works out the holders")
	}
}

// A runner that is added takes no session away from its holder, at whichever router the session goes on.
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
		t.Errorf("%d entries, about a fifth of 200 sessions expected", entries)
	}
	fresh := 0
	for number := range 200 {
		if ask(f.routers[1], sessionRequest(1000+number)) == "e" {
			fresh++
		}
	}
	if fresh < 15 {
		t.Errorf("the new runner got %d of 200 new sessions", fresh)
	}
}

// Before the routers have told each other, the one that served a session does not follow its home away either.
func TestAddedRunnerBeforeAnyAnnouncement(t *testing.T) {
	f := newSessionFleet(t, 1, "a", "b", "c", "d")
	served := f.serve(200)
	f.runners = append(f.runners, routing.Runner{ID: "e", Service: "s", State: routing.RunnerReady, Zone: "east"})
	f.update()
	if moved := f.moved(0, served); moved > 0 {
		t.Errorf("%d sessions moved", moved)
	}
}

// Sessions of a runner that falls silent go to their next home. When it is heard again they go on at a runner
// that keeps them; where it comes back under a new id, which keeps nothing, they stay where they are.
func TestRunnerThatComesBack(t *testing.T) {
	for _, back := range []string{"a", "a2"} {
		f := newSessionFleet(t, 3, "a", "b", "c", "d")
		before := f.serve(200)
		f.state("a", routing.RunnerSilent)
		served := f.serve(200)
		if back == "a2" {
			before = nil // what the runner kept went with it
		}
		for _, runner := range served {
			if runner == "a" {
				t.Fatal("a silent runner was chosen")
			}
		}
		if back == "a" {
			f.state("a", routing.RunnerReady)
		} else {
			f.state("a", routing.RunnerGone)
			f.add(back)
		}
		for router := range f.routers {
			if read := f.readAgain(router, before, served); read > 0 {
				t.Errorf("%s: router %d has %d sessions read again", back, router, read)
			}
		}
	}
}

// A session that had to leave its home is known by all routers to be at its new runner, also once the old one
// serves again.
func TestSessionThatLeftItsTarget(t *testing.T) {
	f := newSessionFleet(t, 3, "a", "b", "c", "d")
	home := ask(f.routers[0], sessionRequest(1))
	for _, runner := range f.routers[0].Runners("s") {
		if runner.Info().ID == home {
			runner.begin(0, runner.firstSeen).Failed()
		}
	}
	second := ask(f.routers[0], sessionRequest(1))
	if second == home {
		t.Fatal("a runner that failed just now was chosen")
	}
	f.spread()
	entry, _ := f.routers[2].Sessions.Lookup(f.routers[2].sessionRefFor(ptr(sessionRequest(1)), sessionRequest(1).Parts[0].ID, 3000).id)
	if len(entry.Runners) != 2 || entry.Runners[0] != second || entry.Runners[1] != home {
		t.Errorf("held by %v, by %s and %s expected", entry.Runners, second, home)
	}
	for i := range 20 {
		if id := ask(f.routers[i%3], sessionRequest(1)); id != second && id != home {
			t.Errorf("sent to %s, which does not hold it", id)
		}
	}
	f.state(home, routing.RunnerGone)
	for _, router := range f.routers {
		if id := ask(router, sessionRequest(1)); id != second {
			t.Errorf("sent to %s, %s holds it", id, second)
		}
	}
}

func ptr(request Request) *Request { return &request }

// A new router that has fetched the directory goes on as the others do.
func TestRouterThatStarts(t *testing.T) {
	f := newSessionFleet(t, 1, "a", "b", "c", "d")
	served := f.serve(200)
	f.add("e")
	fresh := New("east")
	fresh.Update(f.runners)
	fresh.Sessions.Merge(f.routers[0].Sessions.Newest(maxDirectorySessions))
	f.routers = append(f.routers, fresh)
	if moved := f.moved(1, served); moved > 0 {
		t.Errorf("%d sessions moved", moved)
	}
}

// What a request was tried at is never chosen again for it, whatever the directory says.
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

// A session in use at many runners at once does not become news all the time.
func TestNoFlapping(t *testing.T) {
	f := newSessionFleet(t, 2, "a", "b", "c", "d")
	told := 0
	for i := range 100 {
		ref := f.routers[i%2].sessionRefFor(ptr(sessionRequest(1)), sessionRequest(1).Parts[0].ID, 3000)
		f.routers[i%2].recordSessionRunner(&ref, []string{"a", "b", "c", "d"}[i%4])
		for from := range f.routers {
			entries := f.routers[from].Sessions.DrainUpdates()
			told += len(entries)
			f.routers[1-from].Sessions.Merge(entries)
		}
	}
	if told > 4 {
		t.Errorf("%d entries were told", told)
	}
}

func TestSmallContextsAreNoSessions(t *testing.T) {
	b := New("east")
	for _, request := range []Request{{}, {Parts: []PromptPart{{ID: 1, Tokens: 5000}}}, {Parts: []PromptPart{{ID: 1, Tokens: 20}, {ID: 2, Tokens: 5000}}}} {
		key, shared := affinity(request.Parts)
		if ref := b.sessionRefFor(&request, key, shared); ref.id != 0 {
			t.Errorf("%v is taken for a session", request)
		}
	}
}

func TestRecentSessionsAreBounded(t *testing.T) {
	r := newRecentSessions(10)
	for id := range uint64(100) {
		r.record(id, recentSession{runner: "a"})
		r.record(0, recentSession{runner: fmt.Sprint(id)})
	}
	if len(r.all()) != 10 || len(r.entries) != 10 {
		t.Errorf("%d sessions", len(r.all()))
	}
	if kept, _ := r.get(0); kept.runner != "99" {
		t.Errorf("the session in use has holder %q", kept.runner)
	}
}

// Many requests, runners that come and go, and news from others at the same time.
func TestSessionsInParallel(t *testing.T) {
	f := newSessionFleet(t, 2, "a", "b", "c", "d")
	var group sync.WaitGroup
	for worker := range 4 {
		group.Go(func() {
			for i := range 300 {
				ask(f.routers[worker%2], sessionRequest(i%50))
			}
		})
	}
	group.Go(func() {
		for i := range 50 {
			f.state("a", []routing.RunnerState{routing.RunnerReady, routing.RunnerSilent}[i%2])
			f.add(fmt.Sprint("new ", i))
		}
	})
	group.Wait()
}
