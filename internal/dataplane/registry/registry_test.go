package registry

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"yarrowridge/internal/controlplane/coreapi"
	"yarrowridge/internal/model/routing"
	"yarrowridge/internal/transport/dissemination"
)

func runner(id string, sequence uint64, state routing.RunnerState) routing.Runner {
	return routing.Runner{ID: id, Sequence: sequence, State: state}
}

// record returns the record by which routers disseminate a runner's report.
func record(t *testing.T, r routing.Runner) dissemination.Record {
	t.Helper()
	body, err := r.MarshalMsg(nil)
	if err != nil {
		t.Fatal(err)
	}
	return dissemination.Record{Key: dissemination.RunnerKeyPrefix + r.ID, Version: r.Sequence, Body: body}
}

// states returns all runners with their states.
func states(r *Registry) string {
	out := ""
	for _, one := range r.List() {
		out += fmt.Sprintf("%s:%s ", one.ID, one.State)
	}
	return out
}

// The report with the highest sequence number wins. A later report replaces the state silent, but none replaces gone, and silence
// does not replace draining.
func TestNewestReportWins(t *testing.T) {
	reg := New(nil)
	for _, step := range []struct {
		report routing.Runner
		want   string
	}{
		{runner("a", 2, routing.RunnerReady), "a:ready "},
		{runner("a", 1, routing.RunnerDraining), "a:ready "},
		{runner("a", 2, routing.RunnerTimedOut), "a:silent "},
		{runner("a", 2, routing.RunnerReady), "a:silent "},
		{runner("a", 3, routing.RunnerReady), "a:ready "},
		{runner("a", 3, routing.RunnerDraining), "a:ready "},
		{runner("a", 4, routing.RunnerDraining), "a:draining "},
		{runner("a", 4, routing.RunnerTimedOut), "a:draining "},
		{runner("a", 5, routing.RunnerTimedOut), "a:draining "},
		{runner("a", 5, routing.RunnerGone), "a:gone "},
		{runner("a", 5, routing.RunnerTimedOut), "a:gone "},
		{runner("a", 9, routing.RunnerReady), "a:gone "},
	} {
		reg.ApplyRecord(record(t, step.report))
		if got := states(reg); got != step.want {
			t.Errorf("after %s %d: got %q, want %q", step.report.State, step.report.Sequence, got, step.want)
		}
	}
	reg.ApplyRecord(dissemination.Record{Key: dissemination.RunnerKeyPrefix + "b", Body: []byte("no record")})
	wrong := record(t, runner("c", 1, routing.RunnerReady))
	wrong.Key = dissemination.RunnerKeyPrefix + "d"
	reg.ApplyRecord(wrong)
	if got := states(reg); got != "a:gone " {
		t.Errorf("after records that cannot be decoded: got %q, want %q", got, "a:gone ")
	}
}

// onChange is called with the sorted list after every change, and not for a response without changes.
func TestOnChange(t *testing.T) {
	var lists [][]routing.Runner
	reg := New(func(list []routing.Runner) { lists = append(lists, list) })
	response := &coreapi.HeartbeatResponse{RunnersEpoch: 1, RunnersVersion: 3, Runners: []routing.Runner{runner("b", 1, routing.RunnerReady), runner("a", 1, routing.RunnerReady)}}
	reg.Apply(response)
	reg.Apply(response)
	reg.ApplyRecord(record(t, runner("b", 2, routing.RunnerDraining)))
	if len(lists) != 2 || len(lists[0]) != 2 || lists[0][0].ID != "a" || lists[1][1].State != routing.RunnerDraining {
		t.Errorf("got lists %+v, want one with a and b and one with b draining", lists)
	}
	if lists[0][1].State != routing.RunnerReady {
		t.Errorf("got state %s in the older list, want it unchanged", lists[0][1].State)
	}
}

// Only a full synchronization drops runners, except those that arrived by dissemination while the response was in transit.
func TestOnlyFullSyncDrops(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reg := New(nil)
		reg.ApplyRecord(record(t, runner("old", 1, routing.RunnerReady)))
		reg.Apply(&coreapi.HeartbeatResponse{RunnersEpoch: 1, RunnersVersion: 3, Runners: []routing.Runner{runner("a", 1, routing.RunnerReady)}})
		time.Sleep(pushGracePeriod + time.Second)
		reg.Apply(&coreapi.HeartbeatResponse{RunnersEpoch: 2, RunnersVersion: 2, Runners: []routing.Runner{runner("b", 1, routing.RunnerReady)}})
		reg.Apply(&coreapi.HeartbeatResponse{}) // a core without a registry
		if got := states(reg); got != "a:ready b:ready old:ready " {
			t.Errorf("without a full sync: got %q, want all three runners", got)
		}
		reg.ApplyRecord(record(t, runner("new", 1, routing.RunnerReady)))
		reg.Apply(&coreapi.HeartbeatResponse{RunnersEpoch: 2, RunnersVersion: 9, RunnersComplete: true, Runners: []routing.Runner{runner("b", 1, routing.RunnerReady)}})
		if got := states(reg); got != "b:ready new:ready " {
			t.Errorf("after a full sync: got %q, want b and new", got)
		}
		if epoch, version := reg.Position(); epoch != 2 || version != 0 {
			t.Errorf("got first position %d %d, want 2 0: a full sync", epoch, version)
		}
		if epoch, version := reg.Position(); epoch != 2 || version != 9 {
			t.Errorf("got second position %d %d, want 2 9", epoch, version)
		}
		time.Sleep(fullSyncInterval + time.Second)
		if _, version := reg.Position(); version != 0 {
			t.Errorf("got version %d after %s, want 0: a full sync", version, fullSyncInterval)
		}
	})
}

// A replica's digest depends on its runners, but not on their order of arrival nor on their sequence numbers.
func TestDigest(t *testing.T) {
	one, other := New(nil), New(nil)
	if got := one.Digest(); got != 0 {
		t.Errorf("got digest %x of an empty replica, want 0", got)
	}
	one.ApplyRecord(record(t, runner("a", 1, routing.RunnerReady)))
	one.ApplyRecord(record(t, runner("b", 1, routing.RunnerDraining)))
	other.ApplyRecord(record(t, runner("b", 4, routing.RunnerDraining)))
	if one.Digest() == other.Digest() {
		t.Errorf("got digest %x also for a replica that lacks a runner, want a different one", one.Digest())
	}
	other.ApplyRecord(record(t, runner("a", 9, routing.RunnerReady)))
	if got, want := other.Digest(), one.Digest(); got != want {
		t.Errorf("got digest %x of an equal replica, want %x", got, want)
	}
}

// A newer report with the same content is accepted but is no change. A new primary sends such reports of all runners.
func TestSameReportIsNoChange(t *testing.T) {
	changes := 0
	reg := New(func([]routing.Runner) { changes++ })
	for i := range 600 {
		reg.ApplyRecord(record(t, runner(fmt.Sprintf("r%03d", i), 1, routing.RunnerReady)))
	}
	if changes != 600 || len(reg.List()) != 600 {
		t.Fatalf("got %d runners and %d changes, want 600 of each", len(reg.List()), changes)
	}
	changes = 0
	response := &coreapi.HeartbeatResponse{RunnersEpoch: 2, RunnersVersion: 601}
	for i := range 600 {
		again := runner(fmt.Sprintf("r%03d", i), 2, routing.RunnerReady)
		response.Runners = append(response.Runners, again)
		reg.ApplyRecord(record(t, again))
	}
	reg.Apply(response)
	if changes > 0 {
		t.Errorf("got %d changes by 600 reports with the same content, want none", changes)
	}
	reg.ApplyRecord(record(t, runner("r007", 1, routing.RunnerDraining)))
	if got := reg.List()[7].State; changes > 0 || got != routing.RunnerReady {
		t.Errorf("after a report older than an accepted one: got state %s and %d changes, want ready and none", got, changes)
	}
	reg.ApplyRecord(record(t, runner("r007", 3, routing.RunnerDraining)))
	if got := reg.List()[7].State; changes != 1 || got != routing.RunnerDraining {
		t.Errorf("after a new state: got state %s and %d changes, want draining and 1", got, changes)
	}
}

// The list stays sorted, complete and without duplicates, in whatever order reports arrive.
func TestListAfterSingleChanges(t *testing.T) {
	reg := New(nil)
	for i := range 500 {
		reg.ApplyRecord(record(t, runner(fmt.Sprintf("r%02d", i*37%50), uint64(i+1), []routing.RunnerState{routing.RunnerReady, routing.RunnerDraining}[i/50%2])))
		list := reg.List()
		if want := min(i+1, 50); len(list) != want {
			t.Fatalf("after %d reports: got %d runners, want %d", i+1, len(list), want)
		}
		for j := 1; j < len(list); j++ {
			if list[j-1].ID >= list[j].ID {
				t.Fatalf("got %s before %s, want the list sorted without duplicates", list[j-1].ID, list[j].ID)
			}
		}
	}
	for _, one := range reg.List() {
		if one.State != routing.RunnerDraining {
			t.Errorf("%s: got state %s, want draining by its last report", one.ID, one.State)
		}
	}
}

// BenchmarkApplyNewRunners measures applying the first reports of 600 runners one by one.
func BenchmarkApplyNewRunners(b *testing.B) {
	for b.Loop() {
		reg := New(nil)
		for i := range 600 {
			report := runner(fmt.Sprintf("r%03d", i), 1, routing.RunnerReady)
			body, err := report.MarshalMsg(nil)
			if err != nil {
				b.Fatal(err)
			}
			reg.ApplyRecord(dissemination.Record{Key: dissemination.RunnerKeyPrefix + report.ID, Version: 1, Body: body})
		}
	}
}

// A new primary may report a runner as silent with the sequence number of the heartbeat that it has on disk, which is lower
// than the one that routers know. The report is accepted, unless a newer one has just arrived by dissemination.
func TestSilentByOlderHeartbeat(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reg := New(nil)
		report := func(state routing.RunnerState, sequence uint64) routing.Runner {
			return routing.Runner{ID: "a", Service: "s", State: state, Sequence: sequence}
		}
		apply := func(runner routing.Runner) {
			reg.Apply(&coreapi.HeartbeatResponse{RunnersEpoch: 1, RunnersVersion: 2, Runners: []routing.Runner{runner}})
		}
		state := func() routing.RunnerState { return reg.List()[0].State }
		apply(report(routing.RunnerReady, 9))
		apply(report(routing.RunnerTimedOut, 3))
		if state() != routing.RunnerTimedOut {
			t.Errorf("got state %s, want silent", state())
		}
		reg.ApplyRecord(record(t, report(routing.RunnerReady, 10)))
		apply(report(routing.RunnerTimedOut, 9))
		if state() != routing.RunnerReady {
			t.Errorf("after a heartbeat that was just pushed: got state %s, want ready", state())
		}
	})
}
