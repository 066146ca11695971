package quota

import (
	"slices"
	"testing"
)

func TestDemand(t *testing.T) {
	type state struct {
		required int
		costs    []int
	}
	var d demand
	check := func(step string, want state) {
		t.Helper()
		if got := d.unevenCosts(); d.requiredUnits() != want.required || !slices.Equal(got, want.costs) {
			t.Errorf("%s: got %d required units and costs %v, want %d and %v", step, d.requiredUnits(), got, want.required, want.costs)
		}
	}
	d.observe(1)
	d.recordRejection(1)
	d.enqueue(1)
	d.enqueue(1)
	check("two requests of one unit wait", state{2, nil})
	d.dequeue(1)
	d.dequeue(1)
	check("a rejected request of one unit counts after it stopped waiting", state{1, nil})
	d.observe(30)
	d.recordRejection(30)
	d.enqueue(30)
	d.enqueue(5)
	check("uneven requests wait", state{35, []int{30, 5}})
	d.dequeue(5)
	check("the small request has stopped waiting", state{30, []int{30}})
	d.dequeue(30)
	check("a rejected uneven cost does not count once no request waits", state{0, nil})
	d.recordRejection(30)
	d.enqueue(0)
	check("a request without cost does not wait", state{0, nil})
}

// An acquire lists only the first maxWaitingCosts costs.
func TestUnevenCostsAreBounded(t *testing.T) {
	d := demand{uneven: true}
	for cost := range maxWaitingCosts + 10 {
		d.enqueue(cost + 1)
	}
	got := d.unevenCosts()
	if len(got) != maxWaitingCosts || got[0] != 1 || got[maxWaitingCosts-1] != maxWaitingCosts {
		t.Errorf("unevenCosts: got %d from %d to %d, want %d from 1", len(got), got[0], got[len(got)-1], maxWaitingCosts)
	}
}

func TestAverageCost(t *testing.T) {
	var d demand
	d.observe(10)
	if d.averageCost != 10 || !d.uneven {
		t.Errorf("after the first cost: got %g, uneven %v, want 10, true", d.averageCost, d.uneven)
	}
	d.observe(20)
	if d.averageCost != 11 {
		t.Errorf("after the second cost: got %g, want 11", d.averageCost)
	}
}
