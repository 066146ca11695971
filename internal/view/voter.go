package view

import (
	"crypto/rand"
	"encoding/hex"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"yarrowridge/internal/env"
	"yarrowridge/internal/store"
	"yarrowridge/internal/strike"
)

// Voter is one member's vote: what it has promised, accepted and learnt, on its disk, and the lease that it has
// granted to the primary, in memory.
type Voter struct {
	disk        store.Disk
	term        time.Duration
	mu          env.Gate // held over a write; readers of what is decided never wait for the disk
	state       VoterState
	published   atomic.Pointer[VoterState] // state, for readers without the lock
	leaseEnd    time.Time                  // the primary's lease as granted here
	leasedRun   uint64                     // of the primary's process that the lease was last granted to
	leasedRound uint64                     // of the last grant
	openedAt    time.Time
}

// ballotFile is the name of the file that keeps the voter's state.
const ballotFile = "ballot"

// NewId makes a random identity.
//
//	id := view.NewId() // "9f86d081884c7d65"
func NewId() string {
	var b [8]byte
	rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// Open reads the voter's state, or begins a blank one with a new identity. term is the longest
// lease that any run of this voter may have granted: after a restart nothing is promised before it
// has passed, since the former run's grants are not on disk.
//
//	v, err := view.Open(disk, 2*time.Second, log)
func Open(d store.Disk, term time.Duration, log *slog.Logger) (*Voter, error) {
	v := &Voter{mu: env.NewGate(), disk: d, term: term, openedAt: time.Now()}
	raw, err := d.Read(ballotFile)
	if err != nil {
		return nil, err
	}
	if raw != nil {
		body, ok := store.Unseal(raw)
		if ok {
			_, err = v.state.UnmarshalMsg(body)
		}
		if ok && err == nil && v.state.Id != "" {
			state := v.state
			v.published.Store(&state)
			if !strike.Out("grant-at-restart") {
				v.leaseEnd = v.openedAt.Add(term)
			}
			return v, nil
		}
		log.Error("Ballot file is damaged; set aside. This disk counts as blank.", "file", "bad-"+ballotFile)
		if err := d.Rename(ballotFile, "bad-"+ballotFile); err != nil {
			return nil, err
		}
	}
	return v, v.reset()
}

// reset is Reset for callers that hold the lock.
func (v *Voter) reset() error {
	return v.persist(VoterState{Id: NewId()})
}

// Reset forgets all and takes a new identity: the state that stood beside this file is lost.
//
//	err := v.Reset()
func (v *Voter) Reset() error {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.reset()
}

// persist syncs the state to disk before it counts.
func (v *Voter) persist(state VoterState) error {
	raw, err := state.MarshalMsg(nil)
	if err != nil {
		return err
	}
	isVote := v.state.Id != "" && state.View.Epoch == v.state.View.Epoch
	if !isVote || !strike.Out("vote-on-disk") {
		if err := v.disk.Write(ballotFile, store.Seal(raw)); err != nil {
			return eris.Wrap(err, "view: ballot not kept")
		}
	}
	v.state = state
	v.published.Store(&state)
	return nil
}

// Id is this voter's identity.
//
//	me := v.Id()
func (v *Voter) Id() string { return v.published.Load().Id }

// View is the newest decided view known here.
//
//	cur := v.View()
func (v *Voter) View() View { return v.published.Load().View }

// Status answers a StatusRequest.
//
//	status := v.Status("127.0.0.1:7401", "north")
func (v *Voter) Status(addr, zone string) *StatusResponse {
	state := v.published.Load()
	return &StatusResponse{Id: state.Id, Addr: addr, Zone: zone, View: state.View}
}

// Learn takes a decided view if it is newer.
//
//	err := v.Learn(next)
func (v *Voter) Learn(next View) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.learn(next)
}

// learn is Learn for callers that hold the lock.
func (v *Voter) learn(next View) error {
	if next.Epoch <= v.state.View.Epoch {
		return nil
	}
	return v.persist(VoterState{Id: v.state.Id, View: next})
}

// Prepare answers a proposer's first step.
//
//	response, err := v.Prepare(&view.PrepareRequest{Current: cur, Ballot: ballot})
func (v *Voter) Prepare(request *PrepareRequest) (*BallotResponse, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if err := v.learn(request.Current); err != nil {
		return nil, err
	}
	response := &BallotResponse{View: v.state.View, Promised: v.state.Promised, Id: v.state.Id}
	if request.Current.Epoch < v.state.View.Epoch {
		return response, nil
	}
	if request.Current.Epoch > 0 && request.Ballot.Proposer != v.state.View.Primary && time.Now().Before(v.leaseEnd) {
		response.Leased = true
		return response, nil
	}
	if !v.state.Promised.Less(request.Ballot) {
		return response, nil
	}
	next := v.state
	next.Promised = request.Ballot
	if err := v.persist(next); err != nil {
		return nil, err
	}
	response.Ok, response.Accepted, response.AcceptedView = true, next.Accepted, next.AcceptedView
	return response, nil
}

// Accept answers a proposer's second step.
//
//	response, err := v.Accept(&view.AcceptRequest{Current: cur, Ballot: ballot, Proposed: next})
func (v *Voter) Accept(request *AcceptRequest) (*BallotResponse, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if err := v.learn(request.Current); err != nil {
		return nil, err
	}
	response := &BallotResponse{View: v.state.View, Promised: v.state.Promised, Id: v.state.Id}
	if request.Current.Epoch < v.state.View.Epoch || request.Ballot.Less(v.state.Promised) {
		return response, nil
	}
	next := v.state
	next.Promised, next.Accepted, next.AcceptedView = request.Ballot, request.Ballot, request.Proposed
	if err := v.persist(next); err != nil {
		return nil, err
	}
	response.Ok = true
	return response, nil
}

// Renew leases the primacy to a view's primary for the term, counted from now on this clock.
//
//	response, err := v.Renew(&view.RenewRequest{View: cur, PrimaryRun: run, Round: round})
func (v *Voter) Renew(request *RenewRequest) (*RenewResponse, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if err := v.learn(request.View); err != nil {
		return nil, err
	}
	response := &RenewResponse{View: v.state.View, Id: v.state.Id}
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
//
//	v.Release(&view.ReleaseRequest{Epoch: cur.Epoch, PrimaryRun: run, Round: round})
func (v *Voter) Release(request *ReleaseRequest) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if request.PrimaryRun != 0 && request.PrimaryRun == v.leasedRun && request.Round > v.leasedRound && request.Epoch == v.state.View.Epoch {
		v.leaseEnd = time.Now()
	}
}

// Leased tells whether the primary's lease still runs here.
//
//	if !v.Leased() { ... }
func (v *Voter) Leased() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return time.Now().Before(v.leaseEnd)
}
