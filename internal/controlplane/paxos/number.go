package paxos

//go:generate go tool msgp -tests=false -io=false

// Maximum lengths of arrays and maps that the decoder accepts from the wire.
//msgp:limit arrays:10000000 maps:200000

// ProposalNumber orders the proposals for one epoch. Two proposers never use the same number, since it contains the
// proposer's identity. One proposer may reuse a number after a restart, or if it did not learn that an acceptor had promised
// it. At most one proposal with a given number completes the first phase, since an acceptor promises each number only
// once and any two majorities have an acceptor in common.
type ProposalNumber struct {
	Number   uint64 `msg:"n"`
	Proposer string `msg:"w"`
}

// Less orders proposal numbers by Number, then by the proposer's identity.
func (n ProposalNumber) Less(other ProposalNumber) bool {
	return n.Number < other.Number || n.Number == other.Number && n.Proposer < other.Proposer
}
