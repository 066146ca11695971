package cluster

import (
	"context"

	"github.com/tinylib/msgp/msgp"

	"yarrowridge/internal/controlplane/coreapi"
	"yarrowridge/internal/controlplane/view"
	"yarrowridge/internal/transport/dissemination"
	"yarrowridge/internal/transport/wire"
)

// Handle adds a handler of another owner's calls on the same listener.
func (h *Member) RegisterHandler(name string, hand wire.Handler) { h.handlers[name] = hand }

// Serve answers calls from other processes.
func (h *Member) Serve(ctx context.Context, kind string, body []byte) (msgp.Marshaler, error) {
	switch kind {
	case "view.ask":
		return &view.StatusResponse{Addr: h.addr, View: h.Core.View()}, nil
	case "node.tell":
		return wire.HandleTyped(body, func(news *dissemination.Update) (*coreapi.Empty, error) {
			h.Broadcast(*news)
			return &coreapi.Empty{}, nil
		})
	case "node.sum":
		return wire.HandleTyped(body, func(digests *dissemination.Digests) (*dissemination.Difference, error) {
			d := h.Records.Compare(*digests)
			h.tellConfirmed(&d)
			return &d, nil
		})
	case "node.fix":
		return wire.HandleTyped(body, func(repair *dissemination.Repair) (*dissemination.Update, error) {
			h.Broadcast(dissemination.Update{From: repair.From, Records: repair.Records})
			return &dissemination.Update{From: h.ctx.Name, Records: h.Records.Select(repair.Wanted)}, nil
		})
	case "node.view":
		return wire.HandleTyped(body, func(request *view.LearnRequest) (*coreapi.Empty, error) {
			h.Core.Learn(request.View)
			return &coreapi.Empty{}, nil
		})
	case "node.run":
		me := h.Self()
		return &me, nil
	case "node.roll":
		return &NodeList{h.Nodes()}, nil
	}
	return wire.Handlers(h.handlers).Dispatch(ctx, kind, body)
}

// Call reaches another process of the fleet.
func (h *Member) Call(ctx context.Context, addr, kind string, request msgp.Marshaler, response msgp.Unmarshaler) error {
	return h.caller.Call(ctx, addr, kind, request, response)
}
