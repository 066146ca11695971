package node

import (
	"context"
	"time"

	"yarrowridge/internal/core"
	"yarrowridge/internal/relay"
	"yarrowridge/internal/wire"
)

// agedHeartbeat is a heartbeat that tells the age of our run as of each time that it is sent: the call may look for
// a primary for long, and the units of earlier runs at our address are free so much sooner as we are older.
type agedHeartbeat struct {
	core.HeartbeatRequest
	started time.Time
}

// MarshalMsg implements msgp.Marshaler.
func (b *agedHeartbeat) MarshalMsg(raw []byte) ([]byte, error) {
	b.AgeMs = int(time.Since(b.started).Milliseconds())
	return b.HeartbeatRequest.MarshalMsg(raw)
}

// sendHeartbeat renews our lease at the core and learns what has changed. It tells whether the core has answered.
func (h *Hub) sendHeartbeat() bool {
	h.mu.Lock()
	roll, leave := h.roll, h.leaving
	h.mu.Unlock()
	if leave {
		return true
	}
	ctx, end := context.WithTimeout(h.ctx, 1500*time.Millisecond)
	defer end()
	in := agedHeartbeat{HeartbeatRequest: h.makeHeartbeat(roll), started: h.started}
	var out core.HeartbeatResponse
	if err := h.Core.Call(ctx, "core.beat", &in, &out, true); err != nil {
		if wire.Is(err, core.NameTaken) {
			h.ctx.Log.Error("Another router has our name. Each needs its own.", "name", h.ctx.Name)
			return true
		}
		h.ctx.Log.Debug("No answer from the core.", "trouble", err.Error())
		h.askZone()
		return false
	}
	h.takeHeartbeatResponse(&out)
	h.fetchConfig(ctx, out.ConfigVersion)
	if h.current.Load() == nil || h.ConfigVersion() < out.ConfigVersion {
		return true // asked, but not answered in full
	}
	h.mu.Lock()
	h.asked = true
	h.mu.Unlock()
	return true
}

// makeHeartbeat says what this node is, what it holds already, and how its attempts at runners ended.
func (h *Hub) makeHeartbeat(roll uint64) core.HeartbeatRequest {
	in := core.HeartbeatRequest{Node: h.Me(), NodesVersion: roll, ViewEpoch: h.Core.View().Epoch}
	if h.runners != nil {
		in.RunnersWanted = true
		in.RunnersEpoch, in.RunnersVersion = h.runners.Position()
		if in.RunnersVersion == 0 {
			in.RunnersDigest = h.runners.Digest()
		}
	}
	if h.tally != nil {
		in.Tallies = h.tally()
	}
	return in
}

// takeHeartbeatResponse takes the view, the nodes and the runners that the core has answered with.
func (h *Hub) takeHeartbeatResponse(out *core.HeartbeatResponse) {
	h.Core.Learn(out.View)
	h.mu.Lock()
	wasSilent := time.Since(h.coreHeard) > staleAfter && !h.coreHeard.IsZero()
	h.coreHeard = time.Now()
	h.scarceTenants = out.ScarceTenants
	h.routersBefore = out.RoutersBefore
	if out.NodesChanged {
		h.roll = out.NodesVersion
		h.takeNodes(out.Nodes)
	}
	h.mu.Unlock()
	if wasSilent {
		h.ctx.Log.Info("The core is heard again.")
	}
	if h.runners != nil {
		h.runners.Apply(out)
	}
	if h.failing != nil {
		h.failing(out.Failing)
	}
}

// fetchConfig asks the core for the configuration of a version that it has named, if it is not here yet. One that
// was not understood is not fetched again and again. A new one is on its way by the relays: it is fetched only
// if it was missing for a whole heartbeat, else a large part of the fleet would ask the primary at once.
func (h *Hub) fetchConfig(ctx context.Context, version uint64) {
	record, _, _ := h.Records.Get(relay.ConfigKey)
	overdue := h.ConfigVersion() == 0 || record.Version < h.announcedVersion
	h.announcedVersion = version
	if h.ConfigVersion() >= version || record.Version >= version || !overdue {
		return
	}
	var sheet core.StoredConfig
	if h.Core.Call(ctx, "core.layout", &core.ConfigRequest{}, &sheet, true) == nil && sheet.Version > 0 {
		h.Spread(relay.News{Records: []relay.Record{relay.ConfigRecord(sheet.Version, sheet.Raw)}})
	}
}

// askZone is what a node without a core does: a blank one asks all nodes of its zone that it can reach.
func (h *Hub) askZone() {
	h.mu.Lock()
	asked, nodes := h.asked, h.nodes
	h.mu.Unlock()
	if asked || time.Since(h.started) < 2*time.Second {
		return
	}
	ctx, end := context.WithTimeout(h.ctx, time.Second)
	defer end()
	if len(nodes) == 0 {
		for _, a := range *h.seeds.Load() {
			var r Roll
			if h.caller.Call(ctx, a, "node.roll", &Ask{}, &r) == nil && len(r.Nodes) > len(nodes) {
				nodes = r.Nodes
			}
		}
	}
	for _, n := range nodes {
		if n.Zone == h.ctx.Zone && n.Name != h.ctx.Name {
			h.repairWith(ctx, n.Addr)
		}
	}
	if h.current.Load() == nil {
		return
	}
	h.ctx.Log.Warn("No core to be found. Serving with the hall's layout.")
	h.mu.Lock()
	h.asked = true
	if len(h.nodes) == 0 {
		h.takeNodes(append(nodes, core.Node{Name: h.ctx.Name, Zone: h.ctx.Zone, Addr: h.addr, Run: h.ctx.Born}))
	}
	h.mu.Unlock()
}

// Leave gives up the lease: the core names us no more, our units cool. Serving what has been
// read goes on meanwhile. It ends after a second at the latest, and with the context.
//
//	hub.Leave(ctx)
func (h *Hub) Leave(ctx context.Context) {
	h.mu.Lock()
	h.leaving = true
	h.mu.Unlock()
	ctx, end := context.WithTimeout(ctx, time.Second)
	defer end()
	if err := h.Core.Call(ctx, "core.beat", &core.HeartbeatRequest{Node: h.Me(), Leaving: true}, &core.HeartbeatResponse{}, true); err != nil {
		h.ctx.Log.Warn("The core was not told that we leave.", "trouble", err.Error())
	}
}
