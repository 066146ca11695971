package paxos

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"
	"yarrowridge/internal/controlplane/view"

	"github.com/rotisserie/eris"
	"github.com/tinylib/msgp/msgp"
)

// CallFunc reaches a voter by address.
type CallFunc func(ctx context.Context, addr, kind string, in msgp.Marshaler, out msgp.Unmarshaler) error

// ErrNotDecided means that the proposal decided nothing that we know of: too few voters answered,
// another ballot went ahead, or the primary's lease still stands.
var ErrNotDecided = errors.New("view: not decided")

// ErrInDoubt means that voters were asked to accept a view, and too few are known to have done so: whoever proposes next
// may find it accepted, and decide it. It is an ErrNotDecided too.
var ErrOutcomeUnknown = fmt.Errorf("%w, and may yet be", ErrNotDecided)

// Proposal is one proposer's attempt to decide the epoch after Current.
type Proposal struct {
	ProposerID    string
	Call          CallFunc
	Current       view.View
	Next          view.View
	Unanimous     bool          // founding: every founder must have promised
	StepTimeout   time.Duration // for each of the two steps
	HighestNumber uint64        // highest ballot number seen so far
}

// reply is what one voter answered, or why it did not.
type reply struct {
	id       string
	response VoteResponse
	err      error
}

// quorum reports whether the voters that agreed are enough.
type quorum func(agreed map[string]bool) bool

// Run makes the proposal. It returns the view now decided for the epoch, which may be another's,
// or a newer view that a voter knew of; ErrNotDecided where nothing was learnt, ErrInDoubt where voters may have accepted.
func (p *Proposal) Run(ctx context.Context) (view.View, error) {
	ballot := ProposalNumber{Number: p.HighestNumber + 1, Proposer: p.ProposerID}
	next, newer, err := p.prepare(ctx, ballot)
	if newer.Epoch > 0 {
		return newer, nil
	}
	if err != nil {
		return view.View{}, eris.Wrap(err, "view: prepare")
	}
	newer, err = p.accept(ctx, ballot, next)
	if err == nil {
		return next, nil
	}
	if newer.Epoch > 0 {
		return newer, nil
	}
	return view.View{}, eris.Wrap(ErrOutcomeUnknown, "view: accept")
}

// prepare is the first step: it asks the current members for their promises. next is the view to propose then: the
// one accepted under the highest ballot, or else our own. newer is the newest decided view that a voter knew of.
func (p *Proposal) prepare(ctx context.Context, ballot ProposalNumber) (next, newer view.View, err error) {
	next = p.Next
	next.Epoch = p.Current.Epoch + 1
	var best ProposalNumber
	see := func(response VoteResponse) {
		p.note(response, &newer)
		if response.Ok && response.Accepted.Number > 0 && best.Less(response.Accepted) {
			best, next = response.Accepted, response.AcceptedView
		}
	}
	enough := p.Current.IsMajority
	if p.Unanimous {
		enough = func(agreed map[string]bool) bool { return len(agreed) == len(p.Current.Members) }
	}
	request := &PrepareRequest{Current: p.Current, Number: ballot}
	err = p.ask(ctx, p.Current.Members, "view.prep", request, enough, see)
	return next, newer, err
}

// accept is the second step: it asks the current and the new members to accept the view. newer is the newest
// decided view that a voter knew of.
func (p *Proposal) accept(ctx context.Context, ballot ProposalNumber, next view.View) (newer view.View, err error) {
	voters := slices.Clone(p.Current.Members)
	for _, m := range next.Members {
		if !p.Current.HasMember(m.ID) {
			voters = append(voters, m)
		}
	}
	enough := func(agreed map[string]bool) bool { return p.Current.IsMajority(agreed) && next.IsMajority(agreed) }
	see := func(response VoteResponse) { p.note(response, &newer) }
	request := &AcceptRequest{Current: p.Current, Number: ballot, Proposed: next}
	err = p.ask(ctx, voters, "view.pick", request, enough, see)
	return newer, err
}

// note remembers the highest ballot seen and the newest decided view.
func (p *Proposal) note(response VoteResponse, newer *view.View) {
	p.HighestNumber = max(p.HighestNumber, response.Promised.Number)
	if response.View.Epoch > p.Current.Epoch && response.View.Epoch > newer.Epoch {
		*newer = response.View
	}
}

// ask sends one request to all voters, shows each response to see, and ends once enough have agreed.
func (p *Proposal) ask(ctx context.Context, voters []view.Member, kind string, request msgp.Marshaler, enough quorum, see func(VoteResponse)) error {
	ctx, cancel := context.WithTimeout(ctx, p.StepTimeout)
	defer cancel()
	replies := make(chan reply, len(voters))
	for _, m := range voters {
		go func() { replies <- p.askVoter(ctx, m, kind, request) }()
	}
	agreed := map[string]bool{}
	for range voters {
		var one reply
		select {
		case one = <-replies:
		case <-ctx.Done(): // a voter of ours may be stuck at its disk
			return ErrNotDecided
		}
		if one.err != nil {
			continue
		}
		see(one.response)
		if one.response.Ok {
			agreed[one.id] = true
		}
		if enough(agreed) {
			return nil
		}
	}
	return ErrNotDecided
}

// askVoter sends one request to one voter.
func (p *Proposal) askVoter(ctx context.Context, m view.Member, kind string, request msgp.Marshaler) reply {
	one := reply{id: m.ID}
	one.err = p.Call(ctx, m.Addr, kind, request, &one.response)
	// Another process, or a blank one, at this address has no say for the member.
	if one.err == nil && one.response.ID != m.ID {
		one.err = eris.Wrapf(ErrNotDecided, "%s: identity %s, %s expected", m.Addr, one.response.ID, m.ID)
	}
	return one
}
