package quota

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"yarrowridge/internal/lib/daemon"
)

// A holder that hears the core spends on for as long as it likes, also without a transfer; one that does not stops once
// ContactTTL is over.
func TestContactTTL(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		var connected atomic.Bool
		connected.Store(true)
		var mu sync.Mutex
		var pool Pool
		shares := NewShares(daemon.Context{Context: ctx}, Config{
			Transfer: func(_ context.Context, transfer Transfer) (int, int, error) {
				mu.Lock()
				defer mu.Unlock()
				if !connected.Load() {
					return 0, 0, errors.New("partitioned")
				}
				allocated, _ := pool.Acquire("a", transfer.Sequence, transfer.Units, 100)
				return allocated, max(100, pool.AllocatedUnits()), nil
			},
			Nodes: func() int { return 1 }, ScarceTenants: func() []string { return nil },
			Rules:     func() []Rule { return []Rule{{"t", 100, 10 * time.Second}} },
			InContact: connected.Load})
		go shares.Run()
		checkSpend := func(when string, want bool) {
			t.Helper()
			got, _ := shares.Reserve(ctx, "t", 1)
			if got {
				shares.For("t").Commit(1)
			}
			if got != want {
				t.Errorf("Reserve %s: got %v, want %v", when, got, want)
			}
		}
		time.Sleep(time.Second)
		checkSpend("at first", true)
		time.Sleep(ContactTTL + time.Hour)
		checkSpend("in contact, after the TTL", true)
		connected.Store(false)
		time.Sleep(ContactTTL - time.Hour)
		checkSpend("without contact, within the TTL", true)
		time.Sleep(2 * time.Hour)
		checkSpend("without contact, after the TTL", false)
	})
}

// An answer wakes who waits for one, and one with too few units keeps the share from asking again at once.
func TestRecordResponse(t *testing.T) {
	start := time.Unix(0, 0)
	contact := newCoreContact(start)
	if contact.hasResponded() || contact.inBackoff(start) || contact.isLost(start.Add(ContactTTL)) {
		t.Fatalf("new contact: got %+v, want neither an answer nor a backoff nor a loss", contact)
	}
	if !contact.isLost(start.Add(ContactTTL + 1)) {
		t.Error("isLost after the TTL: got false, want true")
	}
	next := contact.nextResponse
	contact.recordResponse(start.Add(time.Second), false)
	select {
	case <-next:
	default:
		t.Error("nextAnswer after an answer: got open, want closed")
	}
	if !contact.hasResponded() || contact.inBackoff(start.Add(time.Second)) || contact.isLost(start.Add(time.Second+ContactTTL)) {
		t.Errorf("after an answer: got %+v, want contact and no backoff", contact)
	}
	exhaustedAt := start.Add(2 * time.Second)
	contact.recordResponse(exhaustedAt, true)
	for _, test := range []struct {
		after                time.Duration
		inBackoff, exhausted bool
	}{{0, true, true}, {exhaustedBackoff - 1, true, true}, {exhaustedBackoff, false, true}, {time.Second - 1, false, true}, {time.Second, false, false}} {
		now := exhaustedAt.Add(test.after)
		if got := contact.inBackoff(now); got != test.inBackoff {
			t.Errorf("backsOff %s after too few units: got %v, want %v", test.after, got, test.inBackoff)
		}
		if got := contact.exhaustedWithin(now, time.Second); got != test.exhausted {
			t.Errorf("wasExhausted %s after too few units: got %v, want %v", test.after, got, test.exhausted)
		}
	}
}
