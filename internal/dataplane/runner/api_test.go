package runner

import (
	"strings"
	"testing"
	"time"

	"yarrowridge/internal/transport/dissemination"
)

// A delayed heartbeat must not replace a later one, such as one that reports the state "leaving". A heartbeat of another
// run at the same address does replace it.
func TestDelayedHeartbeat(t *testing.T) {
	var pool *Pool
	store := dissemination.NewStore(func(record dissemination.Record) { pool.Apply(record) })
	pool = NewPool("r1", func() {})
	report := func(runID, state string, sequence uint64) {
		record, _ := NextRecord(store, Report{Name: "a", Address: "10.0.0.1:1", RunID: runID, State: state}, sequence)
		store.Merge([]dissemination.Record{record})
	}
	health := func() string { return pool.List()[0].Health() }
	report("1", "ready", 4)
	report("1", "leaving", 6)
	report("1", "ready", 5)
	if got := health(); got != "leaving" {
		t.Errorf("after a delayed heartbeat: got health %q, want %q", got, "leaving")
	}
	report("1", "ready", 7)
	if got := health(); got != "" {
		t.Errorf("after a later heartbeat: got health %q, want %q", got, "")
	}
	old := pool.List()[0]
	report("2", "ready", 1)
	if got := health(); got != "" || old.Health() != "replaced" || pool.List()[0] == old {
		t.Errorf("after a heartbeat of another run: got health %q, and %q of the old run, want %q and %q", got, old.Health(), "", "replaced")
	}
}

// Any input is either parsed as a valid report or rejected with a list of problems.
func FuzzParseHeartbeat(f *testing.F) {
	f.Add([]byte(`{"name":"a","addr":"10.0.0.1:1","born":"1","state":"ready","room":4,"labels":{"a":"b"}}`))
	f.Add([]byte(`{"name":1,"addr":"nowhere","labels":[],"fill":7}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		report, _, problems := ParseHeartbeat(raw)
		if len(problems) == 0 && (report.Name == "" || report.Address == "" || report.Capacity < 0 || !strings.Contains("starting ready leaving", report.State)) {
			t.Errorf("%s: got report %+v, want problems", raw, report)
		}
	})
}

// A runner that failed is ejected for a while. Then a single request is sent as a probe, and only its success ends the
// ejection.
func TestFailingRunnerIsEjectedAndProbed(t *testing.T) {
	instance := &Instance{Address: "10.0.0.1:1", report: Report{State: "ready", Capacity: 9}, heartbeatAt: time.Now()}
	acquire := func() bool { return instance.Acquire(1, 0) != nil }
	release := func(ok bool) { instance.slots[0].Release(ok) }
	if !acquire() {
		t.Fatal("ready runner: got no slot, want one")
	}
	instance.RecordFailure()
	release(false)
	if acquire() {
		t.Error("runner that has just failed: got a slot, want none")
	}
	instance.ejectedUntil = time.Time{} // the backoff is over
	if !acquire() {
		t.Error("after the backoff: got no slot for the probe, want one")
	}
	if acquire() {
		t.Error("during the probe: got a second slot, want none")
	}
	release(true)
	if first, second := acquire(), acquire(); !first || !second {
		t.Errorf("after a successful probe: got %t and %t for two slots, want both", first, second)
	}
}
