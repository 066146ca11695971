// Package leadership holds what a process knows of its own primacy: which epoch it leads, by which lease, whether it takes
// writes, and whether its disk can be relied on, without which it may do neither. It does no I/O.
package leadership

import (
	"sync"
	"time"

	"yarrowridge/internal/controlplane/lease"
	"yarrowridge/internal/controlplane/view"
	"yarrowridge/internal/lib/faultinjection"
)

// Leadership is one process's primacy. All methods may be called concurrently, and none blocks.
type Leadership struct {
	leaseTerm time.Duration
	runID     uint64

	mu              sync.Mutex   // guards the fields below
	epoch           uint64       // the one that we lead; 0: none
	endedEpoch      uint64       // up to here no epoch is ours to lead on: see MayLead
	ledSince        time.Time    // without a break
	lease           *lease.Lease // of the epoch that we lead
	renewalRounds   uint64       // rounds of requests for the lease
	leaseHeldAt     time.Time    // when the lease was last held, or its loss explained by a lack of contact
	renewalPausedAt time.Time    // since when we ask for no lease, having failed to get one
	handedOverAt    time.Time    // when the lease of this epoch was given up for a backup; zero: it was not
	promisedOther   bool         // an acceptor refused a renewal: it has promised the next epoch to another
	ready           bool         // writes are taken
	readySince      time.Time
	diskFailed      bool
}

// Standing is how a process stands in the epoch that it leads.
type Standing struct {
	Lease         *lease.Lease
	Ready         bool
	PromisedOther bool // an acceptor has promised the next epoch to another proposer
	LedSince      time.Time
}

// New makes the leadership of a process that leads no epoch yet, and none up to endedEpoch. leaseTerm is what acceptors
// grant. runID is one run of the process; it is random and not zero.
func New(leaseTerm time.Duration, runID, endedEpoch uint64) *Leadership {
	return &Leadership{leaseTerm: leaseTerm, runID: runID, endedEpoch: endedEpoch, lease: lease.New(leaseTerm)}
}

// BeginEpoch records that the process leads an epoch from now on, without writes and without a lease. began is false where
// it led that epoch already; continued tells that it led the epoch before, so that nobody else can have led in between.
func (l *Leadership) BeginEpoch(epoch uint64) (began, continued bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.epoch == epoch {
		return false, false
	}
	continued = l.epoch != 0 && l.epoch+1 == epoch
	if continued {
		l.lease = l.lease.ForNextEpoch() // who did not answer then still does not
	} else {
		l.ledSince, l.lease = time.Now(), lease.New(l.leaseTerm)
	}
	l.epoch, l.ready, l.promisedOther, l.handedOverAt = epoch, false, false, time.Time{}
	return true, continued
}

// MayLead reports whether an epoch is ours to lead on. One that began before this run of the process, or before the disk
// was last read, is not: messages of the run before may still be in flight, and are known by their epoch only. Nor is one
// after which we proposed another view without learning the outcome: that view may be chosen at any time, and its backups
// do not have what we would acknowledge with ours.
func (l *Leadership) MayLead(epoch uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return epoch > l.endedEpoch || faultinjection.Disabled("resumed-epoch")
}

// EndEpoch ends the writes and the leadership of an epoch.
func (l *Leadership) EndEpoch(epoch uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ready = false
	l.endedEpoch = max(l.endedEpoch, epoch)
}

// Standing is how the process stands in the epoch that it leads.
func (l *Leadership) Standing() Standing {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Standing{Lease: l.lease, Ready: l.ready, PromisedOther: l.promisedOther, LedSince: l.ledSince}
}

// HoldsLease reports whether the process leads a view's epoch, on a sound disk and by the lease of a majority. The caller
// has to see to it that no newer view is known.
func (l *Leadership) HoldsLease(v view.View) bool {
	l.mu.Lock()
	held, leads := l.lease, l.epoch == v.Epoch && !l.diskFailed
	l.mu.Unlock()
	return leads && held.IsHeld(v.IsMajority)
}

// BeginWrites has the process take writes.
func (l *Leadership) BeginWrites() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ready, l.readySince = true, time.Now()
}

// EndWrites has the process take no writes.
func (l *Leadership) EndWrites() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ready = false
}

// HandOver gives up the lease of an epoch, and asks for no other one for a term, so that a backup can take over. Grants that
// are on their way count no longer. round is later than that of any renewal so far: the lease may be released in it. ok is
// false, and nothing changes, where the process takes no writes in that epoch.
func (l *Leadership) HandOver(epoch uint64) (round uint64, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.epoch != epoch || !l.ready {
		return 0, false
	}
	l.ready, l.handedOverAt = false, time.Now()
	if !faultinjection.Disabled("handed-over-lease") {
		l.lease = l.lease.ForNextEpoch()
	}
	l.renewalRounds++
	return l.renewalRounds, true
}

// IsReady reports whether the process takes writes, for as long as it is primary.
func (l *Leadership) IsReady() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ready
}

// WritableEpoch is the epoch that the process leads, and reports whether it takes writes in it.
func (l *Leadership) WritableEpoch() (epoch uint64, ready bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.epoch, l.ready
}

// ReadySince is when the process last began to take writes.
func (l *Leadership) ReadySince() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.readySince
}

// HasDiskFailed reports whether the disk can't be relied on now.
func (l *Leadership) HasDiskFailed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.diskFailed
}

// FailDisk ends writes and leadership until the disk has recovered. first is false where it had failed already. round is
// later than that of any renewal so far: the lease may be released in it.
func (l *Leadership) FailDisk() (first bool, round uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	first = !l.diskFailed
	l.diskFailed, l.ready = true, false
	l.renewalRounds++
	return first, l.renewalRounds
}

// RecoverDisk records that the state was read anew from disk. Leading starts over, after the current epoch and with fresh
// snapshots to the backups.
func (l *Leadership) RecoverDisk(currentEpoch uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.diskFailed = false
	l.epoch = 0
	l.endedEpoch = currentEpoch
}
