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

// partitionedNetwork reaches no other process: a dial fails after two seconds.
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

// A call waits while the primary may be in the process of being replaced. Once no primary was reached for partitionedAfter,
// calls fail early, so that the caller can try another core.
func TestPartitionedCoreFailsCallsEarly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		network := partitionedNetwork{}
		caller := wire.NewCaller(network)
		defer caller.Close()
		client := NewClient(daemon.Context{Context: ctx, Net: network}, caller, []string{"10.0.0.1:1"})
		viewCalls := 0
		forwarder := NewForwarder(client, func() view.View { viewCalls++; return view.View{} })
		const timeout = 900 * time.Millisecond
		call := func() time.Duration {
			ctx, cancel := context.WithTimeout(ctx, timeout)
			defer cancel()
			started := time.Now()
			if err := forwarder.Call(ctx, "core.layout", &coreapi.ConfigRequest{}, &coreapi.StoredConfig{}, true); err == nil {
				t.Error("got no error from a call without a reachable core, want one")
			}
			return time.Since(started)
		}
		if took := call(); took < timeout {
			t.Errorf("got the first call failed after %s, want %s at least, since a primary may be in the process of being replaced", took, timeout)
		}
		time.Sleep(partitionedAfter)
		if took := call(); took > partitionedCallTimeout+50*time.Millisecond {
			t.Errorf("got a call of a partitioned core failed after %s, want about %s", took, partitionedCallTimeout)
		}
		if viewCalls != 2 {
			t.Errorf("got %d calls for the local core's view, want 2", viewCalls)
		}
		caller.Close()
		cancel()
		time.Sleep(10 * time.Second) // simulated; dials in progress end
	})
}
