package cluster

import (
	"context"

	"github.com/tinylib/msgp/msgp"

	"yarrowridge/internal/controlplane/coreapi"
	"yarrowridge/internal/controlplane/view"
	"yarrowridge/internal/transport/dissemination"
	"yarrowridge/internal/transport/wire"
)

// RegisterHandler adds a handler for the message kinds that begin with name and a dot. It must be called before Serve.
func (m *Member) RegisterHandler(name string, handler wire.Handler) { m.handlers[name] = handler }

// Serve handles the calls of other processes. It is a wire.Handler.
func (m *Member) Serve(ctx context.Context, kind string, body []byte) (msgp.Marshaler, error) {
	switch kind {
	case "view.ask":
		return &view.StatusResponse{Addr: m.addr, View: m.Core.View()}, nil
	case "node.tell":
		return wire.HandleTyped(body, func(update *dissemination.Update) (*coreapi.Empty, error) {
			m.Broadcast(*update)
			return &coreapi.Empty{}, nil
		})
	case "node.sum":
		return wire.HandleTyped(body, func(digests *dissemination.Digests) (*dissemination.Difference, error) {
			difference := m.Records.Compare(*digests)
			m.reportConfirmed(&difference)
			return &difference, nil
		})
	case "node.fix":
		return wire.HandleTyped(body, func(repair *dissemination.Repair) (*dissemination.Update, error) {
			m.Broadcast(dissemination.Update{From: repair.From, Records: repair.Records})
			return &dissemination.Update{From: m.ctx.Name, Records: m.Records.Select(repair.WantedKeys)}, nil
		})
	case "node.view":
		return wire.HandleTyped(body, func(request *view.LearnRequest) (*coreapi.Empty, error) {
			m.Core.Learn(request.View)
			return &coreapi.Empty{}, nil
		})
	case "node.run":
		self := m.Self()
		return &self, nil
	case "node.roll":
		return &NodeList{m.Nodes()}, nil
	}
	return wire.Handlers(m.handlers).Dispatch(ctx, kind, body)
}

// Call sends a request to another process of the fleet and decodes its response into response, or ignores it if that is nil.
func (m *Member) Call(ctx context.Context, addr, kind string, request msgp.Marshaler, response msgp.Unmarshaler) error {
	return m.caller.Call(ctx, addr, kind, request, response)
}
