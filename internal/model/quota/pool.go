// Package share splits a tenant's quota into unit shares. The shares of all holders never sum to
// more than the quota, a spent unit comes back to its holder after the window, and only unspent
// units move, giver first: so no rolling window sees more than the quota, whoever is cut off.
package quota

import (
	"slices"

	"yarrowridge/internal/lib/faultinjection"
)

// AllocatedUnits is how many units are not free: held, or cooling.
func (p *Pool) AllocatedUnits() int {
	n := 0
	for _, h := range p.Held {
		n += h.Units
	}
	return n + p.CoolingUnits()
}

// CoolingUnits is how many units holders that are gone may have spent within the window.
func (p *Pool) CoolingUnits() int {
	n := 0
	for _, c := range p.Cooling {
		n += c
	}
	return n
}

// ChargedUnits is how much of the tolerance was drawn lately.
func (p *Pool) ChargedUnits() int {
	n := 0
	for _, c := range p.Charges {
		n += c.Units
	}
	return n
}

// MaxAllocated is how many units may be out under a quota: while some cool, as many again on top of it, as far as the
// tolerance that the limit allows has not been drawn lately.
func (p *Pool) MaxAllocated(quota, tolerance int) int {
	left := max(0, tolerance-p.ChargedUnits())
	return min(max(quota, p.AllocatedUnits())+left, quota+p.CoolingUnits())
}

// Limit is what holders measure their units against: the quota, or what is out if that is more, since the quota
// was lowered. What is out by the tolerance does not count: it is held to be spent.
func (p *Pool) Limit(quota int) int { return max(quota, p.AllocatedUnits()-p.AboveLimit) }

// AcquireWithTolerance is Acquire where the tolerance may be used as well: what is drawn above the quota counts as a charge of
// the given ID, until Uncharge. Each unit of it adds one spend at most to the spends under the quota: the next
// spend of the unit comes when the unit that cooled is free.
func (p *Pool) AcquireWithTolerance(who string, turn uint64, want, quota, tolerance int, id uint64) (int, bool) {
	before := p.AllocatedUnits()
	have, changed := p.Acquire(who, turn, want, p.MaxAllocated(quota, tolerance))
	if above := p.AllocatedUnits() - max(quota, before); above > 0 {
		p.AboveLimit += above
		p.charge(id, above)
	}
	return have, changed
}

func (p *Pool) charge(id uint64, units int) {
	charges := slices.Clone(p.Charges)
	at := slices.IndexFunc(charges, func(c Charge) bool { return c.ID == id })
	if at < 0 {
		at = len(charges)
		charges = append(charges, Charge{ID: id})
	}
	charges[at].Units += units
	p.Charges = charges
}

// RemoveCharge ends a charge of the tolerance, once no window holds a spend that it stands for.
func (p *Pool) RemoveCharge(id uint64) bool {
	was := len(p.Charges)
	p.Charges = slices.DeleteFunc(slices.Clone(p.Charges), func(c Charge) bool { return c.ID == id })
	return len(p.Charges) < was
}

// less notes that so many units are out no longer. Those above the quota go first.
func (p *Pool) less(units int) { p.AboveLimit = max(0, p.AboveLimit-units) }

// Acquire gives a holder up to want units of what is free under the quota. A turn already taken
// changes nothing: the answer to it was lost. It returns what the holder has now, and whether
// the pool changed.
func (p *Pool) Acquire(who string, turn uint64, want, quota int) (int, bool) {
	h := p.Held[who]
	if turn <= h.Sequence && !faultinjection.Disabled("draw-turn") {
		return h.Units, false
	}
	h.Sequence = turn
	if free := quota - p.AllocatedUnits(); free > 0 && want > 0 {
		h.Units += min(free, want)
	}
	p.set(who, h)
	return h.Units, true
}

// Return takes back units that the holder has already struck off.
func (p *Pool) Return(who string, turn uint64, units int) (int, bool) {
	h := p.Held[who]
	if turn <= h.Sequence {
		return h.Units, false
	}
	h.Sequence = turn
	given := min(max(units, 0), h.Units)
	h.Units -= given
	p.less(given)
	p.set(who, h)
	return h.Units, true
}

func (p *Pool) set(who string, h Allocation) {
	if p.Held == nil {
		p.Held = map[string]Allocation{}
	}
	p.Held[who] = h
}

// StartCooling moves a holder's units to cooling: it can spend no more, but what it spent last may
// still count in a window.
func (p *Pool) StartCooling(who string) bool {
	h, ok := p.Held[who]
	if !ok {
		return false
	}
	delete(p.Held, who)
	if h.Units > 0 {
		if p.Cooling == nil {
			p.Cooling = map[string]int{}
		}
		p.Cooling[who] += h.Units
	}
	return true
}

// EndCooling frees a retired holder's units, a window after the retirement.
func (p *Pool) EndCooling(who string) bool {
	units, ok := p.Cooling[who]
	delete(p.Cooling, who)
	p.less(units)
	return ok
}
