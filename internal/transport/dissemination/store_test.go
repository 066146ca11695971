package dissemination

import (
	"testing"
	"testing/synctest"
	"time"
)

// A record that is no longer renewed expires on all nodes, even though it expires at different times and the nodes repair
// each other's replicas in between. A newer version of it is accepted afterwards.
func TestExpiredRecordsDoNotReturn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b := NewStore(nil), NewStore(nil)
		record := Record{Key: "runners/x", Version: 3, Body: []byte("x")}
		a.Merge([]Record{record})
		time.Sleep(700 * time.Millisecond)
		synchronize(a, b)
		for range 250 {
			time.Sleep(300 * time.Millisecond)
			a.Expire(time.Minute)
			synchronize(a, b)
			b.Expire(time.Minute)
			synchronize(b, a)
		}
		for _, store := range []*Store{a, b} {
			if _, _, ok := store.Get("runners/x"); ok {
				t.Error("got the record after 75 s, want it expired")
			}
		}
		record.Version = 4
		if merged := a.Merge([]Record{record}); len(merged) != 1 {
			t.Errorf("newer version: got %d records merged, want 1", len(merged))
		}
	})
}
