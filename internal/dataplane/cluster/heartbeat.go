package cluster

import (
	"context"
	"time"

	"yarrowridge/internal/controlplane/coreapi"
	"yarrowridge/internal/transport/dissemination"
	"yarrowridge/internal/transport/wire"
)

// How long the talk with the core, or in place of it with the zone, may take.
const (
	heartbeatTimeout  = 1500 * time.Millisecond
	leaveTimeout      = time.Second
	zoneRepairAfter   = 2 * time.Second // from the start: the core is asked alone until then
	zoneRepairTimeout = time.Second
)

// timedHeartbeat is a heartbeat that tells the age of our run as of each time that it is sent: the call may look for
// a primary for long, and the units of earlier runs at our address are free so much sooner as we are older.
type timedHeartbeat struct {
	coreapi.HeartbeatRequest
	started time.Time
	sentAt  time.Time // the last time
}

// MarshalMsg implements msgp.Marshaler.
func (t *timedHeartbeat) MarshalMsg(raw []byte) ([]byte, error) {
	t.sentAt = time.Now()
	t.AgeMs = int(t.sentAt.Sub(t.started).Milliseconds())
	return t.HeartbeatRequest.MarshalMsg(raw)
}

// sendHeartbeat renews our lease at the core and learns what has changed. It reports whether the core has answered.
func (h *Member) sendHeartbeat() bool {
	h.mu.Lock()
	nodesVersion, leaving := h.nodesVersion, h.leaving
	h.mu.Unlock()
	if leaving {
		return true
	}
	ctx, cancel := context.WithTimeout(h.ctx, heartbeatTimeout)
	defer cancel()
	request := timedHeartbeat{HeartbeatRequest: h.makeHeartbeat(nodesVersion), started: h.started}
	var response coreapi.HeartbeatResponse
	if err := h.Core.Call(ctx, "core.beat", &request, &response, true); err != nil {
		if wire.HasCode(err, coreapi.CodeNameTaken) {
			h.ctx.Log.Error("Another router has our name. Each needs its own.", "name", h.ctx.Name)
			return true
		}
		h.ctx.Log.Debug("No answer from the core.", "error", err.Error())
		h.repairFromZone()
		return false
	}
	h.takeHeartbeatResponse(&response)
	h.fetchConfig(ctx, response.ConfigVersion)
	h.noteConfirmed(response.ConfigVersion, request.sentAt)
	if h.current.Load() == nil || h.ConfigVersion() < response.ConfigVersion {
		return true // asked, but not answered in full
	}
	h.mu.Lock()
	h.initialSyncDone = true
	h.mu.Unlock()
	return true
}

// makeHeartbeat says what this node is, what it holds already, and how its attempts at runners ended.
func (h *Member) makeHeartbeat(nodesVersion uint64) coreapi.HeartbeatRequest {
	request := coreapi.HeartbeatRequest{Node: h.Self(), NodesVersion: nodesVersion, ViewEpoch: h.Core.View().Epoch}
	if h.runners != nil {
		request.RunnersWanted = true
		request.RunnersEpoch, request.RunnersVersion = h.runners.Position()
		if request.RunnersVersion == 0 {
			request.RunnersDigest = h.runners.Digest()
		}
	}
	if h.tally != nil {
		request.RunnerStats = h.tally()
	}
	return request
}

// takeHeartbeatResponse takes the view, the nodes and the runners that the core has answered with.
func (h *Member) takeHeartbeatResponse(response *coreapi.HeartbeatResponse) {
	h.Core.Learn(response.View)
	h.mu.Lock()
	wasSilent := time.Since(h.coreHeard) > staleAfter && !h.coreHeard.IsZero()
	h.coreHeard = time.Now()
	h.scarceTenants = response.ScarceTenants
	h.routersBefore = response.PreviousRouters
	if response.NodesChanged {
		h.nodesVersion = response.NodesVersion
		h.takeNodes(response.Nodes)
	}
	h.mu.Unlock()
	if wasSilent {
		h.ctx.Log.Info("The core is heard again.")
	}
	if h.runners != nil {
		h.runners.Apply(response)
	}
	if h.findings != nil {
		h.findings(RunnerFindings{Failing: response.Failing, LowLatency: response.LowLatencyRunners})
	}
}

// fetchConfig asks the core for the configuration of a version that it has named, if it is not here yet. One that
// was not understood is not fetched again and again. A new one is on its way by the relays: it is fetched only
// if it was missing for a whole heartbeat, else a large part of the fleet would ask the primary at once.
func (h *Member) fetchConfig(ctx context.Context, version uint64) {
	record, _, _ := h.Records.Get(dissemination.ConfigKey)
	overdue := h.ConfigVersion() == 0 || record.Version < h.announcedVersion
	h.announcedVersion = version
	if h.ConfigVersion() >= version || record.Version >= version || !overdue {
		return
	}
	var config coreapi.StoredConfig
	if h.Core.Call(ctx, "core.layout", &coreapi.ConfigRequest{}, &config, true) == nil && config.Version > 0 {
		h.Broadcast(dissemination.Update{Records: []dissemination.Record{dissemination.ConfigRecord(config.Version, config.Raw)}})
	}
}

// repairFromZone is what a node without a core does: one without a configuration asks all nodes of its zone that it can reach.
func (h *Member) repairFromZone() {
	h.mu.Lock()
	done, nodes := h.initialSyncDone, h.nodes
	h.mu.Unlock()
	if done || time.Since(h.started) < zoneRepairAfter {
		return
	}
	ctx, cancel := context.WithTimeout(h.ctx, zoneRepairTimeout)
	defer cancel()
	if len(nodes) == 0 {
		nodes = h.nodesFromSeeds(ctx)
	}
	for _, n := range nodes {
		if n.Zone == h.ctx.Zone && n.Name != h.ctx.Name {
			h.repairWith(ctx, n.Addr)
		}
	}
	if h.current.Load() == nil {
		return
	}
	h.ctx.Log.Warn("No core to be found. Serving with the zone's configuration.")
	h.mu.Lock()
	h.initialSyncDone = true
	if len(h.nodes) == 0 {
		h.takeNodes(append(nodes, coreapi.Node{Name: h.ctx.Name, Zone: h.ctx.Zone, Addr: h.addr, Run: h.ctx.RunID}))
	}
	h.mu.Unlock()
}

// nodesFromSeeds asks all seeds for their nodes, and gives the longest list.
func (h *Member) nodesFromSeeds(ctx context.Context) []coreapi.Node {
	var longest []coreapi.Node
	for _, addr := range *h.seeds.Load() {
		var list NodeList
		err := h.caller.Call(ctx, addr, "node.roll", &NodeListRequest{}, &list)
		if err == nil && len(list.Nodes) > len(longest) {
			longest = list.Nodes
		}
	}
	return longest
}

// Leave gives up the lease: the core names us no more, our units cool. Serving what has been
// read goes on meanwhile. It ends after a second at the latest, and with the context.
func (h *Member) Leave(ctx context.Context) {
	h.mu.Lock()
	h.leaving = true
	h.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	request := coreapi.HeartbeatRequest{Node: h.Self(), Leaving: true}
	if err := h.Core.Call(ctx, "core.beat", &request, &coreapi.HeartbeatResponse{}, true); err != nil {
		h.ctx.Log.Warn("The core was not told that we leave.", "error", err.Error())
	}
}
