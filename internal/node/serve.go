package node

import (
	"context"

	"github.com/tinylib/msgp/msgp"

	"yarrowridge/internal/core"
	"yarrowridge/internal/relay"
	"yarrowridge/internal/view"
	"yarrowridge/internal/wire"
)

// Handle adds a handler of another owner's calls on the same listener.
//
//	hub.Handle("piece", pool.Hand)
func (h *Hub) Handle(name string, hand wire.Hand) { h.handlers[name] = hand }

// Serve answers calls from other processes.
//
//	go wire.Serve(ctx, l, hub.Serve)
func (h *Hub) Serve(ctx context.Context, kind string, body []byte) (msgp.Marshaler, error) {
	switch kind {
	case "view.ask":
		return &view.StatusResponse{Addr: h.addr, View: h.Core.View()}, nil
	case "node.tell":
		return wire.On(body, func(in *relay.News) (*core.Empty, error) {
			h.Spread(*in)
			return &core.Empty{}, nil
		})
	case "node.sum":
		return wire.On(body, func(in *relay.Digests) (*relay.Difference, error) {
			d := h.Records.Compare(*in)
			return &d, nil
		})
	case "node.fix":
		return wire.On(body, func(in *relay.Repair) (*relay.News, error) {
			h.Spread(relay.News{From: in.From, Records: in.Records})
			return &relay.News{From: h.ctx.Name, Records: h.Records.Select(in.Wanted)}, nil
		})
	case "node.view":
		return wire.On(body, func(in *view.LearnRequest) (*core.Empty, error) {
			h.Core.Learn(in.View)
			return &core.Empty{}, nil
		})
	case "node.run":
		me := h.Me()
		return &me, nil
	case "node.roll":
		return &Roll{h.Nodes()}, nil
	}
	return wire.Hands(h.handlers).Do(ctx, kind, body)
}

// Call reaches another process of the fleet.
//
//	err := hub.Call(ctx, addr, "piece.copy", &in, nil)
func (h *Hub) Call(ctx context.Context, addr, kind string, in msgp.Marshaler, out msgp.Unmarshaler) error {
	return h.caller.Call(ctx, addr, kind, in, out)
}
