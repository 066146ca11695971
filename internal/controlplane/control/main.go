// Package control puts the components of a core together: Main those of the core program, RunNode those of the platform's
// role.
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

// operatorDrainTimeout is how long the end of a core waits for operators' requests in flight.
const operatorDrainTimeout = time.Second

// Main runs a core and returns its exit code.
func Main(args []string, out io.Writer) int {
	return daemon.Main("core", Items, args, out, run, checkSettings)
}

// run runs a core until the process is told to stop.
func run(process *daemon.Process) error {
	set := process.Settings
	disk, err := store.OpenFolder(set["data"])
	if err != nil {
		return err
	}
	lock, err := store.Lock(set["data"])
	if err != nil {
		return err
	}
	defer func() { _ = lock.Close() }()
	p, err := openProcess(process, set.ValueOr("listen", "addr"), core.Settings{
		Addr: set["addr"], Founders: set.Addrs("founders"), Seeds: set.Addrs("seeds"), LostAfter: set.Duration("lost"),
		Bootstrap: set["bootstrap"] == "true", Losses: parseNumber(set, "losses"), MaxMembers: parseNumber(set, "max-members")}, disk)
	if err != nil {
		return err
	}
	defer p.caller.Close()
	if addr := set["operator"]; addr != "" {
		operators, err := p.listenForOperators(addr)
		if err != nil {
			return err
		}
		operators.Start()
		defer func() {
			ctx, cancel := context.WithTimeout(context.Background(), operatorDrainTimeout)
			defer cancel()
			_ = operators.Drain(ctx) // who still waits by then is not waited for
		}()
	}
	p.runUntilStopped("addr", set["addr"], "hall", process.Ctx.Zone)
	return nil
}

// listenForOperators binds the operators' listener.
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
