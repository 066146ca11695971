package quota

import "slices"

const (
	maxWaitingCosts   = 64  // how many costs an acquire lists one by one
	averageCostWeight = 0.1 // of the newest cost in the moving average
)

// demand estimates how many units the requests at one share want. The share's mutex guards it.
type demand struct {
	unmetCost    int     // the largest cost that was lately rejected; 0 once the core has answered
	waitingUnits int     // sum of waitingCosts
	waitingCosts []int   // of the requests that wait for units now, in the order in which they came
	uneven       bool    // some request cost more than a unit
	averageCost  float64 // moving average; 0: no request yet
}

// observe counts a request's cost.
func (d *demand) observe(cost int) {
	d.uneven = d.uneven || cost > 1
	if d.averageCost == 0 {
		d.averageCost = float64(cost)
	}
	d.averageCost += averageCostWeight * (float64(cost) - d.averageCost)
}

// reject notes that there were too few units for a cost.
func (d *demand) reject(cost int) { d.unmetCost = max(d.unmetCost, cost) }

// enqueue counts a request that waits for units.
func (d *demand) enqueue(cost int) {
	if cost == 0 {
		d.forgetUnmet()
		return
	}
	d.waitingUnits += cost
	d.waitingCosts = append(d.waitingCosts, cost)
}

// dequeue counts a request of this cost as waiting no longer.
func (d *demand) dequeue(cost int) {
	d.waitingUnits -= cost
	if index := slices.Index(d.waitingCosts, cost); index >= 0 {
		d.waitingCosts = slices.Delete(d.waitingCosts, index, index+1)
	}
	d.forgetUnmet()
}

// forgetUnmet forgets a rejected uneven cost once nobody waits: its units would lie idle here.
func (d *demand) forgetUnmet() {
	if d.uneven && d.waitingUnits == 0 {
		d.unmetCost = 0
	}
}

// wanted is how many units requests want at once.
func (d *demand) wanted() int { return max(d.unmetCost, d.waitingUnits) }

// unevenCosts lists the first costs that wait; nil where each costs a unit.
func (d *demand) unevenCosts() []int {
	if !d.uneven {
		return nil
	}
	return slices.Clone(d.waitingCosts[:min(len(d.waitingCosts), maxWaitingCosts)])
}
