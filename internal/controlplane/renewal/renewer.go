// Package renewal asks the acceptors for the primary's lease, round by round, and gives it back. Which rounds are due, and
// which grants count, is package leadership's.
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

// releaseTimeout bounds the call that gives the lease back to one acceptor.
const releaseTimeout = 500 * time.Millisecond

// Config is what a Renewer needs of its process. All functions may be called concurrently.
type Config struct {
	Leadership *leadership.Leadership
	LeaseTerm  time.Duration
	RunID      uint64           // of this process
	ID         func() string    // of this process as an acceptor
	View       func() view.View // the newest one known
	Call       paxos.CallFunc   // reaches acceptors, also this process's own
	Learn      func(view.View)  // takes up a chosen view
	LeaseHeld  func()           // a majority's grants run that did not run before
}

// Renewer asks for the lease of the epoch that this process leads. All methods may be called concurrently; none blocks.
type Renewer struct {
	ctx    daemon.Context
	config Config
}

// New makes a renewer whose calls end with ctx.
func New(ctx daemon.Context, config Config) *Renewer { return &Renewer{ctx: ctx, config: config} }

// Renew asks all acceptors for the lease, or pings them, where a round is due. It runs beside the run loop, so that a lease
// goes on while a snapshot or a decision takes its time.
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

// renewAt asks one acceptor for the lease.
func (r *Renewer) renewAt(request paxos.RenewRequest, m view.Member, primacy *lease.Lease) {
	ctx, cancel := context.WithTimeout(r.ctx, r.config.LeaseTerm/2)
	defer cancel()
	var response paxos.RenewResponse
	asked := time.Now()
	if r.config.Call(ctx, m.Addr, "view.renew", &request, &response) != nil || response.ID != m.ID {
		return
	}
	if faultinjection.Disabled("grant-from-request") {
		asked = time.Now()
	}
	primacy.RecordContact(m.ID)
	switch {
	case response.Granted:
		wasHeld := primacy.IsHeld(request.View.IsMajority)
		primacy.RecordGrant(m.ID, asked)
		if !wasHeld && primacy.IsHeld(request.View.IsMajority) {
			r.config.LeaseHeld()
		}
	case response.View.Epoch > request.View.Epoch:
		r.config.Learn(response.View)
	case response.PromisedOther:
		r.config.Leadership.RecordPromisedOther()
	}
}

// ping asks one acceptor for its status, and so whether it answers.
func (r *Renewer) ping(m view.Member, primacy *lease.Lease) {
	ctx, cancel := context.WithTimeout(r.ctx, r.config.LeaseTerm/2)
	defer cancel()
	if status, err := paxos.QueryStatus(ctx, r.config.Call, m.Addr); err == nil && status.ID == m.ID {
		primacy.RecordContact(m.ID)
		r.config.Learn(status.View)
	}
}

// Release gives our lease back to all acceptors, so that a backup need not wait for its end.
func (r *Renewer) Release(round uint64) {
	v := r.config.View()
	if v.Primary != r.config.ID() {
		return
	}
	for _, m := range v.Members {
		go r.releaseAt(m, &paxos.ReleaseRequest{Epoch: v.Epoch, PrimaryRun: r.config.RunID, Round: round})
	}
}

// releaseAt gives our lease back to one acceptor.
func (r *Renewer) releaseAt(m view.Member, request *paxos.ReleaseRequest) {
	ctx, cancel := context.WithTimeout(r.ctx, releaseTimeout)
	defer cancel()
	if err := r.config.Call(ctx, m.Addr, "view.release", request, nil); err != nil {
		r.ctx.Log.Debug("Lease was not released.", "peer", m.Addr, "epoch", request.Epoch, "error", err.Error())
	}
}
