package routing

import "time"

// QuotaUnit is what a tenant's quota counts.
type QuotaUnit int

// The units of quotas.
const (
	CountRequests QuotaUnit = iota // each request counts one
	CountTokens                    // a request counts the tokens that go in and the most that may come out
)

// Cost is how many units of its quota a request of the tenant counts. told: the request says how many tokens it has.
func (t *Tenant) Cost(tokens int, told bool) int {
	switch {
	case t.Unit == CountRequests:
		return 1
	case told:
		return tokens
	}
	return t.UncachedTokens
}

// QuotaName names the tenant's quota. Each unit has a quota of its own: when a configuration changes the unit, what was
// spent in the one says nothing about the other.
func (t *Tenant) QuotaName() string {
	if t.Unit == CountTokens {
		return "tokens\x00" + t.Name
	}
	return t.Name
}

// roundingSlack keeps a sum of fractions that comes to a whole number from being rounded to the one below.
const roundingSlack = 1e-9

// quotaPeriods is into how many periods the window of a quota is cut where requests are counted. A third of the requests in
// each third of the window keeps the whole window's limit, and what a router that died may have spent is known to be
// past after a third of the time. Where tokens are counted the window stays whole: one request may cost a large part of
// a third, and what the heavy tail of the costs uses in one third it leaves in the next.
const quotaPeriods = 3

// QuotaRule tells how tenants' rates are judged.
type QuotaRule struct {
	Window    time.Duration // any window sees at most rate x window + burst units
	Overshoot float64       // part of that by which a window may exceed it
	Allowance float64       // and units on top
}

// Quota is how many units of a tenant any period may see.
type Quota struct {
	Units     int
	Period    time.Duration
	Tolerance int // units on top in any window, while it is not known what a router that died has spent
}

// toleranceUse is the part of the overshoot that may be used in any window.
const toleranceUse = 0.99

// For gives a tenant's quota. Its rate must be set.
func (q QuotaRule) For(t *Tenant) Quota {
	whole := t.Rate*q.Window.Seconds() + t.Burst + roundingSlack
	tolerance := int(toleranceUse * (whole*q.Overshoot + q.Allowance))
	if t.Unit == CountTokens || whole < quotaPeriods*2 {
		return Quota{Units: max(1, int(whole)), Period: q.Window, Tolerance: tolerance}
	}
	return Quota{Units: int(whole / quotaPeriods), Period: q.Window / quotaPeriods, Tolerance: tolerance}
}
