package quota

import "testing"

// A transfer is applied once, and sequence numbers never decrease.
func TestPoolAppliesSequenceOnce(t *testing.T) {
	const limit = 10
	var pool Pool
	steps := []struct {
		name        string
		sequence    uint64
		units       int
		isReturn    bool
		wantUnits   int
		wantChanged bool
	}{
		{"acquire", 1, 4, false, 4, true},
		{"the same acquire again", 1, 4, false, 4, false},
		{"more than is free", 2, 100, false, 10, true},
		{"return", 3, 3, true, 7, true},
		{"the same return again", 3, 3, true, 7, false},
		{"an earlier sequence number", 2, 3, false, 7, false},
		{"return of more than is allocated", 5, 100, true, 0, true},
		{"return of a negative number", 6, -3, true, 0, true},
		{"acquire of nothing", 7, 0, false, 0, true},
	}
	for _, step := range steps {
		apply := func() (int, bool) { return pool.Acquire("a", step.sequence, step.units, limit) }
		if step.isReturn {
			apply = func() (int, bool) { return pool.Return("a", step.sequence, step.units) }
		}
		if units, changed := apply(); units != step.wantUnits || changed != step.wantChanged {
			t.Errorf("%s: got %d, %v, want %d, %v", step.name, units, changed, step.wantUnits, step.wantChanged)
		}
	}
}

// The units of a holder that is gone are not free until their cooling ends.
func TestPoolCooling(t *testing.T) {
	const limit = 10
	var pool Pool
	pool.Acquire("a", 1, 6, limit)
	pool.Acquire("b", 1, 2, limit)
	pool.Acquire("idle", 1, 0, limit)
	if !pool.StartCooling("a") || pool.StartCooling("a") || !pool.StartCooling("idle") {
		t.Error("StartCooling: want true once for each holder")
	}
	if got, allocated := pool.CoolingUnits(), pool.AllocatedUnits(); got != 6 || allocated != 8 {
		t.Errorf("while cooling: got %d cooling, %d allocated, want 6, 8", got, allocated)
	}
	if got, _ := pool.Acquire("b", 2, 10, limit); got != 4 {
		t.Errorf("Acquire while units cool: got %d, want 4", got)
	}
	if pool.EndCooling("idle") || !pool.EndCooling("a") || pool.EndCooling("a") {
		t.Error("EndCooling: want true once for the holder that had units")
	}
	if got, _ := pool.Acquire("b", 3, 10, limit); got != limit {
		t.Errorf("Acquire after cooling: got %d, want %d", got, limit)
	}
}

// If a limit is lowered below the allocated units, these become the limit base.
func TestLimitBase(t *testing.T) {
	var pool Pool
	pool.Acquire("a", 1, 8, 10)
	for _, test := range []struct{ limit, want int }{{10, 10}, {8, 8}, {5, 8}} {
		if got := pool.LimitBase(test.limit); got != test.want {
			t.Errorf("LimitBase(%d): got %d, want %d", test.limit, got, test.want)
		}
	}
}
