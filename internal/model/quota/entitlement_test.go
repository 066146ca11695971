package quota

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestUsable(t *testing.T) {
	tests := []struct {
		name        string
		entitlement entitlement
		want        int
	}{
		{"limit base at the limit", entitlement{units: 7, limitBase: 10, limit: 10}, 7},
		{"limit raised since", entitlement{units: 7, limitBase: 10, limit: 20}, 7},
		{"limit halved", entitlement{units: 7, limitBase: 10, limit: 5}, 3},
		{"limit removed", entitlement{units: 7, limitBase: 10, limit: 0}, 0},
		{"more units than the limit base", entitlement{units: 12, limitBase: 10, limit: 5}, 5},
		{"product above 64 bits", entitlement{units: math.MaxInt - 1, limitBase: math.MaxInt - 1, limit: math.MaxInt / 2}, math.MaxInt / 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := test.entitlement.usable(); got != test.want {
				t.Errorf("usable: got %d, want %d", got, test.want)
			}
		})
	}
}

// A lowered limit takes effect at each holder at once, in proportion, before any unit has been returned.
func TestLoweredLimit(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		high := rapid.IntRange(10, 200).Draw(rt, "high")
		low := rapid.IntRange(1, high).Draw(rt, "low")
		var pool Pool
		var shares []*Share
		for i := range 5 {
			share := NewShare()
			share.SetLimit(high, time.Minute)
			if sequence, _, ok := share.NextAcquire(1); ok {
				allocated, _ := pool.Acquire(string(rune('a'+i)), sequence, rapid.IntRange(0, high).Draw(rt, "units"), high)
				share.Apply(sequence, allocated, max(high, pool.AllocatedUnits()))
			}
			shares = append(shares, share)
		}
		spent := 0
		for _, share := range shares {
			share.SetLimit(low, time.Minute)
			for {
				if ok, _ := share.Reserve(1); !ok {
					break
				}
				share.Commit(1)
				spent++
			}
		}
		if spent > low {
			rt.Fatalf("units spent under the lowered limit: got %d, want at most %d", spent, low)
		}
	})
}
