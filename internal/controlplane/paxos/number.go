package paxos

//go:generate go tool msgp -tests=false -io=false

// A length read from the wire is believed up to this only.
//msgp:limit arrays:10000000 maps:200000

// ProposalNumber orders the proposals for one epoch. Two proposers never use the same number, since it contains the
// proposer's identity. A proposer may use a number again, after a restart or where it has not seen that an acceptor
// promised it; but no two proposals with one number get past the first phase, since an acceptor promises each number once
// and two majorities have an acceptor in common.
type ProposalNumber struct {
	Number   uint64 `msg:"n"`
	Proposer string `msg:"w"`
}

// Less orders proposal numbers: by Number, and for equal ones by the proposer's identity.
func (n ProposalNumber) Less(other ProposalNumber) bool {
	return n.Number < other.Number || n.Number == other.Number && n.Proposer < other.Proposer
}
