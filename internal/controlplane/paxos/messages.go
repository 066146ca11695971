package paxos

import "yarrowridge/internal/controlplane/view"

//go:generate go tool msgp -tests=false -io=false

// A length read from the wire is believed up to this only.
//msgp:limit arrays:10000000 maps:200000

// PrepareRequest asks an acceptor to promise that it accepts no proposal with a lower number for the epoch after Current.
type PrepareRequest struct {
	Current view.View      `msg:"c"`
	Number  ProposalNumber `msg:"b"`
}

// AcceptRequest asks an acceptor to accept a view for the epoch after Current.
type AcceptRequest struct {
	Current  view.View      `msg:"c"`
	Number   ProposalNumber `msg:"b"`
	Proposed view.View      `msg:"n"`
}

// AcceptorResponse answers a PrepareRequest with a promise, an AcceptRequest with an acceptance, and either with a refusal
// and its reason.
type AcceptorResponse struct {
	Agreed       bool           `msg:"o"`
	Leased       bool           `msg:"l"` // refused: the primary's lease has not ended here
	Promised     ProposalNumber `msg:"s"` // before the request
	Accepted     ProposalNumber `msg:"a"` // with a promise: of the proposal accepted so far; zero: none
	AcceptedView view.View      `msg:"n"`
	View         view.View      `msg:"v"` // the newest chosen view known here; newer than Current means Current is old
	ID           string         `msg:"i"`
}

// RenewRequest asks an acceptor for the master lease of a view's primary. PrimaryRun is one run of the primary's process,
// Round grows with each round of requests.
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

// RenewResponse answers a RenewRequest: the lease is granted, or why not.
type RenewResponse struct {
	Granted       bool      `msg:"o"`
	PromisedOther bool      `msg:"p"` // refused: a promise to another proposer for the next epoch was given here
	View          view.View `msg:"v"`
	ID            string    `msg:"i"`
}
