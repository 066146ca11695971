package dissemination

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// synchronize runs one anti-entropy exchange, started by a with b, and returns the total size of its messages in bytes.
func synchronize(a, b *Store) int {
	digests := a.Digests("a")
	difference := b.Compare(digests)
	bytes := digests.Msgsize() + difference.Msgsize()
	if len(difference.Shards) == 0 {
		return bytes
	}
	repair := a.Repair("a", difference)
	b.Merge(repair.Records)
	update := Update{Records: b.Select(repair.WantedKeys)}
	a.Merge(update.Records)
	return bytes + repair.Msgsize() + update.Msgsize()
}

// Any two diverged replicas are equal after one exchange, with the newest version of each key.
func TestRepairAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := NewStore(nil), NewStore(nil)
		model := map[string]Record{}
		for range rapid.IntRange(0, 60).Draw(t, "records") {
			record := Record{Key: fmt.Sprintf("k%d", rapid.IntRange(0, 20).Draw(t, "key")), Generation: rapid.Uint64Range(1, 3).Draw(t, "generation"), Version: rapid.Uint64Range(1, 5).Draw(t, "version")}
			record.Body = []byte(fmt.Sprintf("%s %d %d", record.Key, record.Generation, record.Version)) // the same version always has the same body
			if old, ok := model[record.Key]; !ok || record.newerThan(&old) {
				model[record.Key] = record
			}
			switch rapid.IntRange(0, 2).Draw(t, "where") {
			case 0:
				a.Merge([]Record{record})
			case 1:
				b.Merge([]Record{record})
			default:
				a.Merge([]Record{record})
				b.Merge([]Record{record})
			}
		}
		synchronize(a, b)
		for _, store := range []*Store{a, b} {
			n := 0
			store.ForEachWithPrefix("", func(Record, time.Duration) { n++ })
			if n != len(model) {
				t.Fatalf("got %d records, want %d", n, len(model))
			}
			for key, want := range model {
				if got, _, _ := store.Get(key); string(got.Body) != string(want.Body) {
					t.Fatalf("record %s: got body %q, want %q", key, got.Body, want.Body)
				}
			}
		}
		if difference := b.Compare(a.Digests("a")); len(difference.Shards) != 0 {
			t.Fatalf("got shards %v different after the exchange, want none", difference.Shards)
		}
	})
}

// Measures the bytes of one exchange against those of the complete store, for 200 records of 400 bytes. With few missing
// records an exchange must send far less than the store.
func TestRepairCost(t *testing.T) {
	const total = 200
	for _, missing := range []int{0, 1, 5, 20, 200} {
		a, b := NewStore(nil), NewStore(nil)
		complete := Update{}
		for i := range total {
			record := Record{Key: fmt.Sprintf("runner/10.0.0.%d:1", i), Generation: 1, Version: 7, Body: make([]byte, 400)}
			complete.Records = append(complete.Records, record)
			a.Merge([]Record{record})
			if i >= missing {
				b.Merge([]Record{record})
			}
		}
		cost := synchronize(a, b)
		t.Logf("%d of %d records missing: %d bytes, the complete store %d (%.2f)", missing, total, cost, complete.Msgsize(), float64(cost)/float64(complete.Msgsize()))
		if missing <= 5 && cost > complete.Msgsize()/4 {
			t.Errorf("exchange with %d missing records: got %d bytes, want at most %d", missing, cost, complete.Msgsize()/4)
		}
	}
}
