package control

import (
	"github.com/rotisserie/eris"

	"yarrowridge/internal/controlplane/core"
	"yarrowridge/internal/controlplane/coreclient"
	"yarrowridge/internal/controlplane/store"
	"yarrowridge/internal/lib/daemon"
	"yarrowridge/internal/transport/wire"
)

// coreProcess contains the components of a core that both programs need.
type coreProcess struct {
	*daemon.Process
	server *core.Server
	caller *wire.Caller       // closed by the caller of openProcess
	client *coreclient.Client // calls the fleet's primary, which may be this core
}

// openProcess opens a core with its disk and serves calls from other processes at listenAddr.
func openProcess(process *daemon.Process, listenAddr string, settings core.Settings, disk store.Disk) (*coreProcess, error) {
	server, err := core.Open(process.Ctx.WithComponent("core"), settings, disk)
	if err != nil {
		return nil, err
	}
	listener, err := process.Ctx.Net.Listen(listenAddr)
	if err != nil {
		return nil, eris.Wrap(err, "core: internal listener")
	}
	go wire.Serve(process.Ctx, listener, server.Handle)
	caller := wire.NewCaller(process.Ctx.Net)
	client := coreclient.NewClient(process.Ctx, caller, append([]string{settings.Addr}, settings.Seeds...))
	return &coreProcess{Process: process, server: server, caller: caller, client: client}, nil
}

// setSeeds replaces the seeds after a change of the settings. addr is the core's own address.
func (p *coreProcess) setSeeds(addr string, seeds []string) {
	p.server.SetSeeds(seeds)
	p.client.SetSeeds(append([]string{addr}, seeds...))
}

// runUntilStopped runs the core until the process is stopped. It then hands over to another primary, if the core is primary,
// and stops all components. addresses are key-value pairs for the log line at the start.
func (p *coreProcess) runUntilStopped(addresses ...any) {
	done := make(chan struct{})
	go func() {
		p.server.Run()
		close(done)
	}()
	p.Ctx.Log.Info("Core is up.", addresses...)
	<-p.Stop
	p.Ctx.Log.Info("Core stops.")
	p.server.StepDown()
	p.Close()
	<-done
}
