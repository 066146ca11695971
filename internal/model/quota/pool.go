package quota

import "yarrowridge/internal/lib/faultinjection"

// Pool is the core's state of one tenant's limit: who holds how many units. The core stores it in a form of its own. The
// zero value is a pool of which nothing is allocated. It has no lock: the core's run loop alone uses it.
type Pool struct {
	// Allocations are by holder. Once a method was called, only methods change it.
	Allocations map[string]Allocation

	// Cooling is the units of holders that are gone for good. They are not free yet, since what these holders spent last may
	// still count in a window.
	Cooling map[string]int

	AboveLimit int      // units allocated above the limit by the tolerance
	Charges    []Charge // what of the tolerance was used lately

	// held is the sum of the units of Allocations, where hasHeld is set: a large fleet has hundreds of holders, and each
	// transfer asks for the sum several times.
	held    int
	hasHeld bool
}

// AllocatedUnits is how many units are not free: held, or cooling.
func (p *Pool) AllocatedUnits() int { return p.heldUnits() + p.CoolingUnits() }

// heldUnits is how many units the holders have.
func (p *Pool) heldUnits() int {
	if !p.hasHeld {
		p.held = 0
		for _, allocation := range p.Allocations {
			p.held += allocation.Units
		}
		p.hasHeld = true
	}
	return p.held
}

// CoolingUnits is how many units holders that are gone may have spent within the window.
func (p *Pool) CoolingUnits() int {
	sum := 0
	for _, units := range p.Cooling {
		sum += units
	}
	return sum
}

// LimitBase is what holders measure their units against: the limit, or what is allocated if that is more, since the limit
// was lowered. Units above the limit by the tolerance do not count: they are there to be spent.
func (p *Pool) LimitBase(limit int) int { return max(limit, p.AllocatedUnits()-p.AboveLimit) }

// Acquire allocates a holder up to the wanted units of what is free under the limit. A sequence number that is not above
// the holder's last one changes nothing: that transfer was applied before, and its answer was lost. It returns what the
// holder has now, and reports whether the pool changed.
func (p *Pool) Acquire(holder string, sequence uint64, wanted, limit int) (units int, changed bool) {
	allocation := p.Allocations[holder]
	if sequence <= allocation.Sequence && !faultinjection.Disabled("draw-turn") {
		return allocation.Units, false
	}
	allocation.Sequence = sequence
	if free := limit - p.AllocatedUnits(); free > 0 && wanted > 0 {
		allocation.Units += min(free, wanted)
	}
	p.setAllocation(holder, allocation)
	return allocation.Units, true
}

// Return takes back units that the holder has already struck off. Sequence numbers and results are those of Acquire.
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
	p.held += allocation.Units - p.Allocations[holder].Units // without effect until hasHeld is set
	p.Allocations[holder] = allocation
}

// StartCooling moves the units of a holder that is gone for good to cooling: it spends no more, but what it spent last may
// still count in a window. It reports whether the pool changed.
func (p *Pool) StartCooling(holder string) bool {
	allocation, ok := p.Allocations[holder]
	if !ok {
		return false
	}
	delete(p.Allocations, holder)
	p.held -= allocation.Units
	if allocation.Units > 0 {
		if p.Cooling == nil {
			p.Cooling = map[string]int{}
		}
		p.Cooling[holder] += allocation.Units
	}
	return true
}

// EndCooling frees the cooling units of a holder. The caller has waited for a window since the holder's last possible spend.
// It reports whether the pool changed.
func (p *Pool) EndCooling(holder string) bool {
	units, ok := p.Cooling[holder]
	delete(p.Cooling, holder)
	p.releaseAboveLimit(units)
	return ok
}
