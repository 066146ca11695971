package cluster

import (
	"context"
	"time"

	"yarrowridge/internal/dataplane/registry"
	"yarrowridge/internal/transport/dissemination"
)

// How long the telling of news may take.
const (
	tellTimeout = time.Second            // of one node
	spreadWait  = 250 * time.Millisecond // of all nodes
)

// takeRecord takes one record to who keeps its kind. It runs under the store's lock, for one key from older to newer.
func (h *Member) takeRecord(record dissemination.Record) {
	switch {
	case record.Key == dissemination.ConfigKey && h.document != nil:
		h.takeDocument(record)
	case record.Key == dissemination.ConfigKey:
		h.takeConfig(record)
	case h.runners != nil && registry.IsRunnerRecord(record):
		h.runners.ApplyRecord(record)
	case h.onNews != nil:
		h.onNews(record)
	}
}

// Broadcast takes news and hands on what was new to the neighbours, but for the one it came from.
func (h *Member) Broadcast(news dissemination.Update) {
	fresh := h.Records.Merge(news.Records)
	if len(fresh) == 0 {
		return
	}
	select {
	case h.outbox <- dissemination.Update{From: news.From, Records: fresh}:
	default: // the digests will carry it
	}
}

// forward sends news on, with all that has piled up behind it.
func (h *Member) forward(news dissemination.Update) {
	for _, n := range h.Neighbours() {
		if n.Name == news.From {
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(h.ctx, tellTimeout)
			defer cancel()
			h.caller.Call(ctx, n.Addr, "node.tell", &dissemination.Update{From: h.ctx.Name, Records: news.Records}, nil)
		}()
	}
}

// BroadcastToAll hands records to every node directly, beside the tree, and reports whether one at least holds
// them. It waits until all have answered, for spreadWait at most: if we are gone right after, the
// tree that led through us must not be what others depend on.
func (h *Member) BroadcastToAll(ctx context.Context, records []dissemination.Record) bool {
	results, pending := h.tellAll(records)
	timer := time.NewTimer(spreadWait)
	defer timer.Stop()
	deadline := timer.C
	held := pending == 0
	for pending > 0 {
		select {
		case ok := <-results:
			pending--
			held = held || ok
			if held && deadline == nil {
				return true
			}
		case <-deadline:
			if held {
				return true
			}
			deadline = nil // nobody yet: wait on for the first
		case <-ctx.Done():
			return held
		}
	}
	return held
}

// tellAll sends records to all other nodes. The channel gets a result from each of them: whether it has taken them.
func (h *Member) tellAll(records []dissemination.Record) (results <-chan bool, count int) {
	nodes := h.Nodes()
	all := make(chan bool, len(nodes))
	news := &dissemination.Update{From: h.ctx.Name, Records: records}
	for _, n := range nodes {
		if n.Name == h.ctx.Name {
			continue
		}
		count++
		go func() {
			ctx, cancel := context.WithTimeout(h.ctx, tellTimeout)
			defer cancel()
			all <- h.caller.Call(ctx, n.Addr, "node.tell", news, nil) == nil
		}()
	}
	return all, count
}
