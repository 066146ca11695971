package coreapi

import (
	"strconv"

	"yarrowridge/internal/controlplane/view"
	"yarrowridge/internal/model/routing"
)

//go:generate go tool msgp -tests=false -io=false

// Limits on lengths read from the wire, which bound the memory that a malformed message can allocate.
//msgp:limit arrays:10000000 maps:200000

// Node describes a router to the core and to other routers.
type Node struct {
	Name          string `msg:"n" json:"name"`
	Zone          string `msg:"h" json:"hall"`
	Addr          string `msg:"a" json:"addr"`
	ClientAddr    string `msg:"f" json:"origin"` // address for clients
	Run           uint64 `msg:"b" json:"born"`   // identifies the run of its process; drawn at random at each start
	ConfigVersion uint64 `msg:"s" json:"sequence"`
	Ready         bool   `msg:"r" json:"ready"`
}

// Holder returns the name under which one run of a node holds quota units. It contains the address, since a newer run at the
// same address proves that the older one has ended: only one process can listen there.
func Holder(n Node) string {
	return n.Name + "@" + n.Addr + "/" + strconv.FormatUint(n.Run, 16)
}

// HeartbeatRequest renews a node's lease. It reports which versions of shared state the node has, so that the response can
// omit what has not changed.
type HeartbeatRequest struct {
	Node         Node   `msg:"n"`
	NodesVersion uint64 `msg:"r"` // of the node's copy of the node list
	AgeMs        int    `msg:"g"` // time since the start of this run of the node's process
	Leaving      bool   `msg:"l"` // graceful shutdown: the lease ends, and unspent units are freed after their cooling period

	RunnersWanted  bool   `msg:"w"` // the node keeps a copy of the runner registry
	RunnersEpoch   uint64 `msg:"e"` // RunnersEpoch and RunnersVersion identify that copy; both 0: none
	RunnersVersion uint64 `msg:"v"`
	RunnersDigest  uint64 `msg:"d"` // digest of the copy if RunnersVersion is 0, so that an equal list is not sent again; 0: none

	ViewEpoch uint64 `msg:"ve"` // of the view that the node knows, so that it is not sent again

	// NodesEpoch identifies the primary that sent the node's copy of the node list, and NodesDigest is the digest of that copy
	// (see the function NodesDigest). 0: the node has no copy, or accepts only complete lists, as older versions do.
	NodesEpoch  uint64 `msg:"ne,omitempty"`
	NodesDigest uint64 `msg:"nd,omitempty"`

	ScarceVersion uint64 `msg:"sv,omitempty"` // of the node's list of scarce tenants; 0: none

	RunnerStats []RunnerStats `msg:"t"` // of runners used since the last heartbeat
}

// HeartbeatResponse is the response to a HeartbeatRequest.
type HeartbeatResponse struct {
	View          view.View `msg:"v"`            // epoch 0: the node already knows the view
	ConfigVersion uint64    `msg:"s"`            // of the newest configuration
	NodesVersion  uint64    `msg:"r"`            // of the node list
	Nodes         []Node    `msg:"n"`            // all live nodes or the changed ones; see NodesComplete and NodesPartial
	NodesComplete bool      `msg:"w"`            // Nodes is the complete list
	NodesEpoch    uint64    `msg:"ne,omitempty"` // identifies the primary that counts NodesVersion; 0: unknown
	NodesPartial  bool      `msg:"np,omitempty"` // Nodes and NodesRemoved are the changes since the version that the node has
	NodesRemoved  []string  `msg:"nr,omitempty"` // names
	NodesCurrent  bool      `msg:"nc,omitempty"` // the node's list, from another primary, equals the list of this version

	ScarceVersion   uint64   `msg:"sv,omitempty"` // of ScarceTenants; 0: none
	ScarceUnchanged bool     `msg:"su,omitempty"` // ScarceTenants is omitted, since the node has this version
	ScarceTenants   []string `msg:"h"`            // tenants whose idle units the node is asked to return

	// PreviousRouters is the number of routers that the primary's disk knew when it started. It is set only until the primary
	// knows which of them are alive, and is 0 after that or if there were none.
	PreviousRouters int `msg:"b"`

	RunnersEpoch      uint64           `msg:"re"` // identifies the primary that counts RunnersVersion
	RunnersVersion    uint64           `msg:"rv"` // of the runner registry
	Runners           []routing.Runner `msg:"rr"` // changed since the version that the node has
	RunnersComplete   bool             `msg:"rw"` // Runners is the complete list: the node deletes all others
	Failing           []FailingRunner  `msg:"rf"` // all runners that are failing now
	LowLatencyRunners []string         `msg:"rc"` // IDs of runners whose streams have the shortest gaps between tokens
}

// RunnerStats are statistics of a node's attempts at a runner, and of the gaps between events of its streams.
type RunnerStats struct {
	ID          string `msg:"i"`
	Attempts    int    `msg:"t"`
	Failures    int    `msg:"f"`
	TokenGaps   int    `msg:"p"` // number of gaps between two events of a stream
	TokenGapsMs int    `msg:"q"` // total duration of these gaps
}

// FailingRunner is a runner at which a large share of all routers' recent attempts failed.
type FailingRunner struct {
	ID           string  `msg:"i"`
	FailureRatio float64 `msg:"s"` // from 0 to 1
}

// RunnerHeartbeat reports a runner's state to the core.
type RunnerHeartbeat struct {
	Runner routing.Runner `msg:"r"`
}
