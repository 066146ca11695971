package quota

import (
	"testing"
	"testing/synctest"
	"time"
)

// If costs are uneven and the limit is not scarce, a share keeps idle units for a few requests, so that small requests need no
// response from the core. It keeps at most a fraction of an equal share, and returns all idle units once they are scarce.
func TestIdleUnitsOfUnevenCosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const limit, nodes, cost = 640_000, 40, 400
		share := NewShare()
		share.SetLimit(limit, 8*time.Second)
		acquire := func() int {
			sequence, units, ok := share.NextAcquire(nodes)
			if !ok {
				return 0
			}
			allocated, _, _ := share.Stats()
			share.Apply(sequence, allocated+units, limit)
			return units
		}
		acquire()
		for range 60 { // one request every two seconds: little is spent in any window
			time.Sleep(2 * time.Second)
			reserveAndCommit(t, share, cost)
			acquire()
			if sequence, _, ok := share.NextReturn(false, nodes); ok {
				allocated, _, _ := share.Stats()
				share.Apply(sequence, allocated, limit)
			}
		}
		if _, free, _ := share.Stats(); free < cost || free > limit/nodes {
			t.Errorf("idle units: got %d, want %d to %d", free, cost, limit/nodes)
		}
		sequence, _, ok := share.NextReturn(true, nodes)
		if !ok {
			t.Fatal("NextReturn while units are scarce: got no transfer, want one")
		}
		allocated, free, _ := share.Stats()
		share.Apply(sequence, allocated, limit)
		if free != 0 {
			t.Errorf("units kept while they are scarce: got %d, want 0", free)
		}
		if got := acquire(); got >= cost { // the units spent in idleSpan may still be acquired
			t.Errorf("units acquired while they are scarce: got %d, want less than %d", got, cost)
		}
	})
}

func TestIsSmall(t *testing.T) {
	tests := []struct {
		limit, nodes int
		want         bool
	}{{100, 0, true}, {0, 1, true}, {1, 1, true}, {2, 1, false}, {79, 40, true}, {80, 40, false}}
	for _, test := range tests {
		if got := IsSmall(test.limit, test.nodes); got != test.want {
			t.Errorf("IsSmall(%d, %d): got %v, want %v", test.limit, test.nodes, got, test.want)
		}
	}
}
