package routerleases

import (
	"context"
	"time"

	"github.com/tinylib/msgp/msgp"

	"yarrowridge/internal/controlplane/coreapi"
	"yarrowridge/internal/transport/dissemination"
)

// PushTimeout is how long a push waits for the routers' responses.
const PushTimeout = 250 * time.Millisecond

// Caller sends a request to another process. It is called concurrently, and must return once ctx is done.
type Caller interface {
	Call(ctx context.Context, addr, kind string, request msgp.Marshaler, response msgp.Unmarshaler) error
}

// Push sends records to the first perZone routers of every zone, which forward them to the others. It waits until every call
// has succeeded or failed, but no longer than PushTimeout. Failed calls are ignored: routers exchange missing records among
// themselves.
func Push(ctx context.Context, caller Caller, routers []coreapi.Node, perZone int, records []dissemination.Record) {
	ctx, cancel := context.WithTimeout(ctx, PushTimeout)
	defer cancel()
	targets := firstOfEachZone(routers, perZone)
	update := dissemination.Update{Records: records}
	done := make(chan struct{}, len(targets))
	for _, router := range targets {
		go func() {
			// Errors are ignored, see Push.
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

// firstOfEachZone returns the first perZone routers of every zone, in the order of routers.
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
