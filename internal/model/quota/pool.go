package quota

import "yarrowridge/internal/lib/faultinjection"

// Pool is the core's state of one tenant's limit: how many units are allocated to each holder. The core stores it in a separate
// encoding. The zero value is a pool without allocations. A Pool is not safe for concurrent use: only the core's run loop uses
// it.
type Pool struct {
	// Allocations is keyed by holder. Only the methods may change it once any of them was called, since they cache its sum.
	Allocations map[string]Allocation

	// Cooling holds the units of holders that are gone for good, by holder. They are not free yet, since the last spends of
	// these holders may still count in some window.
	Cooling map[string]int

	AboveLimit int      // units allocated above the limit under the tolerance
	Charges    []Charge // recent uses of the tolerance

	// activeSum caches the sum of the units in Allocations; it is valid if activeSumValid is set. A large fleet has hundreds
	// of holders, and each transfer needs the sum several times.
	activeSum      int
	activeSumValid bool
}

// AllocatedUnits returns how many units are not free: allocated to a holder, or cooling.
func (p *Pool) AllocatedUnits() int { return p.activeUnits() + p.CoolingUnits() }

// activeUnits returns how many units are allocated to holders, without the cooling ones.
func (p *Pool) activeUnits() int {
	if !p.activeSumValid {
		p.activeSum = 0
		for _, allocation := range p.Allocations {
			p.activeSum += allocation.Units
		}
		p.activeSumValid = true
	}
	return p.activeSum
}

// CoolingUnits returns how many units are cooling: holders that are gone may have spent them within the window.
func (p *Pool) CoolingUnits() int {
	sum := 0
	for _, units := range p.Cooling {
		sum += units
	}
	return sum
}

// LimitBase returns the total that a holder's units are a fraction of: the limit or, if more units than that are still
// allocated after the limit was lowered, the allocated units. A holder scales its usable units by limit / LimitBase. Units
// above the limit under the tolerance are left out, so that they don't reduce what holders may spend.
func (p *Pool) LimitBase(limit int) int { return max(limit, p.AllocatedUnits()-p.AboveLimit) }

// Acquire allocates up to the requested number of units to a holder, as far as units are free under the limit. A sequence
// number that is not above the holder's last one changes nothing: that transfer was applied before, and its response was lost.
// It returns the units now allocated to the holder, and reports whether the pool changed.
func (p *Pool) Acquire(holder string, sequence uint64, requested, limit int) (units int, changed bool) {
	allocation := p.Allocations[holder]
	if sequence <= allocation.Sequence && !faultinjection.Disabled("draw-turn") {
		return allocation.Units, false
	}
	allocation.Sequence = sequence
	if free := limit - p.AllocatedUnits(); free > 0 && requested > 0 {
		allocation.Units += min(free, requested)
	}
	p.setAllocation(holder, allocation)
	return allocation.Units, true
}

// Return frees units that the holder has already deducted from its share. Sequence numbers and results are as for Acquire.
func (p *Pool) Return(holder string, sequence uint64, returned int) (units int, changed bool) {
	allocation := p.Allocations[holder]
	if sequence <= allocation.Sequence {
		return allocation.Units, false
	}
	allocation.Sequence = sequence
	returned = min(max(returned, 0), allocation.Units)
	allocation.Units -= returned
	p.releaseAboveLimit(returned)
	p.setAllocation(holder, allocation)
	return allocation.Units, true
}

func (p *Pool) setAllocation(holder string, allocation Allocation) {
	if p.Allocations == nil {
		p.Allocations = map[string]Allocation{}
	}
	p.activeSum += allocation.Units - p.Allocations[holder].Units // overwritten by activeUnits if not valid yet
	p.Allocations[holder] = allocation
}

// StartCooling moves the units of a holder that is gone for good to Cooling: the holder spends no more, but its last spends may
// still count in some window. It reports whether the pool changed.
func (p *Pool) StartCooling(holder string) bool {
	allocation, ok := p.Allocations[holder]
	if !ok {
		return false
	}
	delete(p.Allocations, holder)
	p.activeSum -= allocation.Units
	if allocation.Units > 0 {
		if p.Cooling == nil {
			p.Cooling = map[string]int{}
		}
		p.Cooling[holder] += allocation.Units
	}
	return true
}

// EndCooling frees the cooling units of a holder. It must not be called until a window has passed since the holder's last
// possible spend. It reports whether the pool changed.
func (p *Pool) EndCooling(holder string) bool {
	units, ok := p.Cooling[holder]
	delete(p.Cooling, holder)
	p.releaseAboveLimit(units)
	return ok
}
