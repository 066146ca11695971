package paxos

import (
	"crypto/rand"
	"encoding/hex"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"yarrowridge/internal/controlplane/store"
	"yarrowridge/internal/controlplane/view"
	"yarrowridge/internal/lib/faultinjection"
	"yarrowridge/internal/lib/runloop"
)

// Acceptor is one member's vote: what it has promised, accepted and learnt, on its disk, and the lease that it has
// granted to the primary, in memory.
type Acceptor struct {
	disk        store.Disk
	term        time.Duration
	mu          runloop.Mutex // held over a write; readers of what is decided never wait for the disk
	state       AcceptorState
	published   atomic.Pointer[AcceptorState] // state, for readers without the lock
	leaseEnd    time.Time                     // the primary's lease as granted here
	leasedRun   uint64                        // of the primary's process that the lease was last granted to
	leasedRound uint64                        // of the last grant
	openedAt    time.Time
}

// ballotFile is the name of the file that keeps the voter's state.
const stateFile = "ballot"

// NewID makes a random identity.
func NewID() string {
	var b [8]byte
	rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// Open reads the voter's state, or begins a blank one with a new identity. term is the longest
// lease that any run of this voter may have granted: after a restart nothing is promised before it
// has passed, since the former run's grants are not on disk.
func Open(d store.Disk, term time.Duration, log *slog.Logger) (*Acceptor, error) {
	v := &Acceptor{mu: runloop.NewMutex(), disk: d, term: term, openedAt: time.Now()}
	raw, err := d.Read(stateFile)
	if err != nil {
		return nil, err
	}
	if raw != nil {
		body, ok := store.VerifyChecksum(raw)
		if ok {
			_, err = v.state.UnmarshalMsg(body)
		}
		if ok && err == nil && v.state.ID != "" {
			state := v.state
			v.published.Store(&state)
			if !faultinjection.Disabled("grant-at-restart") {
				v.leaseEnd = v.openedAt.Add(term)
			}
			return v, nil
		}
		log.Error("Ballot file is damaged; set aside. This disk counts as blank.", "file", "bad-"+stateFile)
		if err := d.Rename(stateFile, "bad-"+stateFile); err != nil {
			return nil, err
		}
	}
	return v, v.reset()
}

// reset is Reset for callers that hold the lock.
func (v *Acceptor) reset() error {
	return v.persist(AcceptorState{ID: NewID()})
}

// Reset forgets all and takes a new identity: the state that stood beside this file is lost.
func (v *Acceptor) Reset() error {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.reset()
}

// persist syncs the state to disk before it counts.
func (v *Acceptor) persist(state AcceptorState) error {
	raw, err := state.MarshalMsg(nil)
	if err != nil {
		return err
	}
	isVote := v.state.ID != "" && state.View.Epoch == v.state.View.Epoch
	if !isVote || !faultinjection.Disabled("vote-on-disk") {
		if err := v.disk.Write(stateFile, store.AddChecksum(raw)); err != nil {
			return eris.Wrap(err, "view: ballot not kept")
		}
	}
	v.state = state
	v.published.Store(&state)
	return nil
}

// ID is this voter's identity.
func (v *Acceptor) ID() string { return v.published.Load().ID }

// View is the newest decided view known here.
func (v *Acceptor) View() view.View { return v.published.Load().View }

// Status answers a StatusRequest.
func (v *Acceptor) Status(addr, zone string) *view.StatusResponse {
	state := v.published.Load()
	return &view.StatusResponse{ID: state.ID, Addr: addr, Zone: zone, View: state.View}
}

// Learn takes a decided view if it is newer.
func (v *Acceptor) Learn(next view.View) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.learn(next)
}

// learn is Learn for callers that hold the lock.
func (v *Acceptor) learn(next view.View) error {
	if next.Epoch <= v.state.View.Epoch {
		return nil
	}
	return v.persist(AcceptorState{ID: v.state.ID, View: next})
}

// Prepare answers a proposer's first step.
func (v *Acceptor) Prepare(request *PrepareRequest) (*VoteResponse, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if err := v.learn(request.Current); err != nil {
		return nil, err
	}
	response := &VoteResponse{View: v.state.View, Promised: v.state.Promised, ID: v.state.ID}
	if request.Current.Epoch < v.state.View.Epoch {
		return response, nil
	}
	if request.Current.Epoch > 0 && request.Number.Proposer != v.state.View.Primary && time.Now().Before(v.leaseEnd) {
		response.Leased = true
		return response, nil
	}
	if !v.state.Promised.Less(request.Number) {
		return response, nil
	}
	next := v.state
	next.Promised = request.Number
	if err := v.persist(next); err != nil {
		return nil, err
	}
	response.Ok, response.Accepted, response.AcceptedView = true, next.Accepted, next.AcceptedView
	return response, nil
}

// Accept answers a proposer's second step.
func (v *Acceptor) Accept(request *AcceptRequest) (*VoteResponse, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if err := v.learn(request.Current); err != nil {
		return nil, err
	}
	response := &VoteResponse{View: v.state.View, Promised: v.state.Promised, ID: v.state.ID}
	if request.Current.Epoch < v.state.View.Epoch || request.Number.Less(v.state.Promised) {
		return response, nil
	}
	next := v.state
	next.Promised, next.Accepted, next.AcceptedView = request.Number, request.Number, request.Proposed
	if err := v.persist(next); err != nil {
		return nil, err
	}
	response.Ok = true
	return response, nil
}

// Renew leases the primacy to a view's primary for the term, counted from now on this clock.
func (v *Acceptor) Renew(request *RenewRequest) (*RenewResponse, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if err := v.learn(request.View); err != nil {
		return nil, err
	}
	response := &RenewResponse{View: v.state.View, ID: v.state.ID}
	switch {
	case request.View.Epoch < v.state.View.Epoch:
	case v.state.Promised.Number > 0 && v.state.Promised.Proposer != v.state.View.Primary:
		response.PromisedOther = true
	default:
		response.Ok = true
		v.leaseEnd = time.Now().Add(v.term)
		if request.PrimaryRun != v.leasedRun {
			v.leasedRun, v.leasedRound = request.PrimaryRun, 0
		}
		v.leasedRound = max(v.leasedRound, request.Round)
	}
	return response, nil
}

// Release ends the primary's lease where it asks so. One that was long under way, so that a newer
// grant or another run's stands here, ends nothing.
func (v *Acceptor) Release(request *ReleaseRequest) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if request.PrimaryRun != 0 && request.PrimaryRun == v.leasedRun && request.Round > v.leasedRound && request.Epoch == v.state.View.Epoch {
		v.leaseEnd = time.Now()
	}
}

// Leased reports whether the primary's lease still runs here.
func (v *Acceptor) Leased() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return time.Now().Before(v.leaseEnd)
}
