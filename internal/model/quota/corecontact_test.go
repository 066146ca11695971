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

// A holder in contact with the core can spend units indefinitely, even without any transfer. A holder that has lost contact
// stops spending after ContactTTL.
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

// A response wakes the goroutines that wait for one. After a response that the pool is exhausted, the share waits before the
// next acquire.
func TestRecordResponse(t *testing.T) {
	start := time.Unix(0, 0)
	contact := newCoreContact(start)
	if contact.hasResponded() || contact.inBackoff(start) || contact.isLost(start.Add(ContactTTL)) {
		t.Fatalf("new contact: got %+v, want no response, no backoff and no loss of contact", contact)
	}
	if !contact.isLost(start.Add(ContactTTL + 1)) {
		t.Error("isLost after the TTL: got false, want true")
	}
	next := contact.nextResponse
	contact.recordResponse(start.Add(time.Second), false)
	select {
	case <-next:
	default:
		t.Error("nextResponse after a response: got open, want closed")
	}
	if !contact.hasResponded() || contact.inBackoff(start.Add(time.Second)) || contact.isLost(start.Add(time.Second+ContactTTL)) {
		t.Errorf("after a response: got %+v, want contact and no backoff", contact)
	}
	exhaustedAt := start.Add(2 * time.Second)
	contact.recordResponse(exhaustedAt, true)
	for _, test := range []struct {
		after                time.Duration
		inBackoff, exhausted bool
	}{{0, true, true}, {exhaustedBackoff - 1, true, true}, {exhaustedBackoff, false, true}, {time.Second - 1, false, true}, {time.Second, false, false}} {
		now := exhaustedAt.Add(test.after)
		if got := contact.inBackoff(now); got != test.inBackoff {
			t.Errorf("inBackoff %s after exhaustion: got %v, want %v", test.after, got, test.inBackoff)
		}
		if got := contact.exhaustedWithin(now, time.Second); got != test.exhausted {
			t.Errorf("exhaustedWithin %s after exhaustion: got %v, want %v", test.after, got, test.exhausted)
		}
	}
}
