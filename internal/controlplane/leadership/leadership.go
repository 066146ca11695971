// Package leadership holds the leadership state of one process: which epoch it leads, under which lease, whether it accepts
// writes, and whether its disk has failed. A process with a failed disk neither leads nor accepts writes. The package does
// no I/O.
package leadership

import (
	"sync"
	"time"

	"yarrowridge/internal/controlplane/lease"
	"yarrowridge/internal/controlplane/view"
	"yarrowridge/internal/lib/faultinjection"
)

// Leadership is the leadership state of one process. All methods may be called concurrently, and none blocks.
type Leadership struct {
	leaseTerm time.Duration
	runID     uint64

	mu              sync.Mutex   // guards the fields below
	epoch           uint64       // the epoch that this process leads; 0: none
	lastEndedEpoch  uint64       // this epoch and all before it must not be led: see MayLead
	ledSince        time.Time    // start of uninterrupted leadership, which may span several epochs
	lease           *lease.Lease // of the epoch that this process leads
	renewalRounds   uint64       // number of the last round of lease requests
	leaseHeldAt     time.Time    // when the lease was last held, or a majority was last out of contact
	renewalPausedAt time.Time    // start of the current or last pause in renewals
	handedOverAt    time.Time    // when the lease of this epoch was released for a backup; zero: it was not
	promisedOther   bool         // an acceptor refused a renewal because it has promised the next epoch to another proposer
	ready           bool         // writes are accepted
	readySince      time.Time
	diskFailed      bool
}

// State is a copy of a process's state in the epoch that it leads.
type State struct {
	Lease         *lease.Lease
	Ready         bool
	PromisedOther bool // an acceptor has promised the next epoch to another proposer
	LedSince      time.Time
}

// New returns the state of a process that leads no epoch yet and may lead only epochs after lastEndedEpoch. leaseTerm is the
// term that acceptors grant. runID identifies one run of the process; it is random and not zero.
func New(leaseTerm time.Duration, runID, lastEndedEpoch uint64) *Leadership {
	return &Leadership{leaseTerm: leaseTerm, runID: runID, lastEndedEpoch: lastEndedEpoch, lease: lease.New(leaseTerm)}
}

// BeginEpoch records that the process leads an epoch from now on, at first without writes and without a lease. began is
// false if the process already led that epoch. continued is true if it led the epoch immediately before, so that no other
// process can have led in between.
func (l *Leadership) BeginEpoch(epoch uint64) (began, continued bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.epoch == epoch {
		return false, false
	}
	continued = l.epoch != 0 && l.epoch+1 == epoch
	if continued {
		l.lease = l.lease.ForNextEpoch() // keeps the contact times: unresponsive members still count as such
	} else {
		l.ledSince, l.lease = time.Now(), lease.New(l.leaseTerm)
	}
	l.epoch, l.ready, l.promisedOther, l.handedOverAt = epoch, false, false, time.Time{}
	return true, continued
}

// MayLead reports whether the process may lead an epoch. It must not lead an epoch that began before this run of the
// process or before the disk was last read: messages of the previous run may still be in flight, and only their epoch
// identifies them. It also must not lead an epoch in which it proposed another view without learning the outcome: that view
// may be chosen at any time, and its backups do not have what would be acknowledged under the current one.
func (l *Leadership) MayLead(epoch uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return epoch > l.lastEndedEpoch || faultinjection.Disabled("resumed-epoch")
}

// EndEpoch stops writes, and rules out leading this epoch or an earlier one.
func (l *Leadership) EndEpoch(epoch uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ready = false
	l.lastEndedEpoch = max(l.lastEndedEpoch, epoch)
}

// State returns the process's state in the epoch that it leads.
func (l *Leadership) State() State {
	l.mu.Lock()
	defer l.mu.Unlock()
	return State{Lease: l.lease, Ready: l.ready, PromisedOther: l.promisedOther, LedSince: l.ledSince}
}

// HoldsLease reports whether the process leads a view's epoch under a lease from a majority, and its disk has not failed.
// The caller has to make sure that it knows no newer view.
func (l *Leadership) HoldsLease(v view.View) bool {
	l.mu.Lock()
	current, leads := l.lease, l.epoch == v.Epoch && !l.diskFailed
	l.mu.Unlock()
	return leads && current.IsHeld(v.IsMajority)
}

// BeginWrites makes the process accept writes.
func (l *Leadership) BeginWrites() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ready, l.readySince = true, time.Now()
}

// EndWrites makes the process reject writes until the next BeginWrites.
func (l *Leadership) EndWrites() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ready = false
}

// HandOver gives up the lease of an epoch and pauses renewals for one term, so that a backup can take over. Grants that are
// still in flight no longer count. round is later than that of any renewal so far, so a release sent with it covers all of
// them. If the process does not accept writes in that epoch, ok is false and nothing changes.
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

// IsReady reports whether the process accepts writes. It does not check the lease.
func (l *Leadership) IsReady() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ready
}

// WritableEpoch returns the epoch that the process leads, and whether it accepts writes in it.
func (l *Leadership) WritableEpoch() (epoch uint64, ready bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.epoch, l.ready
}

// ReadySince returns when the process last began to accept writes.
func (l *Leadership) ReadySince() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.readySince
}

// HasDiskFailed reports whether the disk has failed and not yet recovered.
func (l *Leadership) HasDiskFailed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.diskFailed
}

// FailDisk ends writes and leadership until the disk has recovered. first is false if the disk had already failed. round is
// later than that of any renewal so far, so a release sent with it covers all of them.
func (l *Leadership) FailDisk() (first bool, round uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	first = !l.diskFailed
	l.diskFailed, l.ready = true, false
	l.renewalRounds++
	return first, l.renewalRounds
}

// RecoverDisk records that the state was reread from disk. The process may lead only epochs after the current one, and sends
// new snapshots to its backups first.
func (l *Leadership) RecoverDisk(currentEpoch uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.diskFailed = false
	l.epoch = 0
	l.lastEndedEpoch = currentEpoch
}
