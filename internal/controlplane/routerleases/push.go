package routerleases

import (
	"context"
	"time"

	"github.com/tinylib/msgp/msgp"

	"yarrowridge/internal/controlplane/coreapi"
	"yarrowridge/internal/transport/dissemination"
)

// PushTimeout is how long a push waits for the routers.
const PushTimeout = 250 * time.Millisecond

// Caller calls another process. It is called concurrently, and returns by the end of ctx.
type Caller interface {
	Call(ctx context.Context, addr, kind string, request msgp.Marshaler, response msgp.Unmarshaler) error
}

// Push hands records to the first perZone routers of every zone, who pass them on, and waits until each has answered or
// failed, for PushTimeout at most. That a router did not get them is no error: routers repair their copies among themselves.
func Push(ctx context.Context, caller Caller, routers []coreapi.Node, perZone int, records []dissemination.Record) {
	ctx, cancel := context.WithTimeout(ctx, PushTimeout)
	defer cancel()
	targets := firstOfEachZone(routers, perZone)
	update := dissemination.Update{Records: records}
	done := make(chan struct{}, len(targets))
	for _, router := range targets {
		go func() {
			// The outcome does not matter: see above.
			_ = caller.Call(ctx, router.Addr, "node.tell", &update, nil)
			done <- struct{}{}
		}()
	}
	for range targets {
		select {
		case <-done:
		case <-ctx.Done():
			return
		}
	}
}

// firstOfEachZone gives the first perZone routers of every zone, in their order.
func firstOfEachZone(routers []coreapi.Node, perZone int) []coreapi.Node {
	var first []coreapi.Node
	inZone := map[string]int{}
	for _, router := range routers {
		if inZone[router.Zone]++; inZone[router.Zone] <= perZone {
			first = append(first, router)
		}
	}
	return first
}
