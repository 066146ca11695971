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

// The session directory that routers store at the core survives a restart of all cores. The last stored directory is
// returned, and a directory that is too large is rejected.
func TestSessionDirectorySurvivesRestart(t *testing.T) {
	t.Parallel()
	overSeeds(t, func(t *testing.T, seed uint64) {
		f := newJoinedFleet(t, seed, 5, 1)
		network, _ := f.w.Net("10.0.7.1:1")
		client := coreclient.NewClient(daemon.Context{Context: f.ctx, Name: "router", Log: f.log, Net: network}, wire.NewCaller(network), f.founders)
		save := func(body []byte) error {
			ctx, end := context.WithTimeout(f.ctx, 2*time.Second)
			defer end()
			return client.Call(ctx, "core.sessions.keep", &coreapi.SessionDirectory{Batch: body}, &coreapi.Empty{}, true)
		}
		for _, body := range []string{"first", "second"} {
			if err := save([]byte(body)); err != nil {
				t.Fatal(err)
			}
		}
		if err := save(make([]byte, 2<<20)); !wire.HasCode(err, coreapi.CodeTooLarge) {
			t.Errorf("storing a directory of 2 MiB returned %v", err)
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
		var stored coreapi.SessionDirectory
		if err := client.Call(ctx, "core.sessions", &coreapi.ConfigRequest{}, &stored, true); err != nil || !bytes.Equal(stored.Batch, []byte("second")) {
			t.Errorf("the core returned directory %q, error %v; want the second one", stored.Batch, err)
		}
		f.stop()
	})
}
