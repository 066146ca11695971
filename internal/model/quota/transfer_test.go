package quota

import (
	"testing"
	"testing/synctest"
	"time"
)

// Sequence numbers increase by one, and only the transfer in flight can be completed, once.
func TestTransferSequence(t *testing.T) {
	var transfers transferSequence
	now := time.Unix(1, 0)
	if transfers.complete(0, now) {
		t.Error("complete without a transfer: got true, want false")
	}
	for want := uint64(1); want <= 3; want++ {
		if got := transfers.start(true); got != want {
			t.Errorf("start: got sequence number %d, want %d", got, want)
		}
		if transfers.complete(want-1, now) || transfers.complete(want+1, now) {
			t.Errorf("complete of a sequence number other than %d: got true, want false", want)
		}
		if !transfers.complete(want, now) || transfers.complete(want, now) {
			t.Errorf("complete of %d: want true once", want)
		}
	}
}

// While a transfer is in flight, no other starts, and a response to an earlier one is ignored.
func TestApplyOnlyTransferInFlight(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		share := newShareWith(t, 4, 10, time.Second)
		share.Enqueue(6)
		sequence, units, ok := share.NextAcquire(1)
		if !ok || sequence != 2 || units != 2 {
			t.Fatalf("NextAcquire: got %d, %d, %v, want 2, 2, true", sequence, units, ok)
		}
		if _, _, ok := share.NextAcquire(1); ok {
			t.Error("NextAcquire while a transfer is in flight: got one, want none")
		}
		if _, _, ok := share.NextReturn(true, 1); ok {
			t.Error("NextReturn while a transfer is in flight: got one, want none")
		}
		share.Apply(1, 9, 10)
		if allocated, _, _ := share.Stats(); allocated != 4 || !share.TransferInFlight() {
			t.Errorf("after a response to an earlier transfer: got %d allocated, in flight %v, want 4, true", allocated, share.TransferInFlight())
		}
		share.Apply(sequence, 6, 10)
		if allocated, _, _ := share.Stats(); allocated != 6 || share.TransferInFlight() {
			t.Errorf("after the response: got %d allocated, in flight %v, want 6, false", allocated, share.TransferInFlight())
		}
	})
}

// After an acquire that got no units, the next one waits for exhaustedBackoff, and the limit counts as scarce.
func TestBackoffAfterExhaustion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		share := newShareWith(t, 4, 10, time.Second)
		if share.Scarce() {
			t.Error("Scarce at first: got true, want false")
		}
		share.Enqueue(6)
		sequence, _, _ := share.NextAcquire(1)
		share.Apply(sequence, 4, 10)
		if _, _, ok := share.NextAcquire(1); ok || !share.Scarce() {
			t.Errorf("right after an acquire that got no units: got transfer %v, scarce %v, want false, true", ok, share.Scarce())
		}
		time.Sleep(exhaustedBackoff)
		if _, _, ok := share.NextAcquire(1); !ok {
			t.Error("NextAcquire after the backoff: got no transfer, want one")
		}
		time.Sleep(scarceTTL)
		if share.Scarce() {
			t.Error("Scarce after its TTL: got true, want false")
		}
	})
}

// Returned units are deducted from the share before the core responds, and units in use are never returned.
func TestReturnDeductsUnitsFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		share := newShareWith(t, 8, 10, time.Minute)
		reserveAndCommit(t, share, 3)
		time.Sleep(returnInterval)
		_, units, ok := share.NextReturn(true, 10)
		if !ok || units != 5 {
			t.Fatalf("NextReturn: got %d, %v, want 5, true", units, ok)
		}
		if allocated, free, spent := share.Stats(); allocated != 3 || free != 0 || spent != 3 {
			t.Errorf("before the response: got %d allocated, %d free, %d spent, want 3, 0, 3", allocated, free, spent)
		}
	})
}
