package runner

import (
	"strings"
	"testing"
	"time"

	"yarrowridge/internal/relay"
)

// A beat long under way does not undo a later word of leaving; another run at the address does.
func TestLateBeat(t *testing.T) {
	var yard *Yard
	b := relay.NewBoard(func(r relay.Rec) { yard.See(r) })
	yard = NewYard("r1", func() {})
	word := func(born, state string, turn uint64) {
		rec, _ := Next(b, News{Name: "a", Addr: "10.0.0.1:1", Born: born, State: state}, turn)
		b.Take([]relay.Rec{rec})
	}
	state := func() string { return yard.List()[0].Standing() }
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
	if s := state(); s != "" || old.Standing() != "replaced" || yard.List()[0] == old {
		t.Errorf("another run: standing %q, the old run %q", s, old.Standing())
	}
}

// Whatever bytes a runner sends, a beat is read or bounced with a reason, and never both.
func FuzzParseBeat(f *testing.F) {
	f.Add([]byte(`{"name":"a","addr":"10.0.0.1:1","born":"1","state":"ready","room":4,"labels":{"a":"b"}}`))
	f.Add([]byte(`{"name":1,"addr":"nowhere","labels":[],"fill":7}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		n, _, bad := ParseBeat(raw)
		if len(bad) == 0 && (n.Name == "" || n.Addr == "" || n.Room < 0 || !strings.Contains("starting ready leaving", n.State)) {
			t.Errorf("%s was taken as %+v", raw, n)
		}
	})
}

// A failing runner is barred for longer each time, and tried with one query before it counts again.
func TestFailingRunner(t *testing.T) {
	e := &Entry{Addr: "10.0.0.1:1", news: News{State: "ready", Room: 9}, heard: time.Now()}
	seat := func() bool { return e.Sit(1, 0) != nil }
	leave := func(ok bool) { e.seats[0].Leave(ok) }
	if !seat() {
		t.Fatal("a ready runner takes no query")
	}
	e.Fail()
	leave(false)
	if seat() {
		t.Error("a runner that has just failed takes a query")
	}
	e.bar = time.Time{} // its time is over
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
