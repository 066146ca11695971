package paxos

import (
	"log/slog"

	"github.com/rotisserie/eris"

	"yarrowridge/internal/controlplane/store"
	"yarrowridge/internal/controlplane/view"
	"yarrowridge/internal/lib/faultinjection"
)

//go:generate go tool msgp -tests=false -io=false

// Maximum lengths of arrays and maps that the decoder accepts from disk.
//msgp:limit arrays:10000000 maps:200000

// stateFile is the name of the file with the acceptor's state. The name is part of the stored format.
const stateFile = "ballot"

// AcceptorState is the state that an acceptor stores on disk. Promised, Accepted and AcceptedView belong to the epoch after
// that of View; they are reset to zero when a newer View is learnt.
type AcceptorState struct {
	ID           string         `msg:"i"`
	View         view.View      `msg:"v"` // the newest view known to be chosen
	Promised     ProposalNumber `msg:"b"` // no proposal with a lower number is accepted
	Accepted     ProposalNumber `msg:"a"` // number of the accepted proposal, whose value is AcceptedView; zero if there is none
	AcceptedView view.View      `msg:"n"`
}

// readState reads the state from disk. ok is false if there is no state, or if it is damaged; a damaged file is renamed.
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
		return AcceptorState{}, false, eris.Wrap(err, "paxos: rename damaged acceptor state")
	}
	return AcceptorState{}, false, nil
}

// persist makes state the current one after syncing it to disk. The caller holds the lock.
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
