package node

import (
	"context"
	"time"

	"yarrowridge/internal/registry"
	"yarrowridge/internal/relay"
)

// see runs under the store's lock, for one key from older to newer.
func (h *Hub) see(r relay.Record) {
	switch {
	case r.Key == relay.ConfigKey && h.document != nil:
		h.takeDocument(r)
	case r.Key == relay.ConfigKey:
		h.takeConfig(r)
	case h.runners != nil && registry.Owns(r):
		h.runners.See(r)
	case h.onNews != nil:
		h.onNews(r)
	}
}

// Spread takes news and hands on what was new to the neighbours, but for the one it came from.
//
//	hub.Spread(relay.News{Records: records})
func (h *Hub) Spread(news relay.News) {
	fresh := h.Records.Take(news.Records)
	if len(fresh) == 0 {
		return
	}
	select {
	case h.outbox <- relay.News{From: news.From, Records: fresh}:
	default: // the digests will carry it
	}
}

// forward sends news on, with all that has piled up behind it.
func (h *Hub) forward(news relay.News) {
	for _, n := range h.Neighbours() {
		if n.Name == news.From {
			continue
		}
		go func() {
			ctx, end := context.WithTimeout(h.ctx, time.Second)
			defer end()
			h.caller.Call(ctx, n.Addr, "node.tell", &relay.News{From: h.ctx.Name, Records: news.Records}, nil)
		}()
	}
}

// SpreadToAll hands records to every node directly, beside the tree, and tells whether one at least holds
// them. It waits until all have answered, a quarter second at most: if we are gone right after, the
// tree that led through us must not be what others depend on.
//
//	if hub.SpreadToAll(ctx, records) { ... }
func (h *Hub) SpreadToAll(ctx context.Context, records []relay.Record) bool {
	nodes := h.Nodes()
	ch := make(chan bool, len(nodes))
	ask := 0
	for _, n := range nodes {
		if n.Name == h.ctx.Name {
			continue
		}
		ask++
		go func() {
			one, end := context.WithTimeout(h.ctx, time.Second)
			defer end()
			ch <- h.caller.Call(one, n.Addr, "node.tell", &relay.News{From: h.ctx.Name, Records: records}, nil) == nil
		}()
	}
	wait := time.NewTimer(250 * time.Millisecond)
	defer wait.Stop()
	late := wait.C
	held := ask == 0
	for ; ask > 0; ask-- {
		select {
		case ok := <-ch:
			held = held || ok
			if held && late == nil {
				return true
			}
		case <-late:
			if held {
				return true
			}
			late = nil // nobody yet: wait on for the first
			ask++
		case <-ctx.Done():
			return held
		}
	}
	return held
}
