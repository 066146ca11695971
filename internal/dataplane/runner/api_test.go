package runner

import (
	"strings"
	"testing"
	"time"

	"yarrowridge/internal/transport/dissemination"
)

// A heartbeat long under way does not undo a later word of leaving; another run at the address does.
func TestLateBeat(t *testing.T) {
	var yard *Pool
	store := dissemination.NewStore(func(record dissemination.Record) { yard.Apply(record) })
	yard = NewPool("r1", func() {})
	word := func(born, state string, turn uint64) {
		record, _ := NextRecord(store, Report{Name: "a", Address: "10.0.0.1:1", RunID: born, State: state}, turn)
		store.Merge([]dissemination.Record{record})
	}
	state := func() string { return yard.List()[0].Health() }
	word("1", "ready", 4)
	word("1", "leaving", 6)
	word("1", "ready", 5)
	if s := state(); s != "leaving" {
		t.Errorf("standing %q after a late beat, leaving expected", s)
	}
	word("1", "ready", 7)
	if s := state(); s != "" {
		t.Errorf("standing %q after a later beat, ready expected", s)
	}
	old := yard.List()[0]
	word("2", "ready", 1)
	if s := state(); s != "" || old.Health() != "replaced" || yard.List()[0] == old {
		t.Errorf("another run: standing %q, the old run %q", s, old.Health())
	}
}

// Whatever bytes a runner sends, a heartbeat is read or rejected with a reason, and never both.
func FuzzParseBeat(f *testing.F) {
	f.Add([]byte(`{"name":"a","addr":"10.0.0.1:1","born":"1","state":"ready","room":4,"labels":{"a":"b"}}`))
	f.Add([]byte(`{"name":1,"addr":"nowhere","labels":[],"fill":7}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		report, _, bad := ParseHeartbeat(raw)
		if len(bad) == 0 && (report.Name == "" || report.Address == "" || report.Capacity < 0 || !strings.Contains("starting ready leaving", report.State)) {
			t.Errorf("%s was taken as %+v", raw, report)
		}
	})
}

// A failing runner is barred for longer each time, and tried with one request before it counts again.
func TestFailingRunner(t *testing.T) {
	instance := &Instance{Address: "10.0.0.1:1", report: Report{State: "ready", Capacity: 9}, heardAt: time.Now()}
	seat := func() bool { return instance.Acquire(1, 0) != nil }
	leave := func(ok bool) { instance.slots[0].Release(ok) }
	if !seat() {
		t.Fatal("a ready runner takes no query")
	}
	instance.RecordFailure()
	leave(false)
	if seat() {
		t.Error("a runner that has just failed takes a query")
	}
	instance.ejectedUntil = time.Time{} // its time is over
	if !seat() {
		t.Error("after its time no trial is made")
	}
	if seat() {
		t.Error("two queries at once on trial")
	}
	leave(true)
	if first, second := seat(), seat(); !first || !second {
		t.Error("after a good trial the runner is not back")
	}
}
