package cluster

import "yarrowridge/internal/controlplane/coreapi"

//go:generate go tool msgp -tests=false -io=false

// Longer arrays and maps on the wire are rejected.
//msgp:limit arrays:10000000 maps:200000

// NodeList is a router's peer directory.
type NodeList struct {
	Nodes []coreapi.Node `msg:"n"`
}

// NodeListRequest asks a router for its NodeList.
type NodeListRequest struct{}
