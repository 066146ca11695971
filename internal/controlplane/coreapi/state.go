package coreapi

import "yarrowridge/internal/controlplane/view"

//go:generate go tool msgp -tests=false -io=false

// Limits on lengths read from the wire, which bound the memory that a malformed message can allocate.
//msgp:limit arrays:10000000 maps:200000

// StateRequest requests the state of a core and its fleet.
type StateRequest struct{}

// State describes a core and, if it is the primary, its fleet.
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
