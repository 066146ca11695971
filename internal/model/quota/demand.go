package quota

import "slices"

const (
	maxWaitingCosts   = 64  // maximum number of costs that an acquire lists
	averageCostWeight = 0.1 // weight of the newest cost in the moving average
)

// demand tracks how many units the requests at one share need. The share's mutex guards it.
type demand struct {
	unmetCost    int     // largest cost rejected since the core's last response; 0 if none
	waitingUnits int     // sum of waitingCosts
	waitingCosts []int   // costs of the requests that wait for units, in order of arrival
	uneven       bool    // whether any request so far cost more than one unit
	averageCost  float64 // moving average; 0 before the first request
}

// observe updates the statistics with a request's cost.
func (d *demand) observe(cost int) {
	d.uneven = d.uneven || cost > 1
	if d.averageCost == 0 {
		d.averageCost = float64(cost)
	}
	d.averageCost += averageCostWeight * (float64(cost) - d.averageCost)
}

// recordRejection records that there were too few free units for a request of this cost.
func (d *demand) recordRejection(cost int) { d.unmetCost = max(d.unmetCost, cost) }

// enqueue adds a waiting request. A request that costs nothing does not wait.
func (d *demand) enqueue(cost int) {
	if cost == 0 {
		d.clearUnmetCost()
		return
	}
	d.waitingUnits += cost
	d.waitingCosts = append(d.waitingCosts, cost)
}

// dequeue removes one waiting request of this cost.
func (d *demand) dequeue(cost int) {
	d.waitingUnits -= cost
	if index := slices.Index(d.waitingCosts, cost); index >= 0 {
		d.waitingCosts = slices.Delete(d.waitingCosts, index, index+1)
	}
	d.clearUnmetCost()
}

// clearUnmetCost clears the rejected cost if costs are uneven and no request waits: units acquired for it would be idle here.
func (d *demand) clearUnmetCost() {
	if d.uneven && d.waitingUnits == 0 {
		d.unmetCost = 0
	}
}

// requiredUnits returns how many free units are needed now: for all waiting requests, or for the largest rejected one if that
// is more.
func (d *demand) requiredUnits() int { return max(d.unmetCost, d.waitingUnits) }

// unevenCosts returns the costs of the first waiting requests, at most maxWaitingCosts; nil if all requests so far cost one
// unit.
func (d *demand) unevenCosts() []int {
	if !d.uneven {
		return nil
	}
	return slices.Clone(d.waitingCosts[:min(len(d.waitingCosts), maxWaitingCosts)])
}
