package lease

import (
	"testing"
	"testing/synctest"
	"time"
)

// Only acceptors that responded within the window count as in contact. The lease of the next epoch keeps the contact times.
func TestIsInContact(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		atLeastTwo := func(acceptors map[string]bool) bool { return len(acceptors) >= 2 }
		lease := New(time.Second)
		lease.RecordContact("a")
		time.Sleep(300 * time.Millisecond)
		lease.RecordContact("b")
		if !lease.IsInContact(atLeastTwo, 400*time.Millisecond) || lease.IsInContact(atLeastTwo, 200*time.Millisecond) {
			t.Error("a responded 300 ms ago, b just now: want contact within 400 ms, and none within 200 ms")
		}
		if !lease.ForNextEpoch().IsInContact(atLeastTwo, 400*time.Millisecond) {
			t.Error("the next epoch's lease has lost the contact times")
		}
		time.Sleep(200 * time.Millisecond)
		if lease.IsInContact(atLeastTwo, 400*time.Millisecond) {
			t.Error("a responded 500 ms ago: got contact within 400 ms, want none")
		}
	})
}
