// Package coreapi holds the messages and codes with which routers, operators' clients and other cores talk to the core.
// The msgp tags are the names on the wire; Claim, StoredConfig and SessionDirectory are stored on the core's disk in the
// same form.
package coreapi

import (
	"strconv"

	"yarrowridge/internal/controlplane/view"
	"yarrowridge/internal/model/routing"
)

//go:generate go tool msgp -tests=false -io=false

// A length read from the wire is believed up to this only.
//msgp:limit arrays:10000000 maps:200000

// ClaimState is how far a claimed request got.
type ClaimState int

// The states of a claim, as they are on the wire and on disk.
const (
	ClaimRunning  ClaimState = 0
	ClaimDone     ClaimState = 1 // completed; the response may be kept
	ClaimUnknown  ClaimState = 2 // the claimant does not know the outcome
	ClaimReleased ClaimState = 3 // the request surely did not run: any other claimant may claim the key
)

// StreamPrefix begins the keys under which the right to resume a stream is claimed. No tenant's key
// begins so: a tenant's name is not empty.
const StreamPrefix = "/stream/"

// Holder names one run of a node as the holder of units. The address is part of it: a newer run
// at the same address proves the older one gone, since only one process can listen there.
func Holder(n Node) string {
	return n.Name + "@" + n.Addr + "/" + strconv.FormatUint(n.Run, 16)
}

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

	RunnerStats []RunnerStats `msg:"t"` // of the runners used since the last heartbeat
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
	ID    string  `msg:"i"`
	Share float64 `msg:"s"` // from 0 to 1
}

// HeartbeatResponse answers a HeartbeatRequest.
type HeartbeatResponse struct {
	View          view.View `msg:"v"` // epoch 0 where the node knows it
	ConfigVersion uint64    `msg:"s"` // of the newest configuration
	NodesVersion  uint64    `msg:"r"`
	Nodes         []Node    `msg:"n"` // all live nodes, where the list has changed
	NodesChanged  bool      `msg:"w"` // Nodes is set
	ScarceTenants []string  `msg:"h"` // tenants whose units are wanted back where idle

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

// RunnerHeartbeat is a runner's heartbeat.
type RunnerHeartbeat struct {
	Runner routing.Runner `msg:"r"`
}

// ConfigRequest asks for the configuration: the newest, or an older one by version.
type ConfigRequest struct {
	Version uint64 `msg:"s"`
}

// StoredConfig is a configuration as the core stores it.
type StoredConfig struct {
	Version uint64 `msg:"s"`
	Raw     []byte `msg:"r"`
}

// SessionDirectory is the routers' session directory as they keep it at the core, in their own form.
type SessionDirectory struct {
	Batch []byte `msg:"b"`
}

// WriteRequest is an operator's change of the configuration.
type WriteRequest struct {
	ID          string `msg:"i"` // the operator's write ID; may be empty
	BaseVersion uint64 `msg:"m"` // the version it was made against; ignored with AnyVersion
	AnyVersion  bool   `msg:"a"`
	Patch       bool   `msg:"p"`
	Raw         []byte `msg:"r"`
}

// ConfigError is one error in a configuration document.
type ConfigError struct {
	Path string `msg:"p" json:"path"`
	Text string `msg:"t" json:"text"`
}

// WriteResponse answers a WriteRequest: Code is the HTTP status.
type WriteResponse struct {
	Code     int           `msg:"c"`
	Version  uint64        `msg:"s"`
	Errors   []ConfigError `msg:"f"`
	Repeated bool          `msg:"a"` // the write ID was known: it was applied before
}

// Claim is the stored record of an idempotency key.
type Claim struct {
	RequestHash string     `msg:"h"` // hash of the request
	Claimant    string     `msg:"i"` // who claimed it, and in which attempt; the same one may ask again
	Node        string     `msg:"n"`
	NodeRun     uint64     `msg:"b"`
	State       ClaimState `msg:"s"`
	Status      int        `msg:"c"` // of the response, as in HTTP
	ContentType string     `msg:"k"`
	Response    []byte     `msg:"a"`
	HasResponse bool       `msg:"w"` // Response is the whole response
}

// ClaimRequest asks for a claim.
type ClaimRequest struct {
	Key   string `msg:"k"`
	Claim Claim  `msg:"c"`
}

// ClaimResponse answers ClaimRequest.
type ClaimResponse struct {
	Granted     bool  `msg:"g"`
	Conflict    bool  `msg:"x"` // same key, another body
	Running     bool  `msg:"l"` // its node may still be at work on it
	AlreadyRan  bool  `msg:"r"` // the key was used; its claim has expired
	TooManyKeys bool  `msg:"f"` // no more keys can be kept for now
	Claim       Claim `msg:"c"` // the claim in force
}

// CompleteClaimRequest records the outcome of a claimed request, or releases its key.
type CompleteClaimRequest struct {
	Key     string `msg:"k"`
	Release bool   `msg:"f"` // it surely did not run: the key may be claimed anew
	Claim   Claim  `msg:"c"`
}

// Empty is the response of a call that only succeeds or fails.
type Empty struct{}

// QuotaTransfer acquires or returns units of a tenant's quota.
type QuotaTransfer struct {
	Tenant   string `msg:"t"`
	Holder   string `msg:"n"`
	Sequence uint64 `msg:"k"`
	Units    int    `msg:"u"`
	Return   bool   `msg:"g"`

	// Costs, in units, are those of the requests that wait for an acquire, where they differ: each gets all of its units or none. The
	// rest of Units is kept in reserve.
	Costs []int `msg:"c,omitempty"`
}

// QuotaTransferResult says what the holder has after the transfer.
type QuotaTransferResult struct {
	Held  int `msg:"h"`
	Limit int `msg:"u"` // the units of all holders, or the quota if larger
}

// QuotaTransfersRequest is transfers of one holder, of as many tenants as it has some for: one call and one
// write carry them all.
type QuotaTransfersRequest struct {
	Holder    string          `msg:"n"`
	Transfers []QuotaTransfer `msg:"l"` // their Holder is empty
}

// QuotaTransfersResponse answers QuotaTransfersRequest, in the order of its transfers.
type QuotaTransfersResponse struct {
	Results []QuotaTransferResult `msg:"l"`
}

// StateRequest asks for the fleet's state.
type StateRequest struct{}

// QuotaShare is one holder's share of a tenant's quota.
type QuotaShare struct {
	Tenant  string `msg:"t" json:"tenant"`
	Holder  string `msg:"h" json:"holder"`
	Units   int    `msg:"u" json:"units"`
	Cooling bool   `msg:"c" json:"cooling"`
}

// State is what a core reports of itself and, where it is primary, of its fleet.
type State struct {
	View             view.View     `msg:"v" json:"view"`
	ID               string        `msg:"m" json:"id"`
	Ready            bool          `msg:"r" json:"ready"`
	ConfigVersion    uint64        `msg:"s" json:"sequence"`
	StoreVersion     uint64        `msg:"t" json:"stored"`
	Nodes            []Node        `msg:"n" json:"nodes"`
	Shares           []QuotaShare  `msg:"h" json:"shares"`
	Candidates       []view.Member `msg:"p" json:"spares"`
	DiskFailed       bool          `msg:"k" json:"disk_trouble"`
	Claims           int           `msg:"c" json:"claims"`
	FinishedKeys     int           `msg:"a" json:"keys_that_ran"`
	FinishedKeyParts int           `msg:"b" json:"parts_of_keys"`
}
