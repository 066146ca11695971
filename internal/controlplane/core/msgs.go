package core

import (
	"yarrowridge/internal/controlplane/view"
)

//go:generate go tool msgp -tests=false -io=false -unexported

// Upper limits for lengths read from the wire.
//msgp:limit arrays:10000000 maps:200000

// JoinRequest asks the primary to make a process a member.
type JoinRequest struct {
	Member view.Member `msg:"w"`
}
