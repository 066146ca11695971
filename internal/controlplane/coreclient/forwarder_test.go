package coreclient

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"yarrowridge/internal/controlplane/coreapi"
	"yarrowridge/internal/controlplane/view"
	"yarrowridge/internal/lib/daemon"
	"yarrowridge/internal/transport/wire"
)

// partitionedNetwork reaches nobody: a dial ends after some seconds.
type partitionedNetwork struct{}

func (partitionedNetwork) Dial(ctx context.Context, _ string) (net.Conn, error) {
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-time.After(2 * time.Second):
		return nil, context.DeadlineExceeded
	}
}

func (partitionedNetwork) Listen(string) (net.Listener, error) { return nil, net.ErrClosed }

// A caller waits while a primary may be being replaced, but its call soon fails once none was reached for long: it then
// tries another core.
func TestPartitionedCoreFailsCallsSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		network := partitionedNetwork{}
		caller := wire.NewCaller(network)
		defer caller.Close()
		client := NewClient(daemon.Context{Context: ctx, Net: network}, caller, []string{"10.0.0.1:1"})
		viewsAsked := 0
		forwarder := NewForwarder(client, func() view.View { viewsAsked++; return view.View{} })
		const timeout = 900 * time.Millisecond
		call := func() time.Duration {
			ctx, cancel := context.WithTimeout(ctx, timeout)
			defer cancel()
			started := time.Now()
			if err := forwarder.Call(ctx, "core.layout", &coreapi.ConfigRequest{}, &coreapi.StoredConfig{}, true); err == nil {
				t.Error("got no error from a call that reaches nobody, want one")
			}
			return time.Since(started)
		}
		if took := call(); took < timeout {
			t.Errorf("got the first call given up after %s, want %s at least: a primary may be being replaced", took, timeout)
		}
		time.Sleep(partitionedAfter)
		if took := call(); took > partitionedCallTimeout+50*time.Millisecond {
			t.Errorf("got a call of a partitioned core failed after %s, want about %s", took, partitionedCallTimeout)
		}
		if viewsAsked != 2 {
			t.Errorf("got the own core's view asked for %d times, want 2", viewsAsked)
		}
		caller.Close()
		cancel()
		time.Sleep(10 * time.Second) // simulated: dials under way end
	})
}
