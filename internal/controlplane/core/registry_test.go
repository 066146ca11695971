package core

import (
	"fmt"
	"testing"
	"time"

	"yarrowridge/internal/controlplane/coreapi"
	"yarrowridge/internal/model/routing"
	"yarrowridge/internal/transport/dissemination"
	"yarrowridge/internal/transport/wire"
)

// registryAt is a registry whose time the test sets.
type registryAt struct {
	*RunnerRegistry
	now       time.Time
	announced int
	push      chan struct{} // under way until it is closed
}

func newRegistryAt() *registryAt {
	r := &registryAt{now: time.Unix(1000, 0)}
	r.RunnerRegistry = NewRunnerRegistry(4*time.Second, func(routing.Runner) <-chan struct{} {
		r.announced++
		r.push = make(chan struct{})
		return r.push
	})
	r.Begin(1, r.now, r.now, nil)
	return r
}

// beat reports whether the heartbeat was announced to routers.
func (r *registryAt) beat(id string, version uint64, state routing.RunnerState) bool {
	before := r.announced
	r.Heartbeat(routing.Runner{ID: id, Address: id + ":1", State: state, Sequence: version, Slots: 4}, r.now)
	return r.announced > before
}

func (r *registryAt) tell(epoch, version uint64) *coreapi.HeartbeatResponse {
	var response coreapi.HeartbeatResponse
	r.Tell(&coreapi.HeartbeatRequest{RunnersWanted: true, RunnersEpoch: epoch, RunnersVersion: version}, &response, r.now)
	return &response
}

func (r *registryAt) state(id string) routing.RunnerState {
	for _, runner := range r.List(r.now) {
		if runner.ID == id {
			return runner.State
		}
	}
	return ""
}

// A heartbeat that overtook another is not undone by it, and a repeated one changes nothing.
func TestLateHeartbeatChangesNothing(t *testing.T) {
	r := newRegistryAt()
	if !r.beat("a", 5, routing.RunnerReady) {
		t.Error("a new runner is not urgent")
	}
	if !r.beat("a", 9, routing.RunnerDraining) {
		t.Error("draining is not urgent")
	}
	before := r.tell(1, 1).RunnersVersion
	if r.beat("a", 8, routing.RunnerReady) || r.beat("a", 9, routing.RunnerReady) {
		t.Error("a late heartbeat is urgent")
	}
	if got := r.state("a"); got != routing.RunnerDraining {
		t.Errorf("a is %s after a late heartbeat", got)
	}
	if after := r.tell(1, 1).RunnersVersion; after != before {
		t.Errorf("the version went from %d to %d", before, after)
	}
}

// A heartbeat that repeats a change is not acknowledged before routers were told of the change.
func TestRepeatWaitsForTheChange(t *testing.T) {
	r := newRegistryAt()
	r.beat("a", 1, routing.RunnerReady)
	close(r.push)
	r.beat("a", 2, routing.RunnerDraining)
	word := routing.Runner{ID: "a", Address: "a:1", State: routing.RunnerDraining, Sequence: 3, Slots: 4}
	later, again := r.Heartbeat(word, r.now), r.Heartbeat(word, r.now)
	for _, told := range []<-chan struct{}{later, again} {
		select {
		case <-told:
			t.Error("acknowledged before the change was pushed")
		default:
		}
	}
	close(r.push)
	<-later
	<-again
}

// The version goes up with what routers must know, and not with every heartbeat.
func TestVersionCountsChanges(t *testing.T) {
	r := newRegistryAt()
	runner := routing.Runner{ID: "a", State: routing.RunnerReady, WarmupLeftMs: 900, Slots: 4, Sequence: 1}
	for _, step := range []struct {
		what    string
		change  func()
		counted bool
	}{
		{"a new runner", func() {}, true},
		{"nothing", func() {}, false},
		{"less warm-up left", func() { runner.WarmupLeftMs = 400 }, false},
		{"warm-up ended", func() { runner.WarmupLeftMs = 0 }, true},
		{"slots", func() { runner.Slots = 8 }, true},
		{"address", func() { runner.Address = "10.0.0.9:1" }, true},
		{"service", func() { runner.Service = "s" }, true},
		{"models", func() { runner.Models = []routing.RunnerModel{{Name: "m", Revision: 1}} }, true},
		{"state", func() { runner.State = routing.RunnerDraining }, true},
		{"nothing again", func() {}, false},
	} {
		before := r.version
		step.change()
		runner.Sequence++
		r.Heartbeat(runner, r.now)
		if got := r.version > before; got != step.counted {
			t.Errorf("%s: counted %v", step.what, got)
		}
	}
}

// A runner unheard for the span is silent, is back with its next heartbeat, and is forgotten after a minute.
func TestSilenceAndReturn(t *testing.T) {
	r := newRegistryAt()
	r.beat("a", 1, routing.RunnerReady)
	r.beat("b", 1, routing.RunnerDraining)
	seen := r.tell(1, 0).RunnersVersion
	r.now = r.now.Add(4 * time.Second)
	if got := r.state("a"); got != routing.RunnerReady {
		t.Errorf("a is %s after just the span", got)
	}
	r.now = r.now.Add(200 * time.Millisecond)
	response := r.tell(1, seen)
	if len(response.Runners) != 2 || response.Runners[0].State != routing.RunnerSilent || response.Runners[1].State != routing.RunnerSilent {
		t.Errorf("told %+v", response.Runners)
	}
	if r.beat("a", 1, routing.RunnerReady); r.state("a") != routing.RunnerSilent {
		t.Error("a repeated heartbeat ended the silence")
	}
	if !r.beat("a", 2, routing.RunnerReady) {
		t.Error("a return is not urgent")
	}
	if got := r.state("a"); got != routing.RunnerReady {
		t.Errorf("a is %s after its return", got)
	}
	r.now = r.now.Add(56 * time.Second)
	if got := r.state("b"); got != "" {
		t.Errorf("b is %s a minute after its last heartbeat", got)
	}
	if got := r.state("a"); got != routing.RunnerSilent {
		t.Errorf("a is %q 56 s after its last heartbeat", got)
	}
}

// A runner that has left stays gone, whatever heartbeat of its life comes later.
func TestGoneIsFinal(t *testing.T) {
	r := newRegistryAt()
	r.beat("a", 1, routing.RunnerReady)
	if !r.beat("a", 2, routing.RunnerGone) {
		t.Error("leaving is not urgent")
	}
	if r.beat("a", 3, routing.RunnerReady); r.state("a") != routing.RunnerGone {
		t.Error("a came back")
	}
	r.now = r.now.Add(30 * time.Second)
	if got := r.state("a"); got != routing.RunnerGone {
		t.Errorf("a is %q half a minute later", got)
	}
	if !r.beat("b", 1, routing.RunnerGone) || r.state("b") != routing.RunnerGone {
		t.Error("an unknown runner that leaves is not noted")
	}
}

// Another epoch begins an empty registry and sends all of it; within one, what changed.
func TestEpochBeginsAnew(t *testing.T) {
	r := newRegistryAt()
	r.now = r.now.Add(registrySettleAfter)
	for i := range 5 {
		r.beat(fmt.Sprint("r", i), 1, routing.RunnerReady)
	}
	response := r.tell(0, 0)
	if len(response.Runners) != 5 || !response.RunnersComplete {
		t.Errorf("a router without any gets %d, whole %v", len(response.Runners), response.RunnersComplete)
	}
	r.beat("r3", 2, routing.RunnerDraining)
	response = r.tell(response.RunnersEpoch, response.RunnersVersion)
	if len(response.Runners) != 1 || response.Runners[0].ID != "r3" || response.RunnersComplete {
		t.Errorf("one change told as %+v, whole %v", response.Runners, response.RunnersComplete)
	}
	r.Begin(2, r.now, r.now, nil)
	r.beat("r1", 7, routing.RunnerReady)
	// The router's version is above the new epoch's: the epoch counts.
	next := r.tell(response.RunnersEpoch, response.RunnersVersion)
	if next.RunnersEpoch == response.RunnersEpoch || len(next.Runners) != 1 || next.RunnersComplete {
		t.Errorf("a new primary told %+v", next)
	}
	var none coreapi.HeartbeatResponse
	r.Tell(&coreapi.HeartbeatRequest{}, &none, r.now)
	if none.RunnersEpoch != 0 || none.Runners != nil {
		t.Errorf("a router that keeps no registry was told %+v", none)
	}
	if registryEpoch(7, 1) == registryEpoch(7, 2) {
		t.Error("two runs of a primary share an epoch")
	}
}

// Only a list sent five seconds into the primary's time is whole, and a router that had one before gets it.
func TestWholeListRule(t *testing.T) {
	r := newRegistryAt()
	r.beat("a", 1, routing.RunnerReady)
	early := r.tell(0, 0)
	if early.RunnersComplete || len(early.Runners) != 1 {
		t.Errorf("an early list is whole %v with %d", early.RunnersComplete, len(early.Runners))
	}
	r.now = r.now.Add(registrySettleAfter - time.Millisecond)
	r.beat("a", 2, routing.RunnerReady)
	if response := r.tell(early.RunnersEpoch, early.RunnersVersion); response.RunnersComplete || len(response.Runners) > 0 {
		t.Errorf("told %+v before the span was over", response)
	}
	r.now = r.now.Add(time.Millisecond)
	whole := r.tell(early.RunnersEpoch, early.RunnersVersion)
	if !whole.RunnersComplete || len(whole.Runners) != 1 {
		t.Errorf("after the span: whole %v with %d", whole.RunnersComplete, len(whole.Runners))
	}
	if response := r.tell(whole.RunnersEpoch, whole.RunnersVersion); response.RunnersComplete || len(response.Runners) > 0 {
		t.Errorf("the whole list came twice: %+v", response)
	}
}

// A primary whose view changed, but who led all the time, goes on with what it knows. Nobody is silent for
// what it did not hear meanwhile, and one that was silent before stays so.
func TestPauseOfThePrimary(t *testing.T) {
	r := newRegistryAt()
	led := r.now
	r.beat("silent", 1, routing.RunnerReady)
	r.now = r.now.Add(registrySettleAfter)
	r.beat("a", 1, routing.RunnerReady)
	whole := r.tell(0, 0)
	r.now = r.now.Add(20 * time.Second)
	r.Begin(3, led, r.now, nil)
	if response := r.tell(whole.RunnersEpoch, whole.RunnersVersion); response.RunnersEpoch != whole.RunnersEpoch || response.RunnersComplete || len(response.Runners) > 0 {
		t.Errorf("right after a pause told %+v", response)
	}
	if a, silent := r.state("a"), r.state("silent"); a != routing.RunnerReady || silent != routing.RunnerSilent {
		t.Errorf("right after a pause: %s, %s", a, silent)
	}
	r.now = r.now.Add(runnerGrace + 200*time.Millisecond)
	if got := r.state("a"); got != routing.RunnerSilent {
		t.Errorf("a is %s though it was not heard after the pause", got)
	}
}

// Changes that come together are pushed together, and each is answered after its push.
func TestChangesShareOnePush(t *testing.T) {
	var news runnerNews
	pushes := make(chan int, 100)
	push := func(records ...dissemination.Record) { pushes <- len(records) }
	var waits []<-chan struct{}
	for range 50 {
		waits = append(waits, news.add(dissemination.Record{}, push))
	}
	for _, wait := range waits {
		<-wait
	}
	sum := 0
	for len(pushes) > 0 {
		sum += <-pushes
	}
	if sum != 50 {
		t.Errorf("%d of 50 records pushed", sum)
	}
}

// The wire's limits have room for what a primary tells and pushes.
func TestRegistryFitsAFrame(t *testing.T) {
	r := newRegistryAt()
	for i := range 10_000 {
		r.Heartbeat(routing.Runner{ID: fmt.Sprintf("runner-%032d", i), Address: "10.100.100.100:10000", Zone: "zone", Service: "service-name", State: routing.RunnerReady, Sequence: 1}, r.now)
	}
	response := r.tell(0, 0)
	if size := response.Msgsize(); size > wire.MaxFrameBytes {
		t.Errorf("ten thousand runners take %d bytes, a frame %d", size, wire.MaxFrameBytes)
	}
}

// A router that asks for a whole list gets none where it has exactly that, and all once anything differs.
func TestEqualListIsNotSent(t *testing.T) {
	r := newRegistryAt()
	r.beat("a", 1, routing.RunnerReady)
	r.beat("b", 1, routing.RunnerReady)
	r.now = r.now.Add(registrySettleAfter)
	r.beat("a", 2, routing.RunnerReady)
	r.beat("b", 2, routing.RunnerReady)
	ask := func(epoch uint64, runners []routing.Runner) *coreapi.HeartbeatResponse {
		var response coreapi.HeartbeatResponse
		request := coreapi.HeartbeatRequest{RunnersWanted: true, RunnersEpoch: epoch}
		for _, runner := range runners {
			request.RunnersDigest ^= runner.Digest()
		}
		r.Tell(&request, &response, r.now)
		return &response
	}
	has := r.tell(0, 0).Runners
	if response := ask(1, has); len(response.Runners) > 0 || response.RunnersComplete || response.RunnersEpoch != 1 || response.RunnersVersion == 0 {
		t.Errorf("an equal list: %+v", response)
	}
	r.beat("a", 3, routing.RunnerReady) // a heartbeat alone is nothing that routers must know
	if response := ask(1, has); len(response.Runners) > 0 {
		t.Errorf("after a heartbeat that says the same: %+v", response)
	}
	for name, response := range map[string]*coreapi.HeartbeatResponse{"another primary's list": ask(7, has), "one runner less": ask(1, has[:1]), "none": ask(1, nil)} {
		if len(response.Runners) != 2 || !response.RunnersComplete {
			t.Errorf("%s: %+v", name, response)
		}
	}
	r.beat("a", 4, routing.RunnerDraining)
	if response := ask(1, has); len(response.Runners) != 2 || !response.RunnersComplete {
		t.Errorf("after a change of state: %+v", response)
	}
	has = r.tell(0, 0).Runners
	r.beat("a", 5, routing.RunnerDraining)
	r.now = r.now.Add(runnerForgetAfter + time.Second)
	r.beat("a", 6, routing.RunnerDraining)
	if response := ask(1, has); len(response.Runners) != 1 || !response.RunnersComplete {
		t.Errorf("after a runner was forgotten: %+v", response)
	}
}
