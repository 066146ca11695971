// Package router assembles the components of a router. Router is for the router program, which understands prompts and
// their lanes. Gateway is for the router role of the platform program, which forwards opaque requests.
package router

import (
	"io"

	"yarrowridge/internal/dataplane/runner"
	"yarrowridge/internal/dataplane/tracing"
	"yarrowridge/internal/lib/daemon"
	"yarrowridge/internal/lib/faultinjection"
	"yarrowridge/internal/transport/wire"
)

// Main runs a router and returns its exit code.
func Main(args []string, out io.Writer) int {
	return daemon.Main("router", Items, args, out, run)
}

// run runs a router until the process receives the signal to stop.
func run(process *daemon.Process) error {
	ctx := process.Ctx
	router := New(ctx, process.Settings["addr"], process.Settings["origin"], process.Settings.Addrs("seeds"), runner.DialFrom(process.Settings["from"]))
	tracer, err := tracing.Open(process.Settings["trace"], ctx.Name)
	if err != nil {
		return err
	}
	defer tracer.Close()
	router.Clients.Tracer = tracer
	listener, err := ctx.Net.Listen(process.Settings.ValueOr("listen", "addr"))
	if err != nil {
		return err
	}
	servers, err := router.listen(process)
	if err != nil {
		return err
	}
	go wire.Serve(ctx, listener, router.Cluster.Serve)
	router.Start()
	ctx.Log.Info("Router is up.", "addr", process.Settings["addr"], "origin", process.Settings["origin"], "hall", ctx.Zone)
	<-process.Stop
	if !faultinjection.Disabled("drain") {
		router.drain(process, servers)
	}
	return nil
}
