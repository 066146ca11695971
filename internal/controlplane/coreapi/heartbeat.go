package coreapi

import (
	"strconv"

	"yarrowridge/internal/controlplane/view"
	"yarrowridge/internal/model/routing"
)

//go:generate go tool msgp -tests=false -io=false

// A length read from the wire is believed up to this only.
//msgp:limit arrays:10000000 maps:200000

// Node is a router as the core and its peers know it.
type Node struct {
	Name          string `msg:"n" json:"name"`
	Zone          string `msg:"h" json:"hall"`
	Addr          string `msg:"a" json:"addr"`
	ClientAddr    string `msg:"f" json:"origin"` // where clients reach it
	Run           uint64 `msg:"b" json:"born"`   // of its process; a restart has another, drawn at random
	ConfigVersion uint64 `msg:"s" json:"sequence"`
	Ready         bool   `msg:"r" json:"ready"`
}

// Holder names one run of a node as the holder of units. The address is part of it: a newer run
// at the same address proves the older one gone, since only one process can listen there.
func Holder(n Node) string {
	return n.Name + "@" + n.Addr + "/" + strconv.FormatUint(n.Run, 16)
}

// HeartbeatRequest renews a node's lease.
type HeartbeatRequest struct {
	Node         Node   `msg:"n"`
	NodesVersion uint64 `msg:"r"` // of the node list that it has
	AgeMs        int    `msg:"g"` // since this run of the node's process began
	Leaving      bool   `msg:"l"` // graceful shutdown: no lease, and its unspent units are free after a window

	RunnersWanted  bool   `msg:"w"` // it keeps a copy of the registry of runners
	RunnersEpoch   uint64 `msg:"e"` // what it has of it; zeros: nothing
	RunnersVersion uint64 `msg:"v"`
	RunnersDigest  uint64 `msg:"d"` // with version 0: of what it has, so that an equal list need not be sent; 0: none

	ViewEpoch uint64 `msg:"ve"` // of the view it knows, so that the same need not be sent

	// Of the node list that it has, beside NodesVersion: which primary's it is, and its digest (NodesDigest). 0: it has none,
	// or takes complete lists only, as older versions do.
	NodesEpoch  uint64 `msg:"ne,omitempty"`
	NodesDigest uint64 `msg:"nd,omitempty"`

	ScarceVersion uint64 `msg:"sv,omitempty"` // of the list of scarce tenants that it has; 0: none

	RunnerStats []RunnerStats `msg:"t"` // of the runners used since the last heartbeat
}

// HeartbeatResponse answers a HeartbeatRequest.
type HeartbeatResponse struct {
	View          view.View `msg:"v"` // epoch 0 where the node knows it
	ConfigVersion uint64    `msg:"s"` // of the newest configuration
	NodesVersion  uint64    `msg:"r"`
	Nodes         []Node    `msg:"n"`            // all live nodes, where the list has changed
	NodesChanged  bool      `msg:"w"`            // Nodes is set
	NodesEpoch    uint64    `msg:"ne,omitempty"` // of one primary's count of versions; 0: it tells none
	NodesPartial  bool      `msg:"np,omitempty"` // Nodes are those that changed since the version that the node has, and NodesRemoved the others that went
	NodesRemoved  []string  `msg:"nr,omitempty"` // by name
	NodesCurrent  bool      `msg:"nc,omitempty"` // the list that the node has, from another primary, is the one of this version

	ScarceVersion   uint64   `msg:"sv,omitempty"` // of ScarceTenants; 0: it has none
	ScarceUnchanged bool     `msg:"su,omitempty"` // ScarceTenants is left out: the node has it
	ScarceTenants   []string `msg:"h"`            // tenants whose units are wanted back where idle

	// PreviousRouters is how many routers there were before this primary began, as the disk has it, while it does
	// not know yet which of them live; 0 once it names them, and where there were none.
	PreviousRouters int `msg:"b"`

	RunnersEpoch      uint64           `msg:"re"` // one primary's count of versions
	RunnersVersion    uint64           `msg:"rv"`
	Runners           []routing.Runner `msg:"rr"` // those changed since the version it had
	RunnersComplete   bool             `msg:"rw"` // Runners are all: one that is not named is to be dropped
	Failing           []FailingRunner  `msg:"rf"` // all that fail now
	LowLatencyRunners []string         `msg:"rc"` // IDs of the runners whose streams have the shortest gaps between tokens
}

// RunnerStats counts how attempts at a runner ended, and how long it had streams wait for their next event.
type RunnerStats struct {
	ID          string `msg:"i"`
	Attempts    int    `msg:"t"`
	Failures    int    `msg:"f"`
	TokenGaps   int    `msg:"p"` // between two events of a stream
	TokenGapsMs int    `msg:"q"` // all of them together, in milliseconds
}

// FailingRunner is a runner that lately failed a large share of the attempts of all routers.
type FailingRunner struct {
	ID           string  `msg:"i"`
	FailureRatio float64 `msg:"s"` // from 0 to 1
}

// RunnerHeartbeat is a runner's heartbeat.
type RunnerHeartbeat struct {
	Runner routing.Runner `msg:"r"`
}
