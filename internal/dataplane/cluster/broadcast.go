package cluster

import (
	"context"
	"time"

	"yarrowridge/internal/dataplane/registry"
	"yarrowridge/internal/transport/dissemination"
)

const (
	updateTimeout = time.Second            // for sending one update to one router
	broadcastWait = 250 * time.Millisecond // for the acknowledgements of all routers
)

// applyRecord dispatches one newer record to the handler of its kind. It runs under a lock of Records, for one key from
// older to newer.
func (m *Member) applyRecord(record dissemination.Record) {
	switch {
	case record.Key == dissemination.ConfigKey && m.configHandler != nil:
		m.applyRawConfig(record)
	case record.Key == dissemination.ConfigKey:
		m.applyConfig(record)
	case m.runners != nil && registry.IsRunnerRecord(record):
		m.runners.ApplyRecord(record)
	case m.onRecord != nil:
		m.onRecord(record)
	}
}

// Broadcast merges an update's records and queues the new ones for the neighbours in the dissemination tree, except for the
// neighbour that sent the update. It does not block: if the queue is full, anti-entropy spreads the records.
func (m *Member) Broadcast(update dissemination.Update) {
	changed := m.Records.Merge(update.Records)
	if len(changed) == 0 {
		return
	}
	select {
	case m.outbox <- dissemination.Update{From: update.From, Records: changed}:
	default: // anti-entropy repairs the difference
	}
}

// forward sends an update to all neighbours except the one that sent it.
func (m *Member) forward(update dissemination.Update) {
	outgoing := &dissemination.Update{From: m.ctx.Name, Records: update.Records}
	for _, n := range m.Neighbours() {
		if n.Name != update.From {
			go m.sendUpdate(n.Addr, outgoing)
		}
	}
}

// sendUpdate sends an update to one router and reports whether that router has acknowledged it. Anti-entropy repairs lost
// updates.
func (m *Member) sendUpdate(addr string, update *dissemination.Update) bool {
	ctx, cancel := context.WithTimeout(m.ctx, updateTimeout)
	defer cancel()
	return m.caller.Call(ctx, addr, "node.tell", update, nil) == nil
}

// BroadcastToAll sends records to every other router directly, bypassing the dissemination tree, and reports whether at
// least one has acknowledged them or there is no other router. It waits until all have answered or 250 ms have passed. If
// there is no acknowledgement by then, it waits for the first one until the context ends. The tree is bypassed so that the
// records spread even if this router, a node of the tree, stops right afterwards.
func (m *Member) BroadcastToAll(ctx context.Context, records []dissemination.Record) bool {
	results, pending := m.sendToAll(records)
	timer := time.NewTimer(broadcastWait)
	defer timer.Stop()
	deadline := timer.C
	acknowledged := pending == 0
	for pending > 0 {
		select {
		case ok := <-results:
			pending--
			acknowledged = acknowledged || ok
			if acknowledged && deadline == nil {
				return true
			}
		case <-deadline:
			if acknowledged {
				return true
			}
			deadline = nil // no acknowledgement yet: wait for the first
		case <-ctx.Done():
			return acknowledged
		}
	}
	return acknowledged
}

// sendToAll sends records to all other routers and returns their number. For each of them, results receives whether it has
// acknowledged the records.
func (m *Member) sendToAll(records []dissemination.Record) (results <-chan bool, count int) {
	nodes := m.Nodes()
	all := make(chan bool, len(nodes))
	update := &dissemination.Update{From: m.ctx.Name, Records: records}
	for _, n := range nodes {
		if n.Name == m.ctx.Name {
			continue
		}
		count++
		go func() { all <- m.sendUpdate(n.Addr, update) }()
	}
	return all, count
}
