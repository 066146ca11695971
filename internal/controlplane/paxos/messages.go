package paxos

import "yarrowridge/internal/controlplane/view"

//go:generate go tool msgp -tests=false -io=false

// Maximum lengths of arrays and maps that the decoder accepts from the wire.
//msgp:limit arrays:10000000 maps:200000

// PrepareRequest asks an acceptor to promise to accept no proposal with a number lower than Number for the epoch after
// Current.
type PrepareRequest struct {
	Current view.View      `msg:"c"`
	Number  ProposalNumber `msg:"b"`
}

// AcceptRequest asks an acceptor to accept the Proposed view for the epoch after Current.
type AcceptRequest struct {
	Current  view.View      `msg:"c"`
	Number   ProposalNumber `msg:"b"`
	Proposed view.View      `msg:"n"`
}

// AcceptorResponse is the response to a PrepareRequest or an AcceptRequest: a promise or an acceptance if Agreed, otherwise
// a refusal. The other fields show the reason for a refusal.
type AcceptorResponse struct {
	Agreed       bool           `msg:"o"`
	Leased       bool           `msg:"l"` // refused because a lease that this acceptor granted to the primary is active
	Promised     ProposalNumber `msg:"s"` // the highest number promised before this request
	Accepted     ProposalNumber `msg:"a"` // set with a promise: number of the proposal accepted so far; zero if there is none
	AcceptedView view.View      `msg:"n"`
	View         view.View      `msg:"v"` // the newest chosen view that the acceptor knows; if it is newer than Current, Current is outdated
	ID           string         `msg:"i"`
}

// RenewRequest asks an acceptor to grant the master lease to the primary of a view, or to renew it. PrimaryRun identifies one
// run of the primary's process. Round increases with each round of requests.
type RenewRequest struct {
	View       view.View `msg:"v"`
	PrimaryRun uint64    `msg:"r"`
	Round      uint64    `msg:"t"`
}

// ReleaseRequest releases the lease: the primary of the epoch no longer acts on any grant of this or an earlier round.
type ReleaseRequest struct {
	Epoch      uint64 `msg:"e"`
	PrimaryRun uint64 `msg:"r"`
	Round      uint64 `msg:"t"`
}

// RenewResponse is the response to a RenewRequest: the lease is granted, or refused and the fields show the reason.
type RenewResponse struct {
	Granted       bool      `msg:"o"`
	PromisedOther bool      `msg:"p"` // refused because the acceptor has made a promise for the next epoch to another proposer
	View          view.View `msg:"v"`
	ID            string    `msg:"i"`
}
