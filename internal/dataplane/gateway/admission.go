package gateway

import "context"

// quotaWaitPercent is the part of a request's time, in percent, that it may wait for units of its quota from a core that
// does not answer: while the core changes its primary a late response is worth more than a rejection.
const quotaWaitPercent = 40

// admit reserves units of the tenant's quota, applies the output allowance and reads the body, in this order.
func (r *request) admit() error {
	if err := r.reserveQuota(); err != nil {
		return err
	}
	err := r.applyAllowance()
	if err == nil {
		err = r.readBody()
	}
	if err != nil {
		r.releaseQuota()
	}
	return err
}

// quotaReservation is what a request has reserved of a quota. A later configuration may count in another unit: the
// reservation stays what it was when the request was admitted.
type quotaReservation struct {
	name     string
	units    int
	reserved bool // and neither spent nor released
}

// reserveQuota reserves what the request costs, where its tenant has a limit.
func (r *request) reserveQuota() error {
	if r.tenant == nil || r.tenant.Rate <= 0 {
		return nil
	}
	waitUntil := r.received.Add(r.deadline.Sub(r.received) * quotaWaitPercent / 100)
	ctx, cancel := context.WithDeadline(r.client.Context(), waitUntil)
	defer cancel()
	reservation := quotaReservation{name: r.tenant.QuotaName(),
		units: r.tenant.Cost(r.meta.InputTokens+r.meta.OutputTokens, r.meta.TokensKnown)}
	ok, retryAfter := r.gateway.Quotas.Reserve(ctx, reservation.name, reservation.units)
	if !ok && r.gateway.Quotas.Unanswered(reservation.name) {
		return reject(CodeQuotaUnknown)
	}
	if !ok {
		return rejectQuota(retryAfter)
	}
	reservation.reserved = true
	r.reservation = reservation
	return nil
}

// spendQuota spends the reservation: the request has been sent to its first runner.
func (r *request) spendQuota() {
	if r.reservation.reserved {
		r.gateway.Quotas.Spend(r.reservation.name, r.reservation.units)
	}
	r.reservation.reserved = false
}

// releaseQuota gives the reservation back, unless it was spent.
func (r *request) releaseQuota() {
	if r.reservation.reserved {
		r.gateway.Quotas.Release(r.reservation.name, r.reservation.units)
	}
	r.reservation.reserved = false
}
