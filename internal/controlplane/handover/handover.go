// Package handover shortens the outage when the primary is partitioned from a majority of the members but can still reach a
// backup. Without a handover, the acceptors that the primary cannot reach would honor its lease until it expires. A primary
// that is out of contact with a majority therefore asks a backup whether it reaches a majority. If so, the primary gives up its
// lease and sends the release to the backup, which relays it to all members, including those that the primary cannot reach.
//
// A relayed release is as valid as one received from the primary: it names the run of the primary's process and the round
// of requests up to which the primary no longer acts on grants, and acceptors check both (paxos.Acceptor.Release). Before it
// sends the release, the primary ends its writes and discards its grants.
package handover

import (
	"context"
	"sync/atomic"
	"time"

	"yarrowridge/internal/controlplane/coreapi"
	"yarrowridge/internal/controlplane/lease"
	"yarrowridge/internal/controlplane/paxos"
	"yarrowridge/internal/controlplane/view"
)

const (
	// contactTimeoutDivisor divides the lease term: a primary that has had no contact with a majority for
	// term/contactTimeoutDivisor, which is two renewal rounds, looks for a backup that reaches one.
	contactTimeoutDivisor = 3
	// callTimeout bounds each call that a backup makes to a member. A call from the primary to a backup may take twice as long.
	callTimeout = 150 * time.Millisecond
)

// Coordinator implements both sides of a handover: a primary uses it to find a backup that can take over, a backup uses it to
// handle the primary's requests. Its methods may be called concurrently.
type Coordinator struct {
	call           paxos.CallFunc
	contactTimeout time.Duration
	querying       atomic.Bool // a ReachRequest is under way; there is at most one at a time
}

// New returns a coordinator. call sends requests to other processes and to this one.
func New(call paxos.CallFunc, leaseTerm time.Duration) *Coordinator {
	return &Coordinator{call: call, contactTimeout: leaseTerm / contactTimeoutDivisor}
}

// IsDue reports whether a handover is due: the primary of the view, which has led since ledSince, is out of contact with a
// majority but in contact with a backup.
func (c *Coordinator) IsDue(v view.View, primaryLease *lease.Lease, ledSince time.Time) bool {
	if time.Since(ledSince) < c.contactTimeout || primaryLease.IsInContact(v.IsMajority, c.contactTimeout) {
		return false
	}
	return c.reachableBackup(v, primaryLease) != nil
}

// reachableBackup returns the first backup that has answered within the contact timeout, or nil.
func (c *Coordinator) reachableBackup(v view.View, primaryLease *lease.Lease) *view.Member {
	for _, id := range v.Backups() {
		if primaryLease.TimeSinceContact(id, time.Time{}) < c.contactTimeout {
			return &view.Member{ID: id, Addr: v.Addr(id)}
		}
	}
	return nil
}

// FindSuccessor asks a reachable backup, in a new goroutine, whether it reaches a majority, and calls onFound if it does. It
// does nothing while an earlier request is under way.
func (c *Coordinator) FindSuccessor(ctx context.Context, v view.View, primaryLease *lease.Lease, onFound func(backup view.Member)) {
	backup := c.reachableBackup(v, primaryLease)
	if backup == nil || !c.querying.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer c.querying.Store(false)
		ctx, cancel := context.WithTimeout(ctx, 2*callTimeout)
		defer cancel()
		var response ReachResponse
		if c.call(ctx, backup.Addr, "view.reach", &ReachRequest{Epoch: v.Epoch}, &response) == nil && response.ReachesMajority {
			onFound(*backup)
		}
	}()
}

// SendRelease asks a backup to relay a release of the lease to all members. The caller must no longer act on any grant that
// the release ends.
func (c *Coordinator) SendRelease(ctx context.Context, backup view.Member, release *paxos.ReleaseRequest) error {
	ctx, cancel := context.WithTimeout(ctx, 2*callTimeout)
	defer cancel()
	return c.call(ctx, backup.Addr, "view.relay", release, nil)
}

// HandleReach handles a primary's ReachRequest on a backup. v is the newest view that the backup knows; for a request of
// another epoch the response is negative.
func (c *Coordinator) HandleReach(ctx context.Context, request *ReachRequest, v view.View) *ReachResponse {
	if request.Epoch != v.Epoch {
		return &ReachResponse{}
	}
	reached := c.callAll(ctx, v, func(ctx context.Context, m view.Member) bool {
		status, err := paxos.QueryStatus(ctx, c.call, m.Addr)
		return err == nil && status.ID == m.ID
	})
	return &ReachResponse{ReachesMajority: reached}
}

// RelayRelease relays a release to all members of a view and reports whether a majority received it.
func (c *Coordinator) RelayRelease(ctx context.Context, release *paxos.ReleaseRequest, v view.View) bool {
	return c.callAll(ctx, v, func(ctx context.Context, m view.Member) bool {
		return c.call(ctx, m.Addr, "view.release", release, &coreapi.Empty{}) == nil
	})
}

// callAll calls all members concurrently. It returns true as soon as the calls to a majority have succeeded, without waiting
// for or cancelling the remaining calls. It returns false if all calls have ended without that.
func (c *Coordinator) callAll(ctx context.Context, v view.View, call func(ctx context.Context, m view.Member) bool) bool {
	results := make(chan callResult, len(v.Members))
	for _, m := range v.Members {
		go func() {
			ctx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			results <- callResult{id: m.ID, succeeded: call(ctx, m)}
		}()
	}
	succeeded := map[string]bool{}
	for range v.Members {
		if result := <-results; result.succeeded {
			succeeded[result.id] = true
		}
		if v.IsMajority(succeeded) {
			return true
		}
	}
	return false
}

// callResult is the outcome of a call to one member.
type callResult struct {
	id        string
	succeeded bool
}
