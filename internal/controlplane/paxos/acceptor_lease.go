package paxos

import (
	"time"

	"yarrowridge/internal/lib/faultinjection"
)

// Renew grants the primary of a view the master lease for the lease term, counted from now on this clock, unless a newer
// view is known here, or a promise for the next epoch was given to another. An error is one of the disk.
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

// Release ends the primary's lease at its own request. A delayed request, after which a newer grant or one to another run
// was given here, ends nothing.
func (a *Acceptor) Release(request *ReleaseRequest) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if request.PrimaryRun != 0 && request.PrimaryRun == a.lastGrantedRun && (request.Round > a.lastGrantedRound || faultinjection.Disabled("release-round")) && request.Epoch == a.state.View.Epoch {
		a.grants.endAll()
	}
}

// SilentHolder is the run of the primary that holds the lease granted here, where it has not renewed that for a span. A lease
// of before this acceptor's start has no known holder.
func (a *Acceptor) SilentHolder(span time.Duration) (run uint64, silent bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.grants.silentRun(time.Now().Add(a.leaseTerm - span))
}

// EndLeaseOf ends the lease that was granted here to a run of the primary which has surely ended: nobody acts on it any more.
// A lease that another run holds goes on, whichever of the two was granted last: a renewal of the ended run may have been
// delayed in the network.
func (a *Acceptor) EndLeaseOf(run uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if run != unknownRun {
		a.grants.end(run)
	}
}

// HasActiveLease reports whether a lease granted here to the primary still runs. It may wait for a disk write.
func (a *Acceptor) HasActiveLease() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.grants.areActive(time.Now())
}
