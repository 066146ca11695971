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

// silentNet reaches nobody: a dial ends after some seconds.
type silentNet struct{}

func (silentNet) Dial(ctx context.Context, _ string) (net.Conn, error) {
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-time.After(2 * time.Second):
		return nil, context.DeadlineExceeded
	}
}

func (silentNet) Listen(string) (net.Listener, error) { return nil, net.ErrClosed }

// A caller waits while a primary may be on its way, but is told soon once none was reached for long: it then tries
// another core.
func TestCutOffCoreAnswersSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		network := silentNet{}
		caller := wire.NewCaller(network)
		defer caller.Close()
		client := NewClient(daemon.Context{Context: ctx, Net: network}, caller, []string{"10.0.0.1:1"})
		asked := 0
		forwarder := NewForwarder(client, func() view.View { asked++; return view.View{} })
		const patience = 900 * time.Millisecond
		call := func() time.Duration {
			ctx, cancel := context.WithTimeout(ctx, patience)
			defer cancel()
			begun := time.Now()
			if err := forwarder.Call(ctx, "core.layout", &coreapi.ConfigRequest{}, &coreapi.StoredConfig{}, true); err == nil {
				t.Error("a call got through to nobody")
			}
			return time.Since(begun)
		}
		if took := call(); took < patience {
			t.Errorf("the first call was given up after %s: a primary may be on its way", took)
		}
		time.Sleep(cutOffAfter)
		if took := call(); took > cutOffTimeout+50*time.Millisecond {
			t.Errorf("a core that has reached nobody for long answers after %s", took)
		}
		if asked != 2 {
			t.Errorf("the own core's view was asked for %d times, twice expected", asked)
		}
		caller.Close()
		cancel()
		time.Sleep(10 * time.Second) // simulated: dials under way end
	})
}
