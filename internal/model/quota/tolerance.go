package quota

import (
	"slices"

	"yarrowridge/internal/lib/faultinjection"
)

// ChargedUnits returns how many units of the tolerance are in use: the sum of all charges.
func (p *Pool) ChargedUnits() int {
	units := 0
	for _, charge := range p.Charges {
		units += charge.Units
	}
	return units
}

// MaxAllocated returns how many units may be allocated and cooling in total. While units cool, as many may be allocated above
// the limit, up to the tolerance that is not charged.
func (p *Pool) MaxAllocated(limit, tolerance int) int {
	remaining := max(0, tolerance-p.ChargedUnits())
	if faultinjection.Disabled("tolerance-charge") {
		remaining = tolerance
	}
	return min(max(limit, p.AllocatedUnits())+remaining, limit+p.CoolingUnits())
}

// AcquireWithTolerance is Acquire that may also use the tolerance. Units allocated above the limit are charged to the given
// charge ID until RemoveCharge. Each such unit adds at most one spend to those under the limit: by the time the unit can be
// spent again, the cooling unit that it stands in for is free.
func (p *Pool) AcquireWithTolerance(holder string, sequence uint64, requested, limit, tolerance int, id uint64) (units int, changed bool) {
	before := p.AllocatedUnits()
	units, changed = p.Acquire(holder, sequence, requested, p.MaxAllocated(limit, tolerance))
	if aboveLimit := p.AllocatedUnits() - max(limit, before); aboveLimit > 0 {
		p.AboveLimit += aboveLimit
		p.addToCharge(id, aboveLimit)
	}
	return units, changed
}

// addToCharge adds units to the charge of this ID, creating it if needed. It replaces the slice because copies of the pool
// share it.
func (p *Pool) addToCharge(id uint64, units int) {
	charges := slices.Clone(p.Charges)
	index := slices.IndexFunc(charges, func(charge Charge) bool { return charge.ID == id })
	if index < 0 {
		index = len(charges)
		charges = append(charges, Charge{ID: id})
	}
	charges[index].Units += units
	p.Charges = charges
}

// RemoveCharge removes a charge of the tolerance. It must not be called while some window can contain both a spend that the
// charge covers and a later one. It reports whether the pool changed.
func (p *Pool) RemoveCharge(id uint64) bool {
	before := len(p.Charges)
	p.Charges = slices.DeleteFunc(slices.Clone(p.Charges), func(charge Charge) bool { return charge.ID == id })
	return len(p.Charges) < before
}

// releaseAboveLimit updates AboveLimit after units were released: units above the limit are released first.
func (p *Pool) releaseAboveLimit(units int) { p.AboveLimit = max(0, p.AboveLimit-units) }
