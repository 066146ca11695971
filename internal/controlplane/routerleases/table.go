// Package routerleases holds the leases of routers, as the primary of the core grants them by heartbeats: which routers
// there are, when one is lost, and to which of them an update is pushed first.
package routerleases

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"yarrowridge/internal/controlplane/coreapi"
	"yarrowridge/internal/transport/wire"
)

// LeaseTerm is how long a router's lease runs from its last heartbeat.
const LeaseTerm = 2 * time.Second

// peerListDelay is how long after LeaseTerm every router has the list of its peers from a new primary: heartbeats that
// were sent just before it come in meanwhile.
const peerListDelay = time.Second

// maxRemoved is how many ended leases are remembered, to tell routers of them.
const maxRemoved = 1024

// ErrNameTaken rejects a heartbeat under a name on which another address has a lease: a router that moved gets its name
// once that lease has run out.
var ErrNameTaken error = wire.StatusError{Code: coreapi.CodeNameTaken}

// Table is the routers whose lease runs. The zero value has none.
//
// Table has no lock of its own: its owner's lock guards it, so that a heartbeat's response is one consistent picture of
// this table and the owner's other state. Every method is called with that lock held.
type Table struct {
	leases          map[string]*lease // by router name
	version         uint64            // goes up with every change of what routers are told of their peers
	epoch           uint64            // of the versions, which begin anew with each primary
	removed         map[string]uint64 // by name: the version at which a router's lease ended
	completeFrom    uint64            // changes are known since this version
	peers           peerList
	startedAt       time.Time // since when this primary takes heartbeats
	previousRouters int       // routers known to the disk at startedAt
}

// lease is one router's.
type lease struct {
	router    coreapi.Node
	renewedAt time.Time
	version   uint64 // of the table, when the router last changed in what its peers must know
}

// Start begins to take heartbeats as a new primary. Until LeaseTerm is over routers may be alive that have not sent one
// yet: no list of routers is given out, but how many the disk knew.
func (t *Table) Start(previousRouters int, now time.Time) {
	t.previousRouters, t.startedAt = previousRouters, now
	t.epoch = rand.Uint64() | 1
}

// RecordHeartbeat renews the lease of the router that sent a heartbeat, or ends it where the router is leaving, and ends
// the leases that have run out. newRun reports whether that run of the router was not known. The only error is
// ErrNameTaken; nothing is changed then.
func (t *Table) RecordHeartbeat(request *coreapi.HeartbeatRequest, now time.Time) (newRun bool, err error) {
	router := request.Node
	known := t.leases[router.Name]
	if known != nil && known.router.Addr != router.Addr && now.Sub(known.renewedAt) <= LeaseTerm {
		return false, ErrNameTaken
	}
	if request.Leaving {
		t.release(known, router)
	} else {
		t.renew(known, router, now)
	}
	t.Expire(now)
	return known == nil || known.router.Run != router.Run, nil
}

// release ends a router's lease, if it is of the run that leaves.
func (t *Table) release(known *lease, router coreapi.Node) {
	if known != nil && known.router.Run == router.Run {
		t.end(router.Name)
	}
}

// end ends a router's lease.
func (t *Table) end(name string) {
	delete(t.leases, name)
	t.version++
	if t.removed == nil {
		t.removed = map[string]uint64{}
	}
	if len(t.removed) >= maxRemoved {
		clear(t.removed)
		t.completeFrom = t.version
	}
	t.removed[name] = t.version
}

// renew begins or renews a router's lease.
func (t *Table) renew(known *lease, router coreapi.Node, now time.Time) {
	if known != nil && known.router == router {
		known.renewedAt = now
		return
	}
	if t.leases == nil {
		t.leases = map[string]*lease{}
	}
	renewed := &lease{router: router, renewedAt: now}
	if known != nil && isSameToPeers(known.router, router) {
		renewed.version = known.version
	} else {
		t.version++
		renewed.version = t.version
		delete(t.removed, router.Name)
	}
	t.leases[router.Name] = renewed
}

// isSameToPeers reports whether two descriptions of a router differ in nothing that its peers must know.
func isSameToPeers(a, b coreapi.Node) bool {
	a.ConfigVersion, b.ConfigVersion = 0, 0
	return a == b
}

// Expire ends the leases that have run out.
func (t *Table) Expire(now time.Time) {
	for name, known := range t.leases {
		if now.Sub(known.renewedAt) > LeaseTerm {
			t.end(name)
		}
	}
}

// FillResponse puts into the response to a heartbeat what has changed of the list of routers since the version that the
// router has, and the list's version: in a large fleet a complete list for every router with every change would be most of
// what a primary does. The list is complete where changes are not known that far back, or where the router's list is of
// another primary and its digest differs. A primary that has just started does not know all routers yet: it names none, and says how
// many there were.
func (t *Table) FillResponse(request *coreapi.HeartbeatRequest, response *coreapi.HeartbeatResponse, now time.Time) {
	response.NodesVersion, response.NodesEpoch = t.version, t.epoch
	switch {
	case now.Sub(t.startedAt) <= LeaseTerm:
		response.PreviousRouters = t.previousRouters
	case request.NodesEpoch != 0 && request.NodesEpoch == t.epoch && request.NodesVersion >= t.completeFrom && request.NodesVersion <= t.version:
		t.fillChanges(request.NodesVersion, response)
	case request.NodesEpoch != 0 && request.NodesDigest == t.currentPeers().digest:
		response.NodesCurrent = true
	case request.NodesVersion != t.version || request.NodesEpoch != 0 && request.NodesEpoch != t.epoch:
		response.NodesComplete = true
		response.Nodes = t.currentPeers().routers
	}
}

// peerList is the list of routers as their peers are told of them, at one version.
type peerList struct {
	version uint64
	routers []coreapi.Node // sorted by name; never changed
	digest  uint64
}

// currentPeers is the list at the present version.
func (t *Table) currentPeers() peerList {
	if t.peers.digest == 0 || t.peers.version != t.version {
		routers := t.List()
		t.peers = peerList{version: t.version, routers: routers, digest: coreapi.NodesDigest(routers)}
	}
	return t.peers
}

// fillChanges puts into a response the routers that changed since a version, and the names of those whose lease ended.
func (t *Table) fillChanges(since uint64, response *coreapi.HeartbeatResponse) {
	if since == t.version {
		return
	}
	response.NodesPartial = true
	for _, known := range t.leases {
		if known.version > since {
			response.Nodes = append(response.Nodes, known.router)
		}
	}
	for name, version := range t.removed {
		if version > since {
			response.NodesRemoved = append(response.NodesRemoved, name)
		}
	}
}

// List gives the routers whose lease had not run out at the last Expire, sorted by name.
func (t *Table) List() []coreapi.Node {
	var routers []coreapi.Node
	for _, known := range t.leases {
		routers = append(routers, known.router)
	}
	slices.SortFunc(routers, func(a, b coreapi.Node) int { return cmp.Compare(a.Name, b.Name) })
	return routers
}

// Len is the number of routers that List gives.
func (t *Table) Len() int { return len(t.leases) }

// HasOtherRun reports whether the lease of a router's name and address is of another run. One of the two has ended, since
// only one process can listen at the address.
func (t *Table) HasOtherRun(router coreapi.Node) bool {
	known := t.leases[router.Name]
	return known != nil && known.router.Addr == router.Addr && known.router.Run != router.Run
}

// MayBeAlive reports whether a run of a router may be alive. Just after Start every run may be, until it has had the time
// to send a heartbeat.
func (t *Table) MayBeAlive(name string, run uint64, now time.Time) bool {
	if now.Sub(t.startedAt) < LeaseTerm {
		return true
	}
	known := t.leases[name]
	return known != nil && known.router.Run == run && now.Sub(known.renewedAt) < LeaseTerm
}

// HavePeerLists reports whether routers have had the time to get the list of their peers from this primary.
func (t *Table) HavePeerLists(now time.Time) bool {
	return now.Sub(t.startedAt) > LeaseTerm+peerListDelay
}
