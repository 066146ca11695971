// Package renewal requests the primary's lease from the acceptors, round by round, and releases it. Package leadership
// decides when a round is due and which grants count.
package renewal

import (
	"context"
	"time"

	"yarrowridge/internal/controlplane/leadership"
	"yarrowridge/internal/controlplane/lease"
	"yarrowridge/internal/controlplane/paxos"
	"yarrowridge/internal/controlplane/view"
	"yarrowridge/internal/lib/daemon"
	"yarrowridge/internal/lib/faultinjection"
)

// releaseTimeout bounds the call that releases the lease at one acceptor.
const releaseTimeout = 500 * time.Millisecond

// Config holds what a Renewer needs from its process. All functions have to be safe for concurrent use.
type Config struct {
	Leadership *leadership.Leadership
	LeaseTerm  time.Duration
	RunID      uint64           // of this process
	ID         func() string    // of this process as an acceptor
	View       func() view.View // the newest one known
	Call       paxos.CallFunc   // calls an acceptor, including this process's own
	Learn      func(view.View)  // stores a chosen view if it is newer
	LeaseHeld  func()           // called when a majority's grants make the lease held
}

// Renewer requests the lease of the epoch that this process leads. Its methods may be called concurrently, and do not block.
type Renewer struct {
	ctx    daemon.Context
	config Config
}

// New returns a renewer whose calls end with ctx.
func New(ctx daemon.Context, config Config) *Renewer { return &Renewer{ctx: ctx, config: config} }

// Renew requests the lease from all acceptors, or pings them, if a round is due. It is called from outside the run loop, so
// that the lease is still renewed while the run loop is busy with a snapshot or a proposal.
func (r *Renewer) Renew() {
	v := r.config.View()
	renewal, due := r.config.Leadership.NextRenewal(v, r.config.ID())
	if !due {
		return
	}
	for _, m := range v.Members {
		if renewal.InContact {
			go r.renewAt(renewal.Request, m, renewal.Lease)
		} else {
			go r.ping(m, renewal.Lease)
		}
	}
}

// renewAt requests the lease from one acceptor.
func (r *Renewer) renewAt(request paxos.RenewRequest, m view.Member, primaryLease *lease.Lease) {
	ctx, cancel := context.WithTimeout(r.ctx, r.config.LeaseTerm/2)
	defer cancel()
	var response paxos.RenewResponse
	requestedAt := time.Now()
	if r.config.Call(ctx, m.Addr, "view.renew", &request, &response) != nil || response.ID != m.ID {
		return
	}
	if faultinjection.Disabled("grant-from-request") {
		requestedAt = time.Now()
	}
	primaryLease.RecordContact(m.ID)
	switch {
	case response.Granted:
		wasHeld := primaryLease.IsHeld(request.View.IsMajority)
		primaryLease.RecordGrant(m.ID, requestedAt)
		if !wasHeld && primaryLease.IsHeld(request.View.IsMajority) {
			r.config.LeaseHeld()
		}
	case response.View.Epoch > request.View.Epoch:
		r.config.Learn(response.View)
	case response.PromisedOther:
		r.config.Leadership.RecordPromisedOther()
	}
}

// ping queries one acceptor's status, to find out whether it responds and which view it knows.
func (r *Renewer) ping(m view.Member, primaryLease *lease.Lease) {
	ctx, cancel := context.WithTimeout(r.ctx, r.config.LeaseTerm/2)
	defer cancel()
	if status, err := paxos.QueryStatus(ctx, r.config.Call, m.Addr); err == nil && status.ID == m.ID {
		primaryLease.RecordContact(m.ID)
		r.config.Learn(status.View)
	}
}

// Release releases the lease at all acceptors, so that a backup does not have to wait until it expires.
func (r *Renewer) Release(round uint64) {
	v := r.config.View()
	if v.Primary != r.config.ID() {
		return
	}
	for _, m := range v.Members {
		go r.releaseAt(m, &paxos.ReleaseRequest{Epoch: v.Epoch, PrimaryRun: r.config.RunID, Round: round})
	}
}

// releaseAt releases the lease at one acceptor.
func (r *Renewer) releaseAt(m view.Member, request *paxos.ReleaseRequest) {
	ctx, cancel := context.WithTimeout(r.ctx, releaseTimeout)
	defer cancel()
	if err := r.config.Call(ctx, m.Addr, "view.release", request, nil); err != nil {
		r.ctx.Log.Debug("Lease was not released at a member.", "peer", m.Addr, "epoch", request.Epoch, "error", err.Error())
	}
}
