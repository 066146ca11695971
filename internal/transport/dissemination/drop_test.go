package dissemination

import (
	"testing"
	"testing/synctest"
	"time"
)

// A record nobody touches any more is forgotten by all, though they drop it one after the other and mend
// each other's copies in between. A newer word of its key is taken.
func TestDroppedRecordsStayAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b := NewStore(nil), NewStore(nil)
		rec := Record{Key: "runners/x", Version: 3, Body: []byte("x")}
		a.Merge([]Record{rec})
		time.Sleep(700 * time.Millisecond)
		mend(a, b)
		for range 250 {
			time.Sleep(300 * time.Millisecond)
			a.Expire(time.Minute)
			mend(a, b)
			b.Expire(time.Minute)
			mend(b, a)
		}
		for _, store := range []*Store{a, b} {
			if _, _, ok := store.Get("runners/x"); ok {
				t.Error("the record is still there after 75 s")
			}
		}
		rec.Version = 4
		if fresh := a.Merge([]Record{rec}); len(fresh) != 1 {
			t.Error("a newer word is refused")
		}
	})
}
