package lease

import (
	"testing"
	"testing/synctest"
	"time"
)

// Only acceptors that answered within the span count as in contact, also in the next epoch.
func TestIsInContact(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		two := func(answered map[string]bool) bool { return len(answered) >= 2 }
		lease := New(time.Second)
		lease.RecordContact("a")
		time.Sleep(300 * time.Millisecond)
		lease.RecordContact("b")
		if !lease.IsInContact(two, 400*time.Millisecond) || lease.IsInContact(two, 200*time.Millisecond) {
			t.Error("a answered 300 ms ago, b just now: want contact within 400 ms, and none within 200 ms")
		}
		if !lease.ForNextEpoch().IsInContact(two, 400*time.Millisecond) {
			t.Error("the next epoch's lease has lost the record of who answered")
		}
		time.Sleep(200 * time.Millisecond)
		if lease.IsInContact(two, 400*time.Millisecond) {
			t.Error("a answered 500 ms ago: got contact within 400 ms, want none")
		}
	})
}
