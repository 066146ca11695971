package paxos

import "yarrowridge/internal/controlplane/view"

//go:generate go tool msgp -tests=false -io=false

// A length read from the wire is believed up to this only.
//msgp:limit arrays:10000000 maps:200000

// ProposalNumber orders the proposals for one epoch.
type ProposalNumber struct {
	Number   uint64 `msg:"n"`
	Proposer string `msg:"w"`
}

// AcceptorState is what a voter keeps on disk. Promises and accepted views belong to the
// epoch after the one of View.
type AcceptorState struct {
	ID           string         `msg:"i"`
	View         view.View      `msg:"v"`
	Promised     ProposalNumber `msg:"b"` // no ballot below it is accepted
	Accepted     ProposalNumber `msg:"a"` // under which AcceptedView was accepted
	AcceptedView view.View      `msg:"n"`
}

// PrepareRequest asks a voter to promise that it accepts no lower ballot for the epoch after Current.
type PrepareRequest struct {
	Current view.View      `msg:"c"`
	Number  ProposalNumber `msg:"b"`
}

// VoteResponse answers a PrepareRequest or an AcceptRequest: yes, or why not.
type VoteResponse struct {
	Ok           bool           `msg:"o"`
	Leased       bool           `msg:"l"` // the primary's lease has not run out here
	Promised     ProposalNumber `msg:"s"`
	Accepted     ProposalNumber `msg:"a"`
	AcceptedView view.View      `msg:"n"`
	View         view.View      `msg:"v"` // what is decided here; newer than Current means Current is old
	ID           string         `msg:"i"`
}

// AcceptRequest asks a voter to accept a view for the epoch after Current.
type AcceptRequest struct {
	Current  view.View      `msg:"c"`
	Number   ProposalNumber `msg:"b"`
	Proposed view.View      `msg:"n"`
}

// RenewRequest asks a voter to lease the primacy of a view to its primary. PrimaryRun is one run of the
// primary's process, Round grows with each round of requests.
type RenewRequest struct {
	View       view.View `msg:"v"`
	PrimaryRun uint64    `msg:"r"`
	Round      uint64    `msg:"t"`
}

// ReleaseRequest gives the lease back: the primary of the epoch acts on no grant of this or an earlier round.
type ReleaseRequest struct {
	Epoch      uint64 `msg:"e"`
	PrimaryRun uint64 `msg:"r"`
	Round      uint64 `msg:"t"`
}

// RenewResponse answers RenewRequest: the lease is granted, or why not.
type RenewResponse struct {
	Ok            bool      `msg:"o"`
	PromisedOther bool      `msg:"p"` // refused since a promise to another proposer for the next epoch stands here
	View          view.View `msg:"v"`
	ID            string    `msg:"i"`
}
