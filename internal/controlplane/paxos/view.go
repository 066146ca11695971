// Package view is the agreement on who is primary: a majority of the members decides one small record, the view,
// for each epoch by single-decree Paxos. Voters sync their promises and accepted views to disk before they answer.
package paxos

// Less orders ballots.
func (b ProposalNumber) Less(other ProposalNumber) bool {
	return b.Number < other.Number || b.Number == other.Number && b.Proposer < other.Proposer
}
