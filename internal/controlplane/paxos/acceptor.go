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

// Acceptor is one member's acceptor. What it has promised, accepted and learnt is on its disk; the lease that it has
// granted to the primary is in memory. All methods may be called concurrently.
//
// Invariants, with the names of "Paxos Made Simple":
//
//   - P1a: it accepts a proposal numbered n unless it has promised a number greater than n.
//   - A promise and an accepted proposal are synced to disk before the response that tells of them.
//   - While a lease that it granted runs, it promises nothing to anybody but the primary.
//   - After a restart it promises nothing to another before any lease of the run before has ended.
type Acceptor struct {
	disk      store.Disk
	leaseTerm time.Duration
	published atomic.Pointer[AcceptorState] // state, for readers without the lock

	mu               runloop.Mutex // guards the fields below; held over a disk write
	state            AcceptorState
	grants           leaseGrants // of the primary's lease
	lastGrantedRun   uint64      // of the primary's process that the lease was last granted to
	lastGrantedRound uint64      // of the last grant
}

// NewID makes a random identity.
func NewID() string {
	var b [8]byte
	rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// Open reads the acceptor's state, or begins a blank one with a new identity. leaseTerm is the longest lease that any run
// of this acceptor may have granted: after a restart nothing is promised to another before it has passed, since the
// grants of the run before are not on disk. An error is one of the disk.
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
		a.grants.grant(unknownRun, openedAt.Add(leaseTerm)) // to whichever run held the lease before
	}
	return a, nil
}

// Reset forgets all and takes a new identity: the replicated state that was stored beside this one is lost.
func (a *Acceptor) Reset() error {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.persist(AcceptorState{ID: NewID()})
}

// ID is this acceptor's identity. It does not wait for the disk.
func (a *Acceptor) ID() string { return a.published.Load().ID }

// View is the newest view known here to be chosen. It does not wait for the disk.
func (a *Acceptor) View() view.View { return a.published.Load().View }

// Status answers a StatusRequest. It does not wait for the disk.
func (a *Acceptor) Status(addr, zone string) *view.StatusResponse {
	state := a.published.Load()
	return &view.StatusResponse{ID: state.ID, Addr: addr, Zone: zone, View: state.View}
}

// Learn stores a chosen view if it is newer than the one known. An error is one of the disk.
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

// Prepare answers the first phase of a proposal: with a promise and the proposal accepted so far, or a refusal. An error
// is one of the disk.
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
	if request.Current.Epoch > 0 && request.Number.Proposer != a.state.View.Primary && a.grants.areActive(time.Now()) && !faultinjection.Disabled("promise-after-grant") {
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

// Accept answers the second phase of a proposal: accepted, or a refusal. An error is one of the disk.
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

// refusal is a response that agrees to nothing and tells how this acceptor stands. The caller holds the lock.
func (a *Acceptor) refusal() *AcceptorResponse {
	return &AcceptorResponse{View: a.state.View, Promised: a.state.Promised, ID: a.state.ID}
}
