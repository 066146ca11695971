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
func (h *Hub) Handle(name string, hand wire.Handler) { h.handlers[name] = hand }

// Serve answers calls from other processes.
//
//	go wire.Serve(ctx, l, hub.Serve)
func (h *Hub) Serve(ctx context.Context, kind string, body []byte) (msgp.Marshaler, error) {
	switch kind {
	case "view.ask":
		return &view.StatusResponse{Addr: h.addr, View: h.Core.View()}, nil
	case "node.tell":
		return wire.On(body, func(news *relay.News) (*core.Empty, error) {
			h.Spread(*news)
			return &core.Empty{}, nil
		})
	case "node.sum":
		return wire.On(body, func(digests *relay.Digests) (*relay.Difference, error) {
			d := h.Records.Compare(*digests)
			h.tellConfirmed(&d)
			return &d, nil
		})
	case "node.fix":
		return wire.On(body, func(repair *relay.Repair) (*relay.News, error) {
			h.Spread(relay.News{From: repair.From, Records: repair.Records})
			return &relay.News{From: h.ctx.Name, Records: h.Records.Select(repair.Wanted)}, nil
		})
	case "node.view":
		return wire.On(body, func(request *view.LearnRequest) (*core.Empty, error) {
			h.Core.Learn(request.View)
			return &core.Empty{}, nil
		})
	case "node.run":
		me := h.Me()
		return &me, nil
	case "node.roll":
		return &NodeList{h.Nodes()}, nil
	}
	return wire.Handlers(h.handlers).Do(ctx, kind, body)
}

// Call reaches another process of the fleet.
//
//	err := hub.Call(ctx, addr, "piece.copy", &request, nil)
func (h *Hub) Call(ctx context.Context, addr, kind string, request msgp.Marshaler, response msgp.Unmarshaler) error {
	return h.caller.Call(ctx, addr, kind, request, response)
}
