// Package paxos chooses the view of each epoch by single-decree Paxos (Lamport, "Paxos Made Simple", 2001): one instance an
// epoch, whose value is a view.View and whose acceptors are the members of the epoch before. Since a view may change the
// members, a value is chosen once majorities of the old and of the new members have accepted it.
//
// Acceptors also grant the primary its master lease (Gray and Cheriton, 1989; Chandra, Griesemer and Redstone, "Paxos Made
// Live", 2007), since a grant has to hold promises back; the primary's side of it is package lease.
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

// CallFunc sends a request to the acceptor at an address and waits for its response. It is called concurrently.
type CallFunc func(ctx context.Context, addr, kind string, request msgp.Marshaler, response msgp.Unmarshaler) error

// QueryStatus asks the process at an address who it is and which view it knows. The answer does not wait for its disk.
func QueryStatus(ctx context.Context, call CallFunc, addr string) (status view.StatusResponse, err error) {
	err = call(ctx, addr, "view.ask", &view.StatusRequest{}, &status)
	return status, err
}

// ErrNotChosen means that the proposal is not known to have been chosen: too few acceptors answered, a proposal with a
// higher number went ahead, or the primary's lease still runs.
var ErrNotChosen = errors.New("paxos: no view chosen")

// ErrOutcomeUnknown means that acceptors were asked to accept a view, and too few are known to have done so: whoever
// proposes next may find it accepted, and complete it. It is an ErrNotChosen too.
var ErrOutcomeUnknown = fmt.Errorf("%w, but one may be later", ErrNotChosen)

// Proposer makes one proposal for the epoch after Current. It is used by one goroutine, and once.
type Proposer struct {
	ProposerID    string
	Call          CallFunc
	Current       view.View
	Value         view.View
	Unanimous     bool          // founding: every founder must promise, not only a majority
	StepTimeout   time.Duration // for each of the two phases
	HighestNumber uint64        // the highest number of a proposal seen so far; Propose raises it
}

// acceptorResult is what one acceptor answered, or why it did not.
type acceptorResult struct {
	id       string
	response AcceptorResponse
	err      error
}

// quorumFunc reports whether the acceptors that agreed are enough.
type quorumFunc func(agreed map[string]bool) bool

// Propose runs the two phases. It returns the view now chosen for the epoch, which may be another proposer's, or a newer
// view that an acceptor knew of; ErrNotChosen where nothing was learnt, ErrOutcomeUnknown where acceptors may have accepted.
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

// prepare is the first phase: it asks the current members for their promises. value is the view to propose then, by the
// paper's P2c: that of the highest-numbered proposal accepted among them, or our own where there is none. newer is the
// newest chosen view that an acceptor knew of.
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

// accept is the second phase: it asks the current and the new members to accept the view. newer is the newest chosen view
// that an acceptor knew of.
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

// record keeps the highest number and the newest chosen view seen.
func (p *Proposer) record(response AcceptorResponse, newer *view.View) {
	p.HighestNumber = max(p.HighestNumber, response.Promised.Number)
	if response.View.Epoch > p.Current.Epoch && response.View.Epoch > newer.Epoch {
		*newer = response.View
	}
}

// broadcast sends one request to all acceptors, passes each response to observe, and ends once a quorum has agreed.
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
		case <-ctx.Done(): // our own acceptor may be stuck at its disk
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

// call sends one request to one acceptor. Another process at its address, or one that has lost its disk, may not answer
// for it.
func (p *Proposer) call(ctx context.Context, m view.Member, kind string, request msgp.Marshaler) acceptorResult {
	result := acceptorResult{id: m.ID}
	result.err = p.Call(ctx, m.Addr, kind, request, &result.response)
	if result.err == nil && result.response.ID != m.ID {
		result.err = eris.Wrapf(ErrNotChosen, "%s: got identity %s, want %s", m.Addr, result.response.ID, m.ID)
	}
	return result
}
