package paxos

import (
	"log/slog"

	"github.com/rotisserie/eris"

	"yarrowridge/internal/controlplane/store"
	"yarrowridge/internal/controlplane/view"
	"yarrowridge/internal/lib/faultinjection"
)

//go:generate go tool msgp -tests=false -io=false

// A length read from disk is believed up to this only.
//msgp:limit arrays:10000000 maps:200000

// stateFile is the name of the file that keeps an acceptor's state. It is part of the stored format.
const stateFile = "ballot"

// AcceptorState is what an acceptor keeps on disk. Promised, Accepted and AcceptedView belong to the epoch after the one
// of View, and are zero again once a newer View is learnt.
type AcceptorState struct {
	ID           string         `msg:"i"`
	View         view.View      `msg:"v"` // the newest view known to be chosen
	Promised     ProposalNumber `msg:"b"` // no proposal with a lower number is accepted
	Accepted     ProposalNumber `msg:"a"` // of the proposal with AcceptedView; zero: none was accepted
	AcceptedView view.View      `msg:"n"`
}

// readState reads the state from disk. It reports false where there is none, or a damaged one, which is renamed.
func readState(disk store.Disk, log *slog.Logger) (state AcceptorState, ok bool, err error) {
	raw, err := disk.Read(stateFile)
	if err != nil {
		return AcceptorState{}, false, eris.Wrap(err, "paxos: read acceptor state")
	}
	if raw == nil {
		return AcceptorState{}, false, nil
	}
	if body, intact := store.VerifyChecksum(raw); intact {
		if _, err := state.UnmarshalMsg(body); err == nil && state.ID != "" {
			return state, true, nil
		}
	}
	log.Error("Acceptor state is damaged and was set aside. This disk counts as blank.", "file", "bad-"+stateFile)
	if err := disk.Rename(stateFile, "bad-"+stateFile); err != nil {
		return AcceptorState{}, false, eris.Wrap(err, "paxos: set acceptor state aside")
	}
	return AcceptorState{}, false, nil
}

// persist syncs the state to disk before it counts. The caller holds the lock.
func (a *Acceptor) persist(state AcceptorState) error {
	raw, err := state.MarshalMsg(nil)
	if err != nil {
		return eris.Wrap(err, "paxos: encode acceptor state")
	}
	isVote := a.state.ID != "" && state.View.Epoch == a.state.View.Epoch
	if !isVote || !faultinjection.Disabled("vote-on-disk") {
		if err := a.disk.Write(stateFile, store.AddChecksum(raw)); err != nil {
			return eris.Wrap(err, "paxos: write acceptor state")
		}
	}
	a.state = state
	a.published.Store(&state)
	return nil
}
