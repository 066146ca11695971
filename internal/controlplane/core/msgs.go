package core

import (
	"yarrowridge/internal/controlplane/view"
)

//go:generate go tool msgp -tests=false -io=false -unexported

// A length read from the wire is believed up to this only.
//msgp:limit arrays:10000000 maps:200000

// JoinRequest is a process that is no member asking to become one.
type JoinRequest struct {
	Member view.Member `msg:"w"`
}
