// Package failuredetector proves that the process which holds the primary's lease has ended, so that a takeover need not wait
// for the end of the lease. It knows two proofs, and both rest on one process at most listening at an address at any time:
//
//   - connections to the primary's address are refused: its machine is up, and nobody listens there;
//   - another run of a process answers there.
//
// A process that is frozen, partitioned or slow refuses nothing, and neither does a machine without power: silence proves
// nothing, and the lease runs out as before. A process that is told to stop gives up leading before it stops listening.
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
	// probeTimeout bounds one look at the primary's address.
	probeTimeout = 150 * time.Millisecond
	// silenceDivisor divides the lease's term: a holder is looked for once it has not renewed its lease for this part of it,
	// half as long again as between two renewals.
	silenceDivisor = 4
)

// LeaseGrants is the acceptor whose grant may be ended. Its methods may be called concurrently.
type LeaseGrants interface {
	// SilentHolder is the run of the primary that holds the lease granted here, where it has not renewed that for a span.
	SilentHolder(span time.Duration) (run uint64, silent bool)
	// EndLeaseOf ends the lease that was granted here to a run that has ended.
	EndLeaseOf(run uint64)
}

// Detector looks at the lease holder's address. Its methods may be called concurrently.
type Detector struct {
	grants  LeaseGrants
	call    paxos.CallFunc
	silence time.Duration
	probing atomic.Bool // one look at a time
}

// New makes a detector for the acceptor of a process. call reaches other processes.
func New(grants LeaseGrants, call paxos.CallFunc, leaseTerm time.Duration) *Detector {
	return &Detector{grants: grants, call: call, silence: leaseTerm / silenceDivisor}
}

// Check looks, in a goroutine of its own, for the holder of the lease that the acceptor granted to the primary of a view, if
// it has fallen silent. It ends the lease where that holder has surely ended, and calls ended then. It may wait for a disk
// write of the acceptor, and for nothing else.
func (d *Detector) Check(ctx context.Context, v view.View, ended func()) {
	run, silent := d.grants.SilentHolder(d.silence)
	if !silent || !d.probing.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer d.probing.Store(false)
		if d.hasEnded(ctx, v.Addr(v.Primary), run) {
			d.grants.EndLeaseOf(run)
			ended()
		}
	}()
}

// hasEnded reports whether a run of the process at an address has surely ended.
func (d *Detector) hasEnded(ctx context.Context, addr string, run uint64) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	status, err := paxos.QueryStatus(ctx, d.call, addr)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED) || faultinjection.Disabled("proof-of-end")
	}
	return status.Run != 0 && status.Run != run
}
