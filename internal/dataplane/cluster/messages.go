package cluster

import "yarrowridge/internal/controlplane/coreapi"

//go:generate go tool msgp -tests=false -io=false

// A length read from the wire is believed up to this only.
//msgp:limit arrays:10000000 maps:200000

// NodeList is a router's peer directory.
type NodeList struct {
	Nodes []coreapi.Node `msg:"n"`
}

// NodeListRequest asks for a NodeList.
type NodeListRequest struct{}
