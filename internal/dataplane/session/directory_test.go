package session

import (
	"fmt"
	"reflect"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// checkRunners checks which runners a directory has for a session.
func checkRunners(t *testing.T, d *Directory, session uint64, want ...string) {
	t.Helper()
	if entry, _ := d.Lookup(session); !slices.Equal(entry.Runners, want) {
		t.Errorf("session %d: got runners %v, want %v", session, entry.Runners, want)
	}
}

// contents returns all entries of a directory, sorted by session.
func contents(d *Directory) []Entry {
	entries := d.MostRecentlyUsed(1 << 20)
	slices.SortFunc(entries, func(a, b Entry) int {
		if a.Session < b.Session {
			return -1
		}
		return 1
	})
	return entries
}

// Of two entries of one session the newer one wins, and neither is sent twice.
func TestNewestEntryWins(t *testing.T) {
	one, two := New(10), New(10)
	one.Record(1, "a")
	first := one.DrainUpdates()
	two.Merge(first)
	two.Record(1, "b", "a")
	second := two.DrainUpdates()
	one.Merge(second)
	one.Merge(first) // delayed duplicate
	checkRunners(t, one, 1, "b", "a")
	checkRunners(t, two, 1, "b", "a")
	if again := append(one.DrainUpdates(), two.DrainUpdates()...); len(again) != 0 {
		t.Errorf("got updates %v after all were drained, want none", again)
	}
	one.Record(1, "b", "a")
	if again := one.DrainUpdates(); len(again) != 0 {
		t.Errorf("got updates %v though nothing changed, want none", again)
	}
}

// Clock skew between routers does not affect which entry is newer.
func TestLaggingClock(t *testing.T) {
	ahead, behind := New(10), New(10)
	ahead.now = func() time.Time { return time.Now().Add(time.Hour) }
	ahead.Record(1, "a")
	behind.Merge(ahead.DrainUpdates())
	behind.Record(1, "b")
	ahead.Merge(behind.DrainUpdates())
	checkRunners(t, ahead, 1, "b")
	checkRunners(t, behind, 1, "b")
}

// If several routers record the same entry concurrently, only one of them sends it.
func TestSameEntryIsSentOnce(t *testing.T) {
	one, two := New(10), New(10)
	one.Record(1, "a")
	two.Record(1, "a")
	two.Merge(one.DrainUpdates())
	if updates := two.DrainUpdates(); len(updates) != 0 {
		t.Errorf("got updates %v, want none: the other router has sent the same", updates)
	}
	if got, want := contents(two), contents(one); !reflect.DeepEqual(got, want) {
		t.Errorf("got entries %v, want those of the other router, %v", got, want)
	}
}

// A departed runner is removed from all entries, and delayed entries do not add it again.
func TestDepartedRunners(t *testing.T) {
	d := New(10)
	d.Record(1, "a", "b")
	d.Record(2, "a")
	late := d.DrainUpdates()
	d.RemoveRunners("a")
	checkRunners(t, d, 1, "b")
	checkRunners(t, d, 2)
	d.Merge(late)
	d.Record(3, "a")
	checkRunners(t, d, 1, "b")
	checkRunners(t, d, 2)
	if d.Len() != 1 {
		t.Errorf("got %d entries, want 1", d.Len())
	}
}

// The directory keeps the most recently used entries and remembers the last departed runners, up to its limits.
func TestBounds(t *testing.T) {
	d := New(100)
	for session := range uint64(1000) {
		d.Record(session, "a", "b", "c")
		d.Lookup(0) // keeps session 0 the most recently used
	}
	if d.Len() != 100 {
		t.Errorf("got %d entries, want 100", d.Len())
	}
	checkRunners(t, d, 0, "a", "b")
	checkRunners(t, d, 1)
	checkRunners(t, d, 999, "a", "b")
	if updates := d.DrainUpdates(); len(updates) != 100 {
		t.Errorf("got %d updates, want 100: those of the entries that were not evicted", len(updates))
	}
	for i := range 3 * maxDeparted {
		d.RemoveRunners(fmt.Sprint("runner ", i))
	}
	if len(d.departed.ids) != maxDeparted || len(d.departed.order) != maxDeparted {
		t.Errorf("got %d departed runners, %d in order, want %d", len(d.departed.ids), len(d.departed.order), maxDeparted)
	}
}

// A router that fetches another one's entries has the same ones and evicts them in the same order.
func TestFetchedEntries(t *testing.T) {
	old := New(10)
	for session := range uint64(10) {
		old.Record(session, "a")
	}
	old.Lookup(0)
	fresh := New(4)
	batch := Pack(old.MostRecentlyUsed(4))
	raw, err := batch.MarshalMsg(nil)
	if err != nil {
		t.Fatal(err)
	}
	var read Batch
	if _, err := read.UnmarshalMsg(raw); err != nil {
		t.Fatal(err)
	}
	fresh.Merge(read.Unpack())
	if got, want := fresh.MostRecentlyUsed(4), old.MostRecentlyUsed(4); !reflect.DeepEqual(got, want) {
		t.Errorf("got entries %v, want %v", got, want)
	}
	if size := len(raw) / 4; size > 40 {
		t.Errorf("got %d bytes per entry, want 40 at most", size)
	}
	checkRunners(t, fresh, 0, "a")
}

// Runner indexes that are out of a batch's range are ignored.
func TestDamagedBatch(t *testing.T) {
	batch := Batch{Runners: []string{"a"}, Entries: []PackedEntry{{Session: 1, Version: 1, Runners: []int{7, 0, -1}}, {Session: 2, Version: 1, Runners: []int{1}}}}
	d := New(10)
	if merged := d.Merge(batch.Unpack()); merged != 1 {
		t.Errorf("got %d entries merged, want 1", merged)
	}
	checkRunners(t, d, 1, "a")
}

// announcement is a message with one router's updates, and the routers that have received it.
type announcement struct {
	entries  []Entry
	received map[int]bool
}

// Routers converge: once all of them have received all updates, in any order and any number of times, each has the same
// entry for a session, which is the newest one that was sent.
func TestRoutersConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		routers := make([]*Directory, rapid.IntRange(2, 5).Draw(t, "routers"))
		clock := time.UnixMilli(1000)
		for i := range routers {
			skew := time.Duration(rapid.IntRange(-3, 3).Draw(t, "skew")) * time.Millisecond
			routers[i] = New(1000)
			routers[i].now = func() time.Time { return clock.Add(skew) }
		}
		var sent []announcement
		send := func(i int) { sent = append(sent, announcement{routers[i].DrainUpdates(), map[int]bool{i: true}}) }
		receive := func(i int, sent announcement) {
			sent.received[i] = true
			routers[i].Merge(sent.entries)
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			i := rapid.IntRange(0, len(routers)-1).Draw(t, "router")
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				runners := rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"a", "b", "c"}), 1, 2, rapid.ID[string]).Draw(t, "runners")
				routers[i].Record(rapid.Uint64Range(0, 1).Draw(t, "session"), runners...)
			case 1:
				send(i)
			case 2:
				if len(sent) > 0 {
					receive(i, rapid.SampledFrom(sent).Draw(t, "new or old announcement"))
				}
			case 3:
				clock = clock.Add(time.Millisecond)
			}
		}
		for i := range routers {
			send(i)
		}
		for i := range routers {
			for _, index := range rapid.Permutation(indexes(len(sent))).Draw(t, "order") {
				if !sent[index].received[i] {
					receive(i, sent[index])
				}
			}
		}
		want := newestOf(sent)
		for i, router := range routers {
			if got := contents(router); !reflect.DeepEqual(got, want) {
				t.Fatalf("router %d: got entries %v, want %v", i, got, want)
			}
			if again := router.DrainUpdates(); len(again) != 0 {
				t.Fatalf("router %d: got updates %v after all were drained, want none", i, again)
			}
		}
	})
}

// newestOf returns the contents of a directory that has received all announcements.
func newestOf(sent []announcement) []Entry {
	all := New(1000)
	for _, one := range sent {
		all.Merge(one.entries)
	}
	return contents(all)
}

// indexes returns the numbers from 0 to count-1.
func indexes(count int) []int {
	out := make([]int, count)
	for i := range out {
		out[i] = i
	}
	return out
}
