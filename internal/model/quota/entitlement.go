package quota

import "math/bits"

// entitlement is how many units a share holds, and how many of them may be in use. The share's mutex guards it.
type entitlement struct {
	units     int // held, by the core's last answer less what was struck off since
	limitBase int // what units are measured against: what all holders had, or the limit if larger, at the core's last answer
	limit     int // the tenant's limit as configured now
}

// usable is how many of the held units may be in use. Under a lowered limit each holder cuts its own units in
// proportion, so that the sum is within the limit before any unit was returned.
func (e *entitlement) usable() int {
	if e.limitBase <= e.limit {
		return e.units
	}
	high, low := bits.Mul64(uint64(min(e.units, e.limitBase)), uint64(e.limit))
	usable, _ := bits.Div64(high, low, uint64(e.limitBase)) // does not overflow: the first factor is at most the divisor
	return int(usable)
}
