// Package failuredetector detects that the process that holds the primary's lease has ended, so that a takeover need not wait
// for the lease to expire. It accepts two proofs; both assume that at most one process listens at an address at any time:
//
//   - connections to the primary's address are refused: its machine is up, and no process listens there;
//   - a process with another run ID answers there.
//
// Missing responses prove nothing, since a process that is frozen, partitioned or slow does not refuse connections, nor does a
// machine without power. In these cases the takeover waits until the lease expires. A process that shuts down gives up
// leadership before it stops listening.
package failuredetector

import (
	"context"
	"errors"
	"sync/atomic"
	"syscall"
	"time"

	"yarrowridge/internal/controlplane/paxos"
	"yarrowridge/internal/controlplane/view"
	"yarrowridge/internal/lib/faultinjection"
)

const (
	// probeTimeout bounds one probe of the primary's address.
	probeTimeout = 150 * time.Millisecond
	// staleGrantDivisor divides the lease term: the lease holder is probed once it has not renewed its lease for
	// term/staleGrantDivisor, which is 1.5 times the renewal interval.
	staleGrantDivisor = 4
)

// LeaseGrants gives access to the lease grants of the local acceptor. Its methods may be called concurrently.
type LeaseGrants interface {
	// StaleGrant returns a run of the primary whose lease grant is active but has not been renewed for longer than age.
	StaleGrant(age time.Duration) (run uint64, found bool)
	// RevokeLease ends the lease granted to a run that has ended.
	RevokeLease(run uint64)
}

// Detector probes the lease holder's address. Its methods may be called concurrently.
type Detector struct {
	grants     LeaseGrants
	call       paxos.CallFunc
	staleAfter time.Duration
	probing    atomic.Bool // a probe is under way; there is at most one at a time
}

// New returns a detector for the grants of the local acceptor. call sends requests to other processes.
func New(grants LeaseGrants, call paxos.CallFunc, leaseTerm time.Duration) *Detector {
	return &Detector{grants: grants, call: call, staleAfter: leaseTerm / staleGrantDivisor}
}

// Check starts a probe of the primary's address in a new goroutine if the lease grant of a run of the primary is stale. If
// the probe proves that this run has ended, it revokes the run's lease and calls onEnded. Check itself blocks at most for a
// disk write of the acceptor.
func (d *Detector) Check(ctx context.Context, v view.View, onEnded func()) {
	run, found := d.grants.StaleGrant(d.staleAfter)
	if !found || !d.probing.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer d.probing.Store(false)
		if d.hasEnded(ctx, v.Addr(v.Primary), run) {
			d.grants.RevokeLease(run)
			onEnded()
		}
	}()
}

// hasEnded reports whether it is proven that a run of the process at an address has ended.
func (d *Detector) hasEnded(ctx context.Context, addr string, run uint64) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	status, err := paxos.QueryStatus(ctx, d.call, addr)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED) || faultinjection.Disabled("proof-of-end")
	}
	return status.Run != 0 && status.Run != run
}
