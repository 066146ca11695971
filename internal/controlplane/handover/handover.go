// Package handover shortens the outage of a primary that is cut off with a minority of the members, a backup among them. The
// acceptors on the other side would keep to its lease until that runs out. So the primary, which knows best that it hears no
// majority, asks the backup whether that does; it then gives its lease up, and has the backup pass the release on to those
// that it can't reach itself.
//
// A release that is passed on is as good as one from the primary: it names the run and the round of requests up to which
// the primary acts on no grant, and acceptors compare both (paxos.Acceptor.Release). The primary ends its writes and forgets its
// grants before it sends it.
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
	// contactTimeoutDivisor divides the lease's term: a primary that has heard no majority for this part of it, two rounds of
	// renewals, looks for a backup that does.
	contactTimeoutDivisor = 3
	// callTimeout bounds a question to a backup, and each call that the backup makes for its answer.
	callTimeout = 150 * time.Millisecond
)

// Coordinator finds the backup to hand over to, and answers for this process as a backup. Its methods may be called
// concurrently.
type Coordinator struct {
	call           paxos.CallFunc
	contactTimeout time.Duration
	querying       atomic.Bool // one question at a time
}

// New makes a coordinator. call reaches other processes, and this one.
func New(call paxos.CallFunc, leaseTerm time.Duration) *Coordinator {
	return &Coordinator{call: call, contactTimeout: leaseTerm / contactTimeoutDivisor}
}

// IsDue reports whether the primary of a view, which has led since a time, hears no majority and yet a backup.
func (c *Coordinator) IsDue(v view.View, primacy *lease.Lease, ledSince time.Time) bool {
	if time.Since(ledSince) < c.contactTimeout || primacy.IsInContact(v.IsMajority, c.contactTimeout) {
		return false
	}
	return c.reachableBackup(v, primacy) != nil
}

// reachableBackup is the first backup that has answered lately, or nil.
func (c *Coordinator) reachableBackup(v view.View, primacy *lease.Lease) *view.Member {
	for _, id := range v.Backups() {
		if primacy.TimeSinceContact(id, time.Time{}) < c.contactTimeout {
			return &view.Member{ID: id, Addr: v.Addr(id)}
		}
	}
	return nil
}

// FindSuccessor asks, in a goroutine of its own, the backup that answers whether it reaches a majority, and calls found
// where it does. It asks one backup at a time.
func (c *Coordinator) FindSuccessor(ctx context.Context, v view.View, primacy *lease.Lease, found func(backup view.Member)) {
	backup := c.reachableBackup(v, primacy)
	if backup == nil || !c.querying.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer c.querying.Store(false)
		ctx, cancel := context.WithTimeout(ctx, 2*callTimeout)
		defer cancel()
		var response ReachResponse
		if c.call(ctx, backup.Addr, "view.reach", &ReachRequest{Epoch: v.Epoch}, &response) == nil && response.ReachesMajority {
			found(*backup)
		}
	}()
}

// SendRelease has a backup pass a release of the lease on to all members. The caller acts on no grant that it ends.
func (c *Coordinator) SendRelease(ctx context.Context, backup view.Member, release *paxos.ReleaseRequest) error {
	ctx, cancel := context.WithTimeout(ctx, 2*callTimeout)
	defer cancel()
	return c.call(ctx, backup.Addr, "view.relay", release, nil)
}

// HandleReach answers a primary's question as a backup that knows a view.
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

// RelayRelease passes a release on to all members of a view, and reports whether a majority has it.
func (c *Coordinator) RelayRelease(ctx context.Context, release *paxos.ReleaseRequest, v view.View) bool {
	return c.callAll(ctx, v, func(ctx context.Context, m view.Member) bool {
		return c.call(ctx, m.Addr, "view.release", release, &coreapi.Empty{}) == nil
	})
}

// callAll makes a call to each member at once. It returns when a majority has succeeded, and reports that, or when all calls
// have ended. Calls that are still under way then go on.
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

// callResult is how a call to one member ended.
type callResult struct {
	id        string
	succeeded bool
}
