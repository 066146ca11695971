package runnerregistry

import (
	"fmt"
	"testing"
	"time"

	"yarrowridge/internal/controlplane/coreapi"
	"yarrowridge/internal/model/routing"
	"yarrowridge/internal/transport/wire"
)

// testRegistry is a registry with a clock set by the test.
type testRegistry struct {
	*Registry
	now           time.Time
	notifications int
	push          chan struct{} // for the last change; closed by the test when the push has ended
}

// newTestRegistry returns a registry in epoch 1 whose runners time out after four seconds.
func newTestRegistry() *testRegistry {
	r := &testRegistry{now: time.Unix(1000, 0)}
	r.Registry = New(4*time.Second, func(routing.Runner) <-chan struct{} {
		r.notifications++
		r.push = make(chan struct{})
		return r.push
	})
	r.StartEpoch(1, r.now, r.now, nil)
	return r
}

// heartbeat records a heartbeat and reports whether it led to a notification of the routers.
func (r *testRegistry) heartbeat(id string, sequence uint64, state routing.RunnerState) bool {
	before := r.notifications
	r.RecordHeartbeat(routing.Runner{ID: id, Address: id + ":1", State: state, Sequence: sequence, Slots: 4}, r.now)
	return r.notifications > before
}

// response returns the response to a router that has this version of this epoch.
func (r *testRegistry) response(epoch, version uint64) *coreapi.HeartbeatResponse {
	var response coreapi.HeartbeatResponse
	r.FillResponse(&coreapi.HeartbeatRequest{RunnersWanted: true, RunnersEpoch: epoch, RunnersVersion: version}, &response, r.now)
	return &response
}

// state returns a runner's state, or "" if the runner is not known.
func (r *testRegistry) state(id string) routing.RunnerState {
	for _, runner := range r.List(r.now) {
		if runner.ID == id {
			return runner.State
		}
	}
	return ""
}

// A heartbeat that arrives after a later one does not undo it, and a repeated heartbeat changes nothing.
func TestLateHeartbeatChangesNothing(t *testing.T) {
	r := newTestRegistry()
	if !r.heartbeat("a", 5, routing.RunnerReady) {
		t.Error("got no notification of a new runner, want one")
	}
	if !r.heartbeat("a", 9, routing.RunnerDraining) {
		t.Error("got no notification of draining, want one")
	}
	before := r.response(1, 1).RunnersVersion
	if r.heartbeat("a", 8, routing.RunnerReady) || r.heartbeat("a", 9, routing.RunnerReady) {
		t.Error("got a notification of a late heartbeat, want none")
	}
	if got := r.state("a"); got != routing.RunnerDraining {
		t.Errorf("got state %q after a late heartbeat, want %q", got, routing.RunnerDraining)
	}
	if after := r.response(1, 1).RunnersVersion; after != before {
		t.Errorf("got version %d after late heartbeats, want %d", after, before)
	}
}

// A heartbeat that repeats a change is not acknowledged before the push of that change has ended.
func TestRepeatedHeartbeatWaitsForNotification(t *testing.T) {
	r := newTestRegistry()
	r.heartbeat("a", 1, routing.RunnerReady)
	close(r.push)
	r.heartbeat("a", 2, routing.RunnerDraining)
	runner := routing.Runner{ID: "a", Address: "a:1", State: routing.RunnerDraining, Sequence: 3, Slots: 4}
	later, repeated := r.RecordHeartbeat(runner, r.now), r.RecordHeartbeat(runner, r.now)
	for _, notified := range []<-chan struct{}{later, repeated} {
		select {
		case <-notified:
			t.Error("got an acknowledgement before the change was pushed, want none")
		default:
		}
	}
	close(r.push)
	<-later
	<-repeated
}

// The version increases with every change that routers need to know about, but not with every heartbeat.
func TestVersionCountsChanges(t *testing.T) {
	r := newTestRegistry()
	runner := routing.Runner{ID: "a", State: routing.RunnerReady, WarmupLeftMs: 900, Slots: 4, Sequence: 1}
	for _, step := range []struct {
		name   string
		change func()
		want   bool
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
		r.RecordHeartbeat(runner, r.now)
		if got := r.version > before; got != step.want {
			t.Errorf("%s: got a higher version %t, want %t", step.name, got, step.want)
		}
	}
}

// A runner without a heartbeat for the timeout is timed out, is ready again with its next heartbeat, and is removed after a
// minute without one.
func TestTimeoutAndReturn(t *testing.T) {
	r := newTestRegistry()
	r.heartbeat("a", 1, routing.RunnerReady)
	r.heartbeat("b", 1, routing.RunnerDraining)
	known := r.response(1, 0).RunnersVersion
	r.now = r.now.Add(4 * time.Second)
	if got := r.state("a"); got != routing.RunnerReady {
		t.Errorf("got state %q at exactly the timeout, want %q", got, routing.RunnerReady)
	}
	r.now = r.now.Add(200 * time.Millisecond)
	response := r.response(1, known)
	if len(response.Runners) != 1 || response.Runners[0].ID != "a" || response.Runners[0].State != routing.RunnerTimedOut {
		t.Errorf("got changed runners %+v after the timeout, want a timed out", response.Runners)
	}
	if r.heartbeat("a", 1, routing.RunnerReady); r.state("a") != routing.RunnerTimedOut {
		t.Errorf("got state %q after a repeated heartbeat, want %q", r.state("a"), routing.RunnerTimedOut)
	}
	if !r.heartbeat("a", 2, routing.RunnerReady) {
		t.Error("got no notification of a return, want one")
	}
	if got := r.state("a"); got != routing.RunnerReady {
		t.Errorf("got state %q after the return, want %q", got, routing.RunnerReady)
	}
	r.now = r.now.Add(56 * time.Second)
	if got := r.state("b"); got != "" {
		t.Errorf("got state %q a minute after the last heartbeat, want the runner removed", got)
	}
	if got := r.state("a"); got != routing.RunnerTimedOut {
		t.Errorf("got state %q 56 s after the last heartbeat, want %q", got, routing.RunnerTimedOut)
	}
}

// Guards against a draining runner that gets work again because its heartbeats are cut off: it stays draining however long it is
// silent, until it is removed.
func TestSilentRunnerStaysDraining(t *testing.T) {
	r := newTestRegistry()
	r.heartbeat("a", 1, routing.RunnerReady)
	r.heartbeat("a", 2, routing.RunnerDraining)
	r.now = r.now.Add(runnerTTL)
	if got := r.state("a"); got != routing.RunnerDraining {
		t.Errorf("got state %q after a minute of silence, want %q", got, routing.RunnerDraining)
	}
	r.now = r.now.Add(time.Second)
	if got := r.state("a"); got != "" {
		t.Errorf("got state %q after more than a minute of silence, want the runner removed", got)
	}
}

// A runner that has left stays gone, even if a later heartbeat with its ID arrives.
func TestGoneIsFinal(t *testing.T) {
	r := newTestRegistry()
	r.heartbeat("a", 1, routing.RunnerReady)
	if !r.heartbeat("a", 2, routing.RunnerGone) {
		t.Error("got no notification of leaving, want one")
	}
	if r.heartbeat("a", 3, routing.RunnerReady); r.state("a") != routing.RunnerGone {
		t.Errorf("got state %q after a heartbeat of a gone runner, want %q", r.state("a"), routing.RunnerGone)
	}
	r.now = r.now.Add(30 * time.Second)
	if got := r.state("a"); got != routing.RunnerGone {
		t.Errorf("got state %q half a minute later, want %q", got, routing.RunnerGone)
	}
	if !r.heartbeat("b", 1, routing.RunnerGone) || r.state("b") != routing.RunnerGone {
		t.Error("unknown runner that leaves is not recorded as gone")
	}
}

// Within an epoch only changes are sent. A new epoch starts with an empty registry, and all of it is sent.
func TestNewEpochStartsEmpty(t *testing.T) {
	r := newTestRegistry()
	r.now = r.now.Add(warmupDuration)
	for i := range 5 {
		r.heartbeat(fmt.Sprint("r", i), 1, routing.RunnerReady)
	}
	response := r.response(0, 0)
	if len(response.Runners) != 5 || !response.RunnersComplete {
		t.Errorf("got %d runners, complete %t for a router without any, want 5, complete", len(response.Runners), response.RunnersComplete)
	}
	r.heartbeat("r3", 2, routing.RunnerDraining)
	response = r.response(response.RunnersEpoch, response.RunnersVersion)
	if len(response.Runners) != 1 || response.Runners[0].ID != "r3" || response.RunnersComplete {
		t.Errorf("got runners %+v, complete %t after one change, want r3, not complete", response.Runners, response.RunnersComplete)
	}
	r.StartEpoch(2, r.now, r.now, nil)
	r.heartbeat("r1", 7, routing.RunnerReady)
	// The router's version is above that of the new epoch: the differing epoch decides that all runners are sent.
	newEpoch := r.response(response.RunnersEpoch, response.RunnersVersion)
	if newEpoch.RunnersEpoch == response.RunnersEpoch || len(newEpoch.Runners) != 1 || newEpoch.RunnersComplete {
		t.Errorf("got %+v from a new primary, want another epoch and one runner, not complete", newEpoch)
	}
	var none coreapi.HeartbeatResponse
	r.FillResponse(&coreapi.HeartbeatRequest{}, &none, r.now)
	if none.RunnersEpoch != 0 || none.Runners != nil {
		t.Errorf("got %+v for a router that wants no runners, want an empty response", none)
	}
	if Epoch(7, 1) == Epoch(7, 2) {
		t.Error("got one epoch for two runs of a primary, want two")
	}
}

// The list is complete only after the primary's warm-up. A router with a list from the warm-up then gets the complete one.
func TestListIsCompleteAfterWarmup(t *testing.T) {
	r := newTestRegistry()
	r.heartbeat("a", 1, routing.RunnerReady)
	early := r.response(0, 0)
	if early.RunnersComplete || len(early.Runners) != 1 {
		t.Errorf("got %d runners, complete %t during warm-up, want 1, not complete", len(early.Runners), early.RunnersComplete)
	}
	r.now = r.now.Add(warmupDuration - time.Millisecond)
	r.heartbeat("a", 2, routing.RunnerReady)
	if response := r.response(early.RunnersEpoch, early.RunnersVersion); response.RunnersComplete || len(response.Runners) > 0 {
		t.Errorf("got %+v just before the end of warm-up, want no runners", response)
	}
	r.now = r.now.Add(time.Millisecond)
	complete := r.response(early.RunnersEpoch, early.RunnersVersion)
	if !complete.RunnersComplete || len(complete.Runners) != 1 {
		t.Errorf("got %d runners, complete %t after warm-up, want 1, complete", len(complete.Runners), complete.RunnersComplete)
	}
	if response := r.response(complete.RunnersEpoch, complete.RunnersVersion); response.RunnersComplete || len(response.Runners) > 0 {
		t.Errorf("got the complete list twice: %+v", response)
	}
}

// A primary that led without interruption while its view changed keeps its epoch. No runner times out because heartbeats were
// not accepted during the change, and a runner that had timed out before stays timed out.
func TestPrimaryResumesItsEpoch(t *testing.T) {
	r := newTestRegistry()
	leadingSince := r.now
	r.heartbeat("timed-out", 1, routing.RunnerReady)
	r.now = r.now.Add(warmupDuration)
	r.heartbeat("a", 1, routing.RunnerReady)
	complete := r.response(0, 0)
	r.now = r.now.Add(20 * time.Second)
	r.StartEpoch(3, leadingSince, r.now, nil)
	if response := r.response(complete.RunnersEpoch, complete.RunnersVersion); response.RunnersEpoch != complete.RunnersEpoch || response.RunnersComplete || len(response.Runners) > 0 {
		t.Errorf("got %+v right after a pause, want the same epoch and no runners", response)
	}
	if a, timedOut := r.state("a"), r.state("timed-out"); a != routing.RunnerReady || timedOut != routing.RunnerTimedOut {
		t.Errorf("got states %q and %q right after a pause, want %q and %q", a, timedOut, routing.RunnerReady, routing.RunnerTimedOut)
	}
	r.now = r.now.Add(resumeGrace + 200*time.Millisecond)
	if got := r.state("a"); got != routing.RunnerTimedOut {
		t.Errorf("got state %q without a heartbeat after the pause, want %q", got, routing.RunnerTimedOut)
	}
}

// A complete list of ten thousand runners fits into one frame.
func TestRegistryFitsAFrame(t *testing.T) {
	r := newTestRegistry()
	for i := range 10_000 {
		r.RecordHeartbeat(routing.Runner{ID: fmt.Sprintf("runner-%032d", i), Address: "10.100.100.100:10000", Zone: "zone", Service: "service-name", State: routing.RunnerReady, Sequence: 1}, r.now)
	}
	response := r.response(0, 0)
	if size := response.Msgsize(); size > wire.MaxBodyBytes {
		t.Errorf("got %d bytes for ten thousand runners, want %d at most", size, wire.MaxBodyBytes)
	}
}

// A router that asks for a complete list gets none if its own list is equal, and the complete one if anything differs.
func TestEqualListIsNotSent(t *testing.T) {
	r := newTestRegistry()
	r.heartbeat("a", 1, routing.RunnerReady)
	r.heartbeat("b", 1, routing.RunnerReady)
	r.now = r.now.Add(warmupDuration)
	r.heartbeat("a", 2, routing.RunnerReady)
	r.heartbeat("b", 2, routing.RunnerReady)
	request := func(epoch uint64, runners []routing.Runner) *coreapi.HeartbeatResponse {
		var response coreapi.HeartbeatResponse
		heartbeat := coreapi.HeartbeatRequest{RunnersWanted: true, RunnersEpoch: epoch}
		for _, runner := range runners {
			heartbeat.RunnersDigest ^= runner.Digest()
		}
		r.FillResponse(&heartbeat, &response, r.now)
		return &response
	}
	current := r.response(0, 0).Runners
	if response := request(1, current); len(response.Runners) > 0 || response.RunnersComplete || response.RunnersEpoch != 1 || response.RunnersVersion == 0 {
		t.Errorf("got %+v for an equal list, want no runners", response)
	}
	r.heartbeat("a", 3, routing.RunnerReady) // a heartbeat without a change is not sent to routers
	if response := request(1, current); len(response.Runners) > 0 {
		t.Errorf("got %+v after a heartbeat without a change, want no runners", response)
	}
	for name, response := range map[string]*coreapi.HeartbeatResponse{
		"another primary's list": request(7, current),
		"one runner less":        request(1, current[:1]),
		"none":                   request(1, nil),
	} {
		if len(response.Runners) != 2 || !response.RunnersComplete {
			t.Errorf("%s: got %+v, want both runners, complete", name, response)
		}
	}
	r.heartbeat("a", 4, routing.RunnerDraining)
	if response := request(1, current); len(response.Runners) != 2 || !response.RunnersComplete {
		t.Errorf("got %+v after a change of state, want both runners, complete", response)
	}
	current = r.response(0, 0).Runners
	r.heartbeat("a", 5, routing.RunnerDraining)
	r.now = r.now.Add(runnerTTL + time.Second)
	r.heartbeat("a", 6, routing.RunnerDraining)
	if response := request(1, current); len(response.Runners) != 1 || !response.RunnersComplete {
		t.Errorf("got %+v after a runner was removed, want one runner, complete", response)
	}
}
