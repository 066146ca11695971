package gateway

import "context"

// quotaWaitPercent is the percentage of a request's time limit that it may wait for quota units from a core that does not
// answer. The core does not answer while its primary changes, and a late response is better than a rejection then.
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

// quotaReservation is a request's reservation of quota units. It keeps the quota's name and the cost from the time of
// admission, because a later configuration may count the quota in another unit.
type quotaReservation struct {
	name    string
	units   int
	pending bool // reserved, and neither spent nor released yet
}

// reserveQuota reserves the request's cost if its tenant has a rate limit.
func (r *request) reserveQuota() error {
	if r.tenant == nil || r.tenant.Rate <= 0 {
		return nil
	}
	waitUntil := r.received.Add(r.deadline.Sub(r.received) * quotaWaitPercent / 100)
	ctx, cancel := context.WithDeadline(r.httpRequest.Context(), waitUntil)
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
	reservation.pending = true
	r.reservation = reservation
	return nil
}

// spendQuota commits the pending reservation, if any. It is called once bytes may have been sent to a runner.
func (r *request) spendQuota() {
	if r.reservation.pending {
		r.gateway.Quotas.Spend(r.reservation.name, r.reservation.units)
	}
	r.reservation.pending = false
}

// releaseQuota cancels the reservation unless it has been spent.
func (r *request) releaseQuota() {
	if r.reservation.pending {
		r.gateway.Quotas.Release(r.reservation.name, r.reservation.units)
	}
	r.reservation.pending = false
}
