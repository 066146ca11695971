// Package routerleases manages the leases that the primary core grants to routers on their heartbeats. It keeps the list of
// live routers, expires their leases, and pushes updates to the first routers of every zone.
package routerleases

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"yarrowridge/internal/controlplane/coreapi"
	"yarrowridge/internal/transport/wire"
)

// LeaseTerm is how long a router's lease is valid after its last heartbeat.
const LeaseTerm = 2 * time.Second

// peerListDelay is how much longer than LeaseTerm it takes until every router has received the list of its peers from a new
// primary. Responses before the end of LeaseTerm contain no list, so each router has to send one more heartbeat after it.
const peerListDelay = time.Second

// maxRemoved is how many removed routers are remembered, so that a partial list can include their removal.
const maxRemoved = 1024

// ErrNameTaken rejects a heartbeat with a name for which a router at another address has a lease. A router that has moved
// gets its name once the lease of its former address has expired.
var ErrNameTaken error = wire.StatusError{Code: coreapi.CodeNameTaken}

// Table holds the routers that have a lease. The zero value is an empty table.
//
// Table has no lock of its own. The owner calls every method with its own lock held, so that the response to a heartbeat is
// a consistent snapshot of the table and of the owner's other state.
type Table struct {
	leases          map[string]*lease // by router name
	version         uint64            // increases with every change of the peer list
	epoch           uint64            // random ID of this primary's sequence of versions
	removed         map[string]uint64 // by router name: the version at which its lease ended
	oldestBase      uint64            // the oldest version since which all changes are known
	peers           peerList          // cached by currentPeers
	startedAt       time.Time         // when this primary began to accept heartbeats
	previousRouters int               // number of routers stored on disk at startedAt
}

// lease is the lease of one router.
type lease struct {
	router    coreapi.Node
	renewedAt time.Time
	version   uint64 // the table's version at the last change of the router that its peers need to know about
}

// Start begins to accept heartbeats as a new primary. Before the end of LeaseTerm there may be live routers that have not sent
// a heartbeat yet, so responses contain the number of previous routers instead of a list.
func (t *Table) Start(previousRouters int, now time.Time) {
	t.previousRouters, t.startedAt = previousRouters, now
	t.epoch = rand.Uint64() | 1
}

// RecordHeartbeat renews the lease of the router that sent the heartbeat, or ends it if the router is leaving. It also ends
// all expired leases. newRun reports whether the run of the router was unknown before. The only error is ErrNameTaken, in
// which case nothing is changed.
func (t *Table) RecordHeartbeat(request *coreapi.HeartbeatRequest, now time.Time) (newRun bool, err error) {
	router := request.Node
	existing := t.leases[router.Name]
	if existing != nil && existing.router.Addr != router.Addr && now.Sub(existing.renewedAt) <= LeaseTerm {
		return false, ErrNameTaken
	}
	if request.Leaving {
		t.release(existing, router)
	} else {
		t.renew(existing, router, now)
	}
	t.Expire(now)
	return existing == nil || existing.router.Run != router.Run, nil
}

// release ends a router's lease if it belongs to the run that is leaving.
func (t *Table) release(existing *lease, router coreapi.Node) {
	if existing != nil && existing.router.Run == router.Run {
		t.end(router.Name)
	}
}

// end removes a router and records its removal.
func (t *Table) end(name string) {
	delete(t.leases, name)
	t.version++
	if t.removed == nil {
		t.removed = map[string]uint64{}
	}
	if len(t.removed) >= maxRemoved {
		clear(t.removed)
		t.oldestBase = t.version
	}
	t.removed[name] = t.version
}

// renew grants or renews a router's lease.
func (t *Table) renew(existing *lease, router coreapi.Node, now time.Time) {
	if existing != nil && existing.router == router {
		existing.renewedAt = now
		return
	}
	if t.leases == nil {
		t.leases = map[string]*lease{}
	}
	renewed := &lease{router: router, renewedAt: now}
	if existing != nil && isSameToPeers(existing.router, router) {
		renewed.version = existing.version
	} else {
		t.version++
		renewed.version = t.version
		delete(t.removed, router.Name)
	}
	t.leases[router.Name] = renewed
}

// isSameToPeers reports whether two descriptions of a router are equal in everything that its peers need to know.
func isSameToPeers(a, b coreapi.Node) bool {
	a.ConfigVersion, b.ConfigVersion = 0, 0
	return a == b
}

// Expire ends the leases that have expired.
func (t *Table) Expire(now time.Time) {
	for name, lease := range t.leases {
		if now.Sub(lease.renewedAt) > LeaseTerm {
			t.end(name)
		}
	}
}

// FillResponse adds to the response to a heartbeat the version of the peer list and its changes since the router's version.
// In a large fleet, sending the complete list to every router on every change would dominate the primary's load. The list is
// complete if the changes are not known that far back, or if the router has a list of another primary with a different
// digest. A primary that has just started does not know all routers yet, so it sends no list but the number of previous
// routers.
func (t *Table) FillResponse(request *coreapi.HeartbeatRequest, response *coreapi.HeartbeatResponse, now time.Time) {
	response.NodesVersion, response.NodesEpoch = t.version, t.epoch
	switch {
	case now.Sub(t.startedAt) <= LeaseTerm:
		response.PreviousRouters = t.previousRouters
	case request.NodesEpoch != 0 && request.NodesEpoch == t.epoch && request.NodesVersion >= t.oldestBase && request.NodesVersion <= t.version:
		t.fillChanges(request.NodesVersion, response)
	case request.NodesEpoch != 0 && request.NodesDigest == t.currentPeers().digest:
		response.NodesCurrent = true
	case request.NodesVersion != t.version || request.NodesEpoch != 0 && request.NodesEpoch != t.epoch:
		response.NodesComplete = true
		response.Nodes = t.currentPeers().routers
	}
}

// peerList is the complete list of routers at one version of the table.
type peerList struct {
	version uint64
	routers []coreapi.Node // sorted by name; immutable, since responses share it
	digest  uint64
}

// currentPeers returns the complete list at the current version.
func (t *Table) currentPeers() peerList {
	if t.peers.digest == 0 || t.peers.version != t.version {
		routers := t.List()
		t.peers = peerList{version: t.version, routers: routers, digest: coreapi.NodesDigest(routers)}
	}
	return t.peers
}

// fillChanges adds to a response the routers that changed since a version, and the names of those whose lease ended.
func (t *Table) fillChanges(since uint64, response *coreapi.HeartbeatResponse) {
	if since == t.version {
		return
	}
	response.NodesPartial = true
	for _, lease := range t.leases {
		if lease.version > since {
			response.Nodes = append(response.Nodes, lease.router)
		}
	}
	for name, version := range t.removed {
		if version > since {
			response.NodesRemoved = append(response.NodesRemoved, name)
		}
	}
}

// List returns the routers whose lease had not expired at the last Expire, sorted by name.
func (t *Table) List() []coreapi.Node {
	var routers []coreapi.Node
	for _, lease := range t.leases {
		routers = append(routers, lease.router)
	}
	slices.SortFunc(routers, func(a, b coreapi.Node) int { return cmp.Compare(a.Name, b.Name) })
	return routers
}

// Len returns the number of routers that List returns.
func (t *Table) Len() int { return len(t.leases) }

// HasOtherRun reports whether another run of the router has the lease, with the same name and address. One of the two runs has
// ended then, since only one process can listen at the address.
func (t *Table) HasOtherRun(router coreapi.Node) bool {
	existing := t.leases[router.Name]
	return existing != nil && existing.router.Addr == router.Addr && existing.router.Run != router.Run
}

// MayBeAlive reports whether a run of a router may be alive. Until LeaseTerm after Start this is true for every run, since
// there was not enough time for all routers to send a heartbeat.
func (t *Table) MayBeAlive(name string, run uint64, now time.Time) bool {
	if now.Sub(t.startedAt) < LeaseTerm {
		return true
	}
	existing := t.leases[name]
	return existing != nil && existing.router.Run == run && now.Sub(existing.renewedAt) < LeaseTerm
}

// HavePeerLists reports whether enough time has passed for every router to receive the list of its peers from this primary.
func (t *Table) HavePeerLists(now time.Time) bool {
	return now.Sub(t.startedAt) > LeaseTerm+peerListDelay
}
