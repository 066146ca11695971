package leadership

import (
	"math/rand/v2"
	"time"

	"yarrowridge/internal/controlplane/lease"
	"yarrowridge/internal/controlplane/paxos"
	"yarrowridge/internal/controlplane/view"
)

// Renewal is one round of lease requests to the acceptors.
type Renewal struct {
	Request   paxos.RenewRequest
	Lease     *lease.Lease // records the grants
	InContact bool         // a majority responds; otherwise acceptors are only pinged, until a majority does
}

// NextRenewal begins the next round of lease requests by the process id for a view. It returns false if no round is due:
// the process does not lead that view, or renewals are paused.
//
// A primary out of contact with a majority only pings: an acceptor that grants a request follows no other primary until the
// grant expires, even if its response is lost.
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

// isRenewalPaused reports whether renewals are paused. They are when a majority responds but has not granted the lease for
// more than two terms: the acceptors that do grant it must become free to follow another primary. The caller holds the lock.
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

// RecordPromisedOther records that an acceptor refused a renewal because it has promised the next epoch to another proposer.
func (l *Leadership) RecordPromisedOther() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.promisedOther = true
}
