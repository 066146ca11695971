package coreapi

import "yarrowridge/internal/controlplane/view"

//go:generate go tool msgp -tests=false -io=false

// A length read from the wire is believed up to this only.
//msgp:limit arrays:10000000 maps:200000

// StateRequest asks for the fleet's state.
type StateRequest struct{}

// State is what a core reports of itself and, where it is primary, of its fleet.
type State struct {
	View              view.View     `msg:"v" json:"view"`
	ID                string        `msg:"m" json:"id"`
	Ready             bool          `msg:"r" json:"ready"`
	ConfigVersion     uint64        `msg:"s" json:"sequence"`
	StoreVersion      uint64        `msg:"t" json:"stored"`
	Nodes             []Node        `msg:"n" json:"nodes"`
	Shares            []QuotaShare  `msg:"h" json:"shares"`
	Candidates        []view.Member `msg:"p" json:"spares"`
	DiskFailed        bool          `msg:"k" json:"disk_trouble"`
	Claims            int           `msg:"c" json:"claims"`
	FinishedKeys      int           `msg:"a" json:"keys_that_ran"`
	FinishedKeyChunks int           `msg:"b" json:"parts_of_keys"`
}
