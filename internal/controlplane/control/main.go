// Package control assembles and runs a core: Main as the core program, and RunNode in the core role of the platform program.
package control

import (
	"context"
	"io"
	"time"

	"yarrowridge/internal/controlplane/core"
	"yarrowridge/internal/controlplane/store"
	"yarrowridge/internal/lib/daemon"
	"yarrowridge/internal/lib/web"
	"yarrowridge/internal/transport/operator"
	"yarrowridge/internal/transport/wire"
)

// operatorDrainTimeout bounds how long a stopping core waits for operators' requests in flight.
const operatorDrainTimeout = time.Second

// Main runs a core and returns its exit code.
func Main(args []string, out io.Writer) int {
	return daemon.Main("core", Items, args, out, run, checkSettings)
}

// run runs a core until the process is stopped.
func run(process *daemon.Process) error {
	values := process.Settings
	disk, err := store.OpenFolder(values["data"])
	if err != nil {
		return err
	}
	lock, err := store.Lock(values["data"])
	if err != nil {
		return err
	}
	defer func() { _ = lock.Close() }()
	p, err := openProcess(process, values.ValueOr("listen", "addr"), core.Settings{
		Addr: values["addr"], Founders: values.Addrs("founders"), Seeds: values.Addrs("seeds"), LostAfter: values.Duration("lost"),
		Bootstrap: values["bootstrap"] == "true", Losses: parseNumber(values, "losses"), MaxMembers: parseNumber(values, "max-members")}, disk)
	if err != nil {
		return err
	}
	defer p.caller.Close()
	if addr := values["operator"]; addr != "" {
		operators, err := p.listenForOperators(addr)
		if err != nil {
			return err
		}
		operators.Start()
		defer func() {
			ctx, cancel := context.WithTimeout(context.Background(), operatorDrainTimeout)
			defer cancel()
			_ = operators.Drain(ctx) // requests that are still in flight after the time-out are abandoned
		}()
	}
	p.runUntilStopped("addr", values["addr"], "hall", process.Ctx.Zone)
	return nil
}

// listenForOperators binds the listener of the operators' API.
func (p *coreProcess) listenForOperators(addr string) (*web.Server, error) {
	api := &operator.API{Ctx: p.Ctx.WithComponent("operator"), KeyHash: func() string { return p.Setting("operator-key-hash") },
		Core: p.client, NotReadyReason: p.server.UnavailableReason,
		JSONRoutes: map[string]func() any{
			"/v1/standing": func() any { return p.server.State() },
			"/v1/traffic":  func() any { return wire.TrafficByKind() }}}
	handler, err := api.Handler()
	if err != nil {
		return nil, err
	}
	return web.Listen(addr, handler)
}
