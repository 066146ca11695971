package routing

import "time"

// QuotaUnit is the unit in which a tenant's quota is counted.
type QuotaUnit int

// Units of quotas.
const (
	CountRequests QuotaUnit = iota // each request costs one unit
	CountTokens                    // a request costs its input tokens plus its maximum of output tokens
)

// Cost returns how many units of the tenant's quota a request costs. known reports whether the request states its tokens;
// if it does not, tokens is ignored.
func (t *Tenant) Cost(tokens int, known bool) int {
	switch {
	case t.Unit == CountRequests:
		return 1
	case known:
		return tokens
	}
	return t.UncachedTokens
}

// QuotaName returns the name under which the tenant's quota is tracked. Each unit has its own quota: if a configuration
// changes the unit, what was spent in the old unit cannot be converted to the new one.
func (t *Tenant) QuotaName() string {
	if t.Unit == CountTokens {
		return "tokens\x00" + t.Name
	}
	return t.Name
}

// roundingSlack compensates for floating-point error, which could make a sum that is a whole number truncate to the one below.
const roundingSlack = 1e-9

// quotaPeriods is the number of periods into which the window of a quota is divided if requests are counted. A third of the
// limit in each third of the window complies with the limit of the window, and whatever a failed router may have spent
// expires after a third of the window. If tokens are counted, the window is not divided: one request may cost a large part
// of a third, and as costs are heavy-tailed, expensive and cheap thirds balance out only over the full window.
const quotaPeriods = 3

// QuotaRule defines how a tenant's quota follows from its rate and burst.
type QuotaRule struct {
	Window    time.Duration // in any window at most rate x window + burst units are spent
	Overshoot float64       // fraction of that limit by which a window may exceed it
	Allowance float64       // units by which a window may exceed it in addition
}

// Quota is the number of units that a tenant may spend in any period.
type Quota struct {
	Units     int
	Period    time.Duration
	Tolerance int // additional units in any window while it is unknown what a failed router has spent
}

// toleranceFraction is the fraction of the permitted excess of a window that Quota.Tolerance uses.
const toleranceFraction = 0.99

// For returns a tenant's quota. The tenant's rate must be set.
func (q QuotaRule) For(t *Tenant) Quota {
	limit := t.Rate*q.Window.Seconds() + t.Burst + roundingSlack
	tolerance := int(toleranceFraction * (limit*q.Overshoot + q.Allowance))
	if t.Unit == CountTokens || limit < quotaPeriods*2 {
		return Quota{Units: max(1, int(limit)), Period: q.Window, Tolerance: tolerance}
	}
	return Quota{Units: int(limit / quotaPeriods), Period: q.Window / quotaPeriods, Tolerance: tolerance}
}
