// Package routerleases holds the leases of routers, as the primary of the core grants them by heartbeats: which routers
// there are, when one is lost, and to which of them an update is pushed first.
package routerleases

import (
	"cmp"
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
	startedAt       time.Time         // since when this primary takes heartbeats
	previousRouters int               // routers known to the disk at startedAt
}

// lease is one router's.
type lease struct {
	router    coreapi.Node
	renewedAt time.Time
}

// Start begins to take heartbeats as a new primary. Until LeaseTerm is over routers may be alive that have not sent one
// yet: no list of routers is given out, but how many the disk knew.
func (t *Table) Start(previousRouters int, now time.Time) {
	t.previousRouters, t.startedAt = previousRouters, now
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
		delete(t.leases, router.Name)
		t.version++
	}
}

// renew begins or renews a router's lease.
func (t *Table) renew(known *lease, router coreapi.Node, now time.Time) {
	if known != nil && known.router == router {
		known.renewedAt = now
		return
	}
	if known == nil || !isSameToPeers(known.router, router) {
		t.version++
	}
	if t.leases == nil {
		t.leases = map[string]*lease{}
	}
	t.leases[router.Name] = &lease{router: router, renewedAt: now}
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
			delete(t.leases, name)
			t.version++
		}
	}
}

// FillResponse puts into the response to a heartbeat the list of routers, where it has changed since the version that the
// router has, and its version. A primary that has just started does not know all routers yet: it names none, and says how
// many there were.
func (t *Table) FillResponse(request *coreapi.HeartbeatRequest, response *coreapi.HeartbeatResponse, now time.Time) {
	response.NodesVersion = t.version
	switch {
	case now.Sub(t.startedAt) <= LeaseTerm:
		response.PreviousRouters = t.previousRouters
	case request.NodesVersion != t.version:
		response.NodesChanged = true
		response.Nodes = t.List()
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
