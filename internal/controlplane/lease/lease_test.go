package lease

import (
	"testing"
	"testing/synctest"
	"time"
)

// Only those who answered within the span count as heard, also in the next epoch.
func TestHears(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		two := func(got map[string]bool) bool { return len(got) >= 2 }
		l := New(time.Second)
		l.RecordResponse("a")
		time.Sleep(300 * time.Millisecond)
		l.RecordResponse("b")
		if !l.HasRecentResponses(two, 400*time.Millisecond) || l.HasRecentResponses(two, 200*time.Millisecond) {
			t.Error("a was heard 300 ms ago, b just now")
		}
		if !l.ForNextEpoch().HasRecentResponses(two, 400*time.Millisecond) {
			t.Error("the next epoch's lease has forgotten who answered")
		}
		time.Sleep(200 * time.Millisecond)
		if l.HasRecentResponses(two, 400*time.Millisecond) {
			t.Error("a was heard half a second ago")
		}
	})
}
