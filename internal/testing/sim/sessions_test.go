package sim_test

import (
	"bytes"
	"context"
	"testing"
	"time"

	"yarrowridge/internal/controlplane/coreapi"
	"yarrowridge/internal/controlplane/coreclient"
	"yarrowridge/internal/lib/daemon"
	"yarrowridge/internal/transport/wire"
)

// The session directory that routers keep at the core is there after the loss of all cores' processes; the one
// kept last stands, and one that is too large is refused.
func TestSessionsAreKept(t *testing.T) {
	t.Parallel()
	overSeeds(t, func(t *testing.T, seed uint64) {
		f := newJoinedFleet(t, seed, 5, 1)
		network, _ := f.w.Net("10.0.7.1:1")
		client := coreclient.NewClient(daemon.Context{Context: f.ctx, Name: "router", Log: f.log, Net: network}, wire.NewCaller(network), f.founders)
		keep := func(body []byte) error {
			ctx, end := context.WithTimeout(f.ctx, 2*time.Second)
			defer end()
			return client.Call(ctx, "core.sessions.keep", &coreapi.SessionDirectory{Batch: body}, &coreapi.Empty{}, true)
		}
		for _, body := range []string{"first", "second"} {
			if err := keep([]byte(body)); err != nil {
				t.Fatal(err)
			}
		}
		if err := keep(make([]byte, 2<<20)); !wire.HasCode(err, coreapi.CodeTooLarge) {
			t.Errorf("a directory of 2 MB: %v", err)
		}
		for _, c := range f.cores {
			f.crashCore(c)
		}
		for _, c := range f.cores {
			f.startCore(c)
		}
		f.within(10*time.Second, "a primary is ready", func() bool { return f.primary() != nil })
		ctx, end := context.WithTimeout(f.ctx, 2*time.Second)
		defer end()
		var kept coreapi.SessionDirectory
		if err := client.Call(ctx, "core.sessions", &coreapi.ConfigRequest{}, &kept, true); err != nil || !bytes.Equal(kept.Batch, []byte("second")) {
			t.Errorf("%q is kept: %v", kept.Batch, err)
		}
		f.stop()
	})
}
