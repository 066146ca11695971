package leadership

import (
	"math/rand/v2"
	"time"

	"yarrowridge/internal/controlplane/lease"
	"yarrowridge/internal/controlplane/paxos"
	"yarrowridge/internal/controlplane/view"
)

// Renewal is one round of requests to the acceptors.
type Renewal struct {
	Request   paxos.RenewRequest
	Lease     *lease.Lease // that takes the grants
	InContact bool         // a majority answers; else acceptors are only pinged, until one does
}

// NextRenewal begins the next round of requests for the lease of a view, which the process id asks for. It reports false
// where none is due: the process does not lead that view, or pauses.
//
// A primary that no majority answers only pings: a request that arrives, but whose response does not, would keep the
// acceptors from following another.
func (l *Leadership) NextRenewal(v view.View, id string) (Renewal, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	inContact := time.Since(l.ledSince) < l.leaseTerm/2 || l.lease.IsInContact(v.IsMajority, l.leaseTerm/2)
	leads := v.Primary == id && l.epoch == v.Epoch && !l.diskFailed && v.Epoch > 0
	leads = !l.isRenewalPaused(v, inContact) && leads && time.Since(l.handedOverAt) >= l.leaseTerm
	l.renewalRounds++
	request := paxos.RenewRequest{View: v, PrimaryRun: l.runID, Round: l.renewalRounds}
	return Renewal{Request: request, Lease: l.lease, InContact: inContact}, leads
}

// isRenewalPaused reports whether the lease is not asked for for a while: a majority answers, but has not granted the lease
// for long, so too few follow us, and they must not be kept from following another. The caller holds the lock.
func (l *Leadership) isRenewalPaused(v view.View, inContact bool) bool {
	if !inContact || l.lease.IsHeld(v.IsMajority) {
		l.leaseHeldAt = time.Now()
		return false
	}
	if time.Since(l.leaseHeldAt) <= 2*l.leaseTerm || time.Since(l.ledSince) <= 2*l.leaseTerm {
		return false
	}
	if l.renewalPausedAt.Before(l.leaseHeldAt) || time.Since(l.renewalPausedAt) > 4*l.leaseTerm {
		l.renewalPausedAt = time.Now()
	}
	return time.Since(l.renewalPausedAt) <= 2*l.leaseTerm+rand.N(l.leaseTerm)
}

// RecordPromisedOther records that an acceptor refused a renewal since it has promised the next epoch to another.
func (l *Leadership) RecordPromisedOther() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.promisedOther = true
}
