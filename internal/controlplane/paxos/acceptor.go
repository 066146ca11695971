package paxos

import (
	"crypto/rand"
	"encoding/hex"
	"log/slog"
	"sync/atomic"
	"time"

	"yarrowridge/internal/controlplane/store"
	"yarrowridge/internal/controlplane/view"
	"yarrowridge/internal/lib/faultinjection"
	"yarrowridge/internal/lib/runloop"
)

// Acceptor is one member's Paxos acceptor. Its promise, the proposal that it accepted and the newest chosen view are stored
// on disk; the lease that it granted to the primary is kept in memory only. All methods may be called concurrently.
//
// Invariants (P1a is named as in "Paxos Made Simple"):
//
//   - P1a: it accepts a proposal numbered n unless it has promised a number greater than n.
//   - A promise or an accepted proposal is synced to disk before the response that reports it is sent.
//   - While a lease that it granted is active, it makes promises to the primary only.
//   - After a restart it makes promises to the primary only, until every lease that it may have granted before the restart
//     has expired.
type Acceptor struct {
	disk      store.Disk
	leaseTerm time.Duration
	published atomic.Pointer[AcceptorState] // a copy of state for readers that do not take the lock

	mu               runloop.Mutex // guards the fields below; held during disk writes
	state            AcceptorState
	grants           leaseGrants // of the primary's lease
	lastGrantedRun   uint64      // the run of the primary's process that the lease was last granted to
	lastGrantedRound uint64      // the highest request round granted to lastGrantedRun
}

// NewID returns a random identity.
func NewID() string {
	var b [8]byte
	rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// Open reads the acceptor's state from disk, or creates an empty state with a new identity. leaseTerm is the longest lease
// that this acceptor may have granted before a restart. Grants are not stored on disk, so an acceptor with stored state makes
// promises to the primary only until leaseTerm has passed. Every error comes from the disk.
func Open(disk store.Disk, leaseTerm time.Duration, log *slog.Logger) (*Acceptor, error) {
	openedAt := time.Now()
	state, ok, err := readState(disk, log)
	if err != nil {
		return nil, err
	}
	a := &Acceptor{mu: runloop.NewMutex(), disk: disk, leaseTerm: leaseTerm}
	if !ok {
		return a, a.persist(AcceptorState{ID: NewID()})
	}
	a.state = state
	a.published.Store(&state)
	if !faultinjection.Disabled("grant-at-restart") {
		a.grants.grant(unknownRun, openedAt.Add(leaseTerm)) // to whichever run held the lease before the restart
	}
	return a, nil
}

// Reset replaces the state with an empty one under a new identity. It is called when the replicated state on the same disk
// has been lost.
func (a *Acceptor) Reset() error {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.persist(AcceptorState{ID: NewID()})
}

// ID returns this acceptor's identity. It does not wait for the disk.
func (a *Acceptor) ID() string { return a.published.Load().ID }

// View returns the newest view that this acceptor knows to be chosen. It does not wait for the disk.
func (a *Acceptor) View() view.View { return a.published.Load().View }

// Status answers a StatusRequest. It does not wait for the disk.
func (a *Acceptor) Status(addr, zone string) *view.StatusResponse {
	state := a.published.Load()
	return &view.StatusResponse{ID: state.ID, Addr: addr, Zone: zone, View: state.View}
}

// Learn stores a chosen view if it is newer than the stored one. Every error comes from the disk.
func (a *Acceptor) Learn(chosen view.View) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.learn(chosen)
}

// learn is Learn for callers that hold the lock.
func (a *Acceptor) learn(chosen view.View) error {
	if chosen.Epoch <= a.state.View.Epoch {
		return nil
	}
	return a.persist(AcceptorState{ID: a.state.ID, View: chosen})
}

// Prepare handles the first phase of a proposal. It responds with a promise and the proposal accepted so far, or with a
// refusal. Every error comes from the disk.
func (a *Acceptor) Prepare(request *PrepareRequest) (*AcceptorResponse, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if err := a.learn(request.Current); err != nil {
		return nil, err
	}
	response := a.refusal()
	if request.Current.Epoch < a.state.View.Epoch {
		return response, nil
	}
	if request.Current.Epoch > 0 && request.Number.Proposer != a.state.View.Primary && a.grants.anyActive(time.Now()) && !faultinjection.Disabled("promise-after-grant") {
		response.Leased = true
		return response, nil
	}
	if !a.state.Promised.Less(request.Number) {
		return response, nil
	}
	next := a.state
	next.Promised = request.Number
	if err := a.persist(next); err != nil {
		return nil, err
	}
	response.Agreed, response.Accepted, response.AcceptedView = true, next.Accepted, next.AcceptedView
	return response, nil
}

// Accept handles the second phase of a proposal: it accepts or refuses it. Every error comes from the disk.
func (a *Acceptor) Accept(request *AcceptRequest) (*AcceptorResponse, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if err := a.learn(request.Current); err != nil {
		return nil, err
	}
	response := a.refusal()
	if request.Current.Epoch < a.state.View.Epoch || request.Number.Less(a.state.Promised) {
		return response, nil
	}
	next := a.state
	next.Promised, next.Accepted, next.AcceptedView = request.Number, request.Number, request.Proposed
	if err := a.persist(next); err != nil {
		return nil, err
	}
	response.Agreed = true
	return response, nil
}

// refusal returns a response that refuses the request and reports this acceptor's current state. The caller holds the lock.
func (a *Acceptor) refusal() *AcceptorResponse {
	return &AcceptorResponse{View: a.state.View, Promised: a.state.Promised, ID: a.state.ID}
}
