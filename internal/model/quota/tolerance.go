package quota

import (
	"slices"

	"yarrowridge/internal/lib/faultinjection"
)

// ChargedUnits is how much of the tolerance was used lately.
func (p *Pool) ChargedUnits() int {
	units := 0
	for _, charge := range p.Charges {
		units += charge.Units
	}
	return units
}

// MaxAllocated is how many units may be allocated under a limit: while some cool, as many again above it, as far as the
// tolerance has not been used lately.
func (p *Pool) MaxAllocated(limit, tolerance int) int {
	left := max(0, tolerance-p.ChargedUnits())
	if faultinjection.Disabled("tolerance-charge") {
		left = tolerance
	}
	return min(max(limit, p.AllocatedUnits())+left, limit+p.CoolingUnits())
}

// AcquireWithTolerance is Acquire where the tolerance may be used as well: what is allocated above the limit counts as a
// charge of the given ID, until RemoveCharge. Each unit of it adds one spend at most to the spends under the limit: the
// next spend of the unit comes when the unit that cooled is free.
func (p *Pool) AcquireWithTolerance(holder string, sequence uint64, wanted, limit, tolerance int, id uint64) (units int, changed bool) {
	before := p.AllocatedUnits()
	units, changed = p.Acquire(holder, sequence, wanted, p.MaxAllocated(limit, tolerance))
	if above := p.AllocatedUnits() - max(limit, before); above > 0 {
		p.AboveLimit += above
		p.charge(id, above)
	}
	return units, changed
}

// charge adds units to a charge. The slice is replaced, not changed in place: copies of the pool share it.
func (p *Pool) charge(id uint64, units int) {
	charges := slices.Clone(p.Charges)
	index := slices.IndexFunc(charges, func(charge Charge) bool { return charge.ID == id })
	if index < 0 {
		index = len(charges)
		charges = append(charges, Charge{ID: id})
	}
	charges[index].Units += units
	p.Charges = charges
}

// RemoveCharge ends a charge of the tolerance, once no window holds a spend that it stands for. It reports whether the pool
// changed.
func (p *Pool) RemoveCharge(id uint64) bool {
	before := len(p.Charges)
	p.Charges = slices.DeleteFunc(slices.Clone(p.Charges), func(charge Charge) bool { return charge.ID == id })
	return len(p.Charges) < before
}

// releaseAboveLimit counts units that are allocated no longer. Those above the limit go first.
func (p *Pool) releaseAboveLimit(units int) { p.AboveLimit = max(0, p.AboveLimit-units) }
