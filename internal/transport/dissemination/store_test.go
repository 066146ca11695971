package dissemination

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// mend makes two boards alike by digests, and tells the bytes that went between them.
func mend(a, b *Store) int {
	sum := a.Digests("a")
	diff := b.Compare(sum)
	bytes := sum.Msgsize() + diff.Msgsize()
	if len(diff.Ranges) == 0 {
		return bytes
	}
	fix := a.Repair("a", diff)
	b.Merge(fix.Records)
	back := Update{Records: b.Select(fix.Wanted)}
	a.Merge(back.Records)
	return bytes + fix.Msgsize() + back.Msgsize()
}

// Two copies that went apart in any way are alike after one exchange, each key at its newest.
func TestMendAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := NewStore(nil), NewStore(nil)
		model := map[string]Record{}
		for range rapid.IntRange(0, 60).Draw(t, "records") {
			r := Record{Key: fmt.Sprintf("k%d", rapid.IntRange(0, 20).Draw(t, "key")), Generation: rapid.Uint64Range(1, 3).Draw(t, "gen"), Version: rapid.Uint64Range(1, 5).Draw(t, "turn")}
			r.Body = []byte(fmt.Sprintf("%s %d %d", r.Key, r.Generation, r.Version)) // one writer a key and turn
			if old, ok := model[r.Key]; !ok || Newer(r, old) {
				model[r.Key] = r
			}
			switch rapid.IntRange(0, 2).Draw(t, "where") {
			case 0:
				a.Merge([]Record{r})
			case 1:
				b.Merge([]Record{r})
			default:
				a.Merge([]Record{r})
				b.Merge([]Record{r})
			}
		}
		mend(a, b)
		for _, x := range []*Store{a, b} {
			n := 0
			x.ForEachWithPrefix("", func(Record, time.Duration) { n++ })
			if n != len(model) {
				t.Fatalf("%d records, %d expected", n, len(model))
			}
			for k, want := range model {
				if got, _, _ := x.Get(k); string(got.Body) != string(want.Body) {
					t.Fatalf("%s is %q, %q expected", k, got.Body, want.Body)
				}
			}
		}
		if d := b.Compare(a.Digests("a")); len(d.Ranges) != 0 {
			t.Fatalf("ranges %v still differ", d.Ranges)
		}
	})
}

// What a mend costs against handing over a full copy, for 200 records of 400 bytes.
func TestMendCost(t *testing.T) {
	const all = 200
	for _, lost := range []int{0, 1, 5, 20, 200} {
		a, b := NewStore(nil), NewStore(nil)
		full := Update{}
		for i := range all {
			r := Record{Key: fmt.Sprintf("runner/10.0.0.%d:1", i), Generation: 1, Version: 7, Body: make([]byte, 400)}
			full.Records = append(full.Records, r)
			a.Merge([]Record{r})
			if i >= lost {
				b.Merge([]Record{r})
			}
		}
		cost := mend(a, b)
		t.Logf("%d of %d records behind: %d bytes, a full copy %d (%.2f)", lost, all, cost, full.Msgsize(), float64(cost)/float64(full.Msgsize()))
		if lost <= 5 && cost > full.Msgsize()/4 {
			t.Errorf("a mend of %d records cost %d bytes", lost, cost)
		}
	}
}

// The tree reaches every node from the first of any zone, over live edges known to both ends.
func TestTreeReachesAll(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var all []Node
		for i := range rapid.IntRange(1, 60).Draw(t, "nodes") {
			all = append(all, Node{Name: fmt.Sprintf("n%02d", i), Zone: rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "hall")})
		}
		seen := map[string]bool{all[0].Name: true}
		for work := []string{all[0].Name}; len(work) > 0; work = work[1:] {
			near := Neighbours(work[0], all)
			if len(near) > Fanout+4 {
				t.Fatalf("%s has %d neighbours", work[0], len(near))
			}
			for _, s := range near {
				back := false
				for _, o := range Neighbours(s.Name, all) {
					back = back || o.Name == work[0]
				}
				if !back {
					t.Fatalf("%s knows %s, not the other way", work[0], s.Name)
				}
				if !seen[s.Name] {
					seen[s.Name] = true
					work = append(work, s.Name)
				}
			}
		}
		if len(seen) != len(all) {
			t.Fatalf("%d of %d reached", len(seen), len(all))
		}
	})
}

// A length that the bytes don't bear out is refused before room is made for it.
func TestFalseLength(t *testing.T) {
	raw := []byte{0x82, 0xa1, 'f', 0xa1, 'x', 0xa1, 'r', 0xdd, 0xff, 0xff, 0xff, 0xf0} // a list of four thousand million
	if n := testing.AllocsPerRun(1, func() {
		var tell Update
		if _, err := tell.UnmarshalMsg(raw); err == nil {
			t.Error("read")
		}
	}); n > 20 {
		t.Errorf("%g allocations", n)
	}
}
