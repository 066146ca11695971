package paxos

import (
	"time"

	"yarrowridge/internal/lib/faultinjection"
)

// Renew grants the master lease to the primary of a view for the lease term, counted from now on the local clock. It refuses
// if this acceptor knows a newer view, or has made a promise for the next epoch to another proposer. Every error comes from
// the disk.
func (a *Acceptor) Renew(request *RenewRequest) (*RenewResponse, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if err := a.learn(request.View); err != nil {
		return nil, err
	}
	response := &RenewResponse{View: a.state.View, ID: a.state.ID}
	switch {
	case request.View.Epoch < a.state.View.Epoch:
	case a.state.Promised.Number > 0 && a.state.Promised.Proposer != a.state.View.Primary && !faultinjection.Disabled("grant-after-promise"):
		response.PromisedOther = true
	default:
		response.Granted = true
		a.grants.grant(request.PrimaryRun, time.Now().Add(a.leaseTerm))
		if request.PrimaryRun != a.lastGrantedRun {
			a.lastGrantedRun, a.lastGrantedRound = request.PrimaryRun, 0
		}
		a.lastGrantedRound = max(a.lastGrantedRound, request.Round)
	}
	return response, nil
}

// Release ends the primary's lease at the primary's request. It ignores a delayed request: one for another epoch, from
// another run than the lease was last granted to, or from a round no later than that of the last grant.
func (a *Acceptor) Release(request *ReleaseRequest) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if request.PrimaryRun != 0 && request.PrimaryRun == a.lastGrantedRun && (request.Round > a.lastGrantedRound || faultinjection.Disabled("release-round")) && request.Epoch == a.state.View.Epoch {
		a.grants.revokeAll()
	}
}

// StaleGrant returns a run of the primary whose lease grant is active but has not been renewed for longer than age. A lease
// granted before this acceptor was restarted does not count: its run is unknown.
func (a *Acceptor) StaleGrant(age time.Duration) (run uint64, found bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.grants.staleRun(time.Now().Add(a.leaseTerm - age))
}

// RevokeLease ends the lease granted to a run of the primary's process. The caller must have proof that this run has ended,
// so that no process acts on the lease any more. A grant to another run stays active even if the ended run was granted
// the lease last, since its renewal may have been delayed in the network.
func (a *Acceptor) RevokeLease(run uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if run != unknownRun {
		a.grants.revoke(run)
	}
}

// HasActiveLease reports whether a lease that this acceptor granted to the primary is still active. It may wait for a disk
// write.
func (a *Acceptor) HasActiveLease() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.grants.anyActive(time.Now())
}
