package quota

import "math/bits"

// entitlement tracks how many units are allocated to a share, and how many of them may be in use. The share's mutex guards it.
type entitlement struct {
	units     int // allocated to the share as of the core's last response, minus units deducted for a return since
	limitBase int // Pool.LimitBase as of the core's last response
	limit     int // the tenant's configured limit
}

// usable returns how many of the allocated units may be in use. After the limit was lowered, each holder scales its own units
// by limit / limitBase, so that the sum over all holders is within the new limit before any unit has been returned.
func (e *entitlement) usable() int {
	if e.limitBase <= e.limit {
		return e.units
	}
	high, low := bits.Mul64(uint64(min(e.units, e.limitBase)), uint64(e.limit))
	usable, _ := bits.Div64(high, low, uint64(e.limitBase)) // no overflow: the first factor is at most the divisor
	return int(usable)
}
