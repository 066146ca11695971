package session

import (
	"fmt"
	"reflect"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func lookup(t *testing.T, d *Directory, session uint64, want ...string) {
	t.Helper()
	if entry, _ := d.Lookup(session); !slices.Equal(entry.Holders, want) {
		t.Errorf("session %d is held by %v, %v expected", session, entry.Holders, want)
	}
}

// contents are all entries of a directory, in the order of their sessions.
func contents(d *Directory) []Entry {
	entries := d.Newest(1 << 20)
	slices.SortFunc(entries, func(a, b Entry) int {
		if a.Session < b.Session {
			return -1
		}
		return 1
	})
	return entries
}

func TestTheNewestWordStands(t *testing.T) {
	one, two := New(10), New(10)
	one.Record(1, "a")
	first := one.DrainUpdates()
	two.Merge(first)
	two.Record(1, "b", "a")
	second := two.DrainUpdates()
	one.Merge(second)
	one.Merge(first) // once more, late
	lookup(t, one, 1, "b", "a")
	lookup(t, two, 1, "b", "a")
	if again := append(one.DrainUpdates(), two.DrainUpdates()...); len(again) != 0 {
		t.Errorf("told again: %v", again)
	}
	one.Record(1, "b", "a")
	if again := one.DrainUpdates(); len(again) != 0 {
		t.Errorf("told though nothing moved: %v", again)
	}
}

// A clock that lags does not make a later word older.
func TestClockThatLags(t *testing.T) {
	ahead, behind := New(10), New(10)
	ahead.now = func() time.Time { return time.Now().Add(time.Hour) }
	ahead.Record(1, "a")
	behind.Merge(ahead.DrainUpdates())
	behind.Record(1, "b")
	ahead.Merge(behind.DrainUpdates())
	lookup(t, ahead, 1, "b")
	lookup(t, behind, 1, "b")
}

// Of several routers that find the same at once, one tells.
func TestTheSameWordIsToldOnce(t *testing.T) {
	one, two := New(10), New(10)
	one.Record(1, "a")
	two.Record(1, "a")
	two.Merge(one.DrainUpdates())
	if told := two.DrainUpdates(); len(told) != 0 {
		t.Errorf("told again: %v", told)
	}
	if !reflect.DeepEqual(contents(one), contents(two)) {
		t.Error(contents(one), contents(two))
	}
}

func TestRunnersThatAreGone(t *testing.T) {
	d := New(10)
	d.Record(1, "a", "b")
	d.Record(2, "a")
	told := d.DrainUpdates()
	d.RemoveRunners("a")
	lookup(t, d, 1, "b")
	lookup(t, d, 2)
	d.Merge(told) // late word of a runner that is gone
	d.Record(3, "a")
	lookup(t, d, 1, "b")
	lookup(t, d, 2)
	if d.Len() != 1 {
		t.Errorf("%d entries, 1 expected", d.Len())
	}
}

func TestBounds(t *testing.T) {
	d := New(100)
	for session := range uint64(1000) {
		d.Record(session, "a", "b", "c")
		d.Lookup(0) // in use all the time
	}
	if d.Len() != 100 {
		t.Errorf("%d entries, 100 expected", d.Len())
	}
	lookup(t, d, 0, "a", "b")
	lookup(t, d, 1)
	lookup(t, d, 999, "a", "b")
	if told := d.DrainUpdates(); len(told) != 100 {
		t.Errorf("%d entries are told, those that are kept expected", len(told))
	}
	for i := range 3 * goneMost {
		d.RemoveRunners(fmt.Sprint("runner ", i))
	}
	if len(d.gone) != goneMost || len(d.goneIDs) != goneMost {
		t.Errorf("%d runners remembered as gone", len(d.gone))
	}
}

// A router that fetches another one's entries has the same, and drops the same first.
func TestFetched(t *testing.T) {
	old := New(10)
	for session := range uint64(10) {
		old.Record(session, "a")
	}
	old.Lookup(0)
	fresh := New(4)
	batch := Pack(old.Newest(4))
	raw, err := batch.MarshalMsg(nil)
	if err != nil {
		t.Fatal(err)
	}
	var read Batch
	if _, err := read.UnmarshalMsg(raw); err != nil {
		t.Fatal(err)
	}
	fresh.Merge(read.Unpack())
	if !reflect.DeepEqual(fresh.Newest(4), old.Newest(4)) {
		t.Error(fresh.Newest(4), old.Newest(4))
	}
	if size := len(raw) / 4; size > 40 {
		t.Errorf("%d bytes an entry", size)
	}
	lookup(t, fresh, 0, "a")
}

// Places that a batch does not name are passed over.
func TestDamagedBatch(t *testing.T) {
	batch := Batch{Runners: []string{"a"}, Entries: []PackedEntry{{Session: 1, Version: 1, Holders: []int{7, 0, -1}}, {Session: 2, Version: 1, Holders: []int{1}}}}
	d := New(10)
	if taken := d.Merge(batch.Unpack()); taken != 1 {
		t.Errorf("%d entries taken", taken)
	}
	lookup(t, d, 1, "a")
}

// announcement is what one router told, and which routers have heard it.
type announcement struct {
	entries []Entry
	heard   map[int]bool
}

// Whatever routers find, and in whatever order and however often they hear of one another, once all have
// heard everything all have the same: for each session the word that was told with the highest version.
func TestRoutersConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		routers := make([]*Directory, rapid.IntRange(2, 5).Draw(t, "routers"))
		clock := time.UnixMilli(1000)
		for i := range routers {
			skew := time.Duration(rapid.IntRange(-3, 3).Draw(t, "skew")) * time.Millisecond
			routers[i] = New(1000)
			routers[i].now = func() time.Time { return clock.Add(skew) }
		}
		var told []announcement
		tell := func(i int) { told = append(told, announcement{routers[i].DrainUpdates(), map[int]bool{i: true}}) }
		hear := func(i int, what announcement) {
			what.heard[i] = true
			routers[i].Merge(what.entries)
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			i := rapid.IntRange(0, len(routers)-1).Draw(t, "router")
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				holders := rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"a", "b", "c"}), 1, 2, rapid.ID[string]).Draw(t, "holders")
				routers[i].Record(rapid.Uint64Range(0, 1).Draw(t, "session"), holders...)
			case 1:
				tell(i)
			case 2:
				if len(told) > 0 {
					hear(i, rapid.SampledFrom(told).Draw(t, "news or old word"))
				}
			case 3:
				clock = clock.Add(time.Millisecond)
			}
		}
		for i := range routers {
			tell(i)
		}
		for i := range routers {
			for _, at := range rapid.Permutation(places(len(told))).Draw(t, "order") {
				if !told[at].heard[i] {
					hear(i, told[at])
				}
			}
		}
		newest := newestOf(told)
		for i, router := range routers {
			if got := contents(router); !reflect.DeepEqual(got, newest) {
				t.Fatalf("router %d has %v, %v expected", i, got, newest)
			}
			if again := router.DrainUpdates(); len(again) != 0 {
				t.Fatalf("router %d tells again: %v", i, again)
			}
		}
	})
}

// newestOf is what all should have once they have heard everything.
func newestOf(told []announcement) []Entry {
	all := New(1000)
	for _, what := range told {
		all.Merge(what.entries)
	}
	return contents(all)
}

func places(count int) []int {
	out := make([]int, count)
	for i := range out {
		out[i] = i
	}
	return out
}
