// Package paxos chooses the view of each epoch by single-decree Paxos (Lamport, "Paxos Made Simple", 2001). There is one
// instance per epoch; its value is a view.View and its acceptors are the members of the previous epoch. Since a view may
// change the members, a value is chosen once a majority of the old members and a majority of the new members have accepted it.
//
// Acceptors also grant the primary its master lease (Gray and Cheriton, "Leases", 1989; Chandra, Griesemer and Redstone,
// "Paxos Made Live", 2007), because an acceptor must withhold promises from other proposers while its grant is active. Package
// lease implements the primary's side.
package paxos

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/rotisserie/eris"
	"github.com/tinylib/msgp/msgp"

	"yarrowridge/internal/controlplane/view"
)

// CallFunc sends a request of a kind to the process at an address and waits for its response. It is called concurrently.
type CallFunc func(ctx context.Context, addr, kind string, request msgp.Marshaler, response msgp.Unmarshaler) error

// QueryStatus asks the process at an address for its identity and the newest view it knows. The process answers without
// waiting for its disk.
func QueryStatus(ctx context.Context, call CallFunc, addr string) (status view.StatusResponse, err error) {
	err = call(ctx, addr, "view.ask", &view.StatusRequest{}, &status)
	return status, err
}

// ErrNotChosen means that no view is known to have been chosen: too few acceptors answered, a proposal with a higher number
// preempted this one, or the primary's lease is still active.
var ErrNotChosen = errors.New("paxos: no view chosen")

// ErrOutcomeUnknown means that acceptors were asked to accept a view but too few are known to have accepted it. The next
// proposer may find the view accepted by some of them and complete the proposal. It wraps ErrNotChosen.
var ErrOutcomeUnknown = fmt.Errorf("%w, but the proposed view may still be chosen", ErrNotChosen)

// Proposer makes one proposal for the epoch after Current. A Proposer is used only once, by a single goroutine.
type Proposer struct {
	ProposerID    string
	Call          CallFunc
	Current       view.View
	Value         view.View
	Unanimous     bool          // every current member must promise, not only a majority; set for the first epoch
	StepTimeout   time.Duration // timeout of each of the two phases
	HighestNumber uint64        // the highest number of a proposal seen so far; Propose raises it
}

// acceptorResult is one acceptor's response, or the error of the call.
type acceptorResult struct {
	id       string
	response AcceptorResponse
	err      error
}

// quorumFunc reports whether the acceptors that agreed are enough.
type quorumFunc func(agreed map[string]bool) bool

// Propose runs the two phases. It returns the view chosen for the epoch, which may be another proposer's, or a newer view
// that an acceptor reported. It returns ErrNotChosen if the first phase failed and ErrOutcomeUnknown if acceptors may have
// accepted the proposal.
func (p *Proposer) Propose(ctx context.Context) (view.View, error) {
	number := ProposalNumber{Number: p.HighestNumber + 1, Proposer: p.ProposerID}
	value, newer, err := p.prepare(ctx, number)
	if newer.Epoch > 0 {
		return newer, nil
	}
	if err != nil {
		return view.View{}, eris.Wrap(err, "paxos: prepare")
	}
	newer, err = p.accept(ctx, number, value)
	if err == nil {
		return value, nil
	}
	if newer.Epoch > 0 {
		return newer, nil
	}
	return view.View{}, eris.Wrap(ErrOutcomeUnknown, "paxos: accept")
}

// prepare runs the first phase: it asks the current members for promises. By P2c of the paper, the value to propose in the
// second phase is that of the highest-numbered proposal that these acceptors have accepted, or p.Value if there is none.
// newer is the newest chosen view that an acceptor reported, if it is newer than p.Current.
func (p *Proposer) prepare(ctx context.Context, number ProposalNumber) (value, newer view.View, err error) {
	value = p.Value
	value.Epoch = p.Current.Epoch + 1
	var highest ProposalNumber
	observe := func(response AcceptorResponse) {
		p.record(response, &newer)
		if response.Agreed && response.Accepted.Number > 0 && highest.Less(response.Accepted) {
			highest, value = response.Accepted, response.AcceptedView
		}
	}
	quorum := p.Current.IsMajority
	if p.Unanimous {
		quorum = func(agreed map[string]bool) bool { return len(agreed) == len(p.Current.Members) }
	}
	request := &PrepareRequest{Current: p.Current, Number: number}
	err = p.broadcast(ctx, p.Current.Members, "view.prep", request, quorum, observe)
	return value, newer, err
}

// accept runs the second phase: it asks the current and the new members to accept the view. newer is as in prepare.
func (p *Proposer) accept(ctx context.Context, number ProposalNumber, value view.View) (newer view.View, err error) {
	acceptors := slices.Clone(p.Current.Members)
	for _, m := range value.Members {
		if !p.Current.HasMember(m.ID) {
			acceptors = append(acceptors, m)
		}
	}
	quorum := func(agreed map[string]bool) bool { return p.Current.IsMajority(agreed) && value.IsMajority(agreed) }
	observe := func(response AcceptorResponse) { p.record(response, &newer) }
	request := &AcceptRequest{Current: p.Current, Number: number, Proposed: value}
	err = p.broadcast(ctx, acceptors, "view.pick", request, quorum, observe)
	return newer, err
}

// record updates the highest proposal number and the newest chosen view seen so far from a response.
func (p *Proposer) record(response AcceptorResponse, newer *view.View) {
	p.HighestNumber = max(p.HighestNumber, response.Promised.Number)
	if response.View.Epoch > p.Current.Epoch && response.View.Epoch > newer.Epoch {
		*newer = response.View
	}
}

// broadcast sends a request to all acceptors and passes each response to observe. It returns nil as soon as a quorum has
// agreed, and ErrNotChosen if that does not happen within the step timeout.
func (p *Proposer) broadcast(ctx context.Context, acceptors []view.Member, kind string, request msgp.Marshaler, quorum quorumFunc, observe func(AcceptorResponse)) error {
	ctx, cancel := context.WithTimeout(ctx, p.StepTimeout)
	defer cancel()
	results := make(chan acceptorResult, len(acceptors))
	for _, m := range acceptors {
		go func() { results <- p.call(ctx, m, kind, request) }()
	}
	agreed := map[string]bool{}
	for range acceptors {
		var result acceptorResult
		select {
		case result = <-results:
		case <-ctx.Done(): // the local acceptor may be blocked on its disk
			return ErrNotChosen
		}
		if result.err != nil {
			continue
		}
		observe(result.response)
		if result.response.Agreed {
			agreed[result.id] = true
		}
		if quorum(agreed) {
			return nil
		}
	}
	return ErrNotChosen
}

// call sends a request to one acceptor. It rejects the response of a process with another identity: another process at the
// same address, or the same one after it lost its disk.
func (p *Proposer) call(ctx context.Context, m view.Member, kind string, request msgp.Marshaler) acceptorResult {
	result := acceptorResult{id: m.ID}
	result.err = p.Call(ctx, m.Addr, kind, request, &result.response)
	if result.err == nil && result.response.ID != m.ID {
		result.err = eris.Wrapf(ErrNotChosen, "%s: got identity %s, want %s", m.Addr, result.response.ID, m.ID)
	}
	return result
}
