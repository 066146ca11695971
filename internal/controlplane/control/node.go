package control

import (
	"net/http"
	"runtime/debug"
	"time"

	"github.com/rotisserie/eris"

	"yarrowridge/internal/controlplane/configuration"
	"yarrowridge/internal/controlplane/core"
	"yarrowridge/internal/controlplane/coreclient"
	"yarrowridge/internal/controlplane/store"
	"yarrowridge/internal/lib/daemon"
	"yarrowridge/internal/lib/metrics"
	"yarrowridge/internal/lib/runloop"
	"yarrowridge/internal/lib/web"
	"yarrowridge/internal/transport/wire"
)

// NodeSettings are what a core that serves another interface than ours is told about its place.
type NodeSettings struct {
	InternalAddr  string          // ip:port where other processes reach it
	ControlAddr   string          // ip:port of the listener for runners and operators
	DataDir       string          // folder on the disk
	Seeds         []string        // ip:port of some cores
	SeedUpdates   <-chan []string // seeds as the settings have them later
	Bootstrap     bool            // the seeds found the fleet
	Losses        int             // machines with a disk that may be lost at once
	AllowNoBackup bool            // none may: a fleet's only core needs no backup
	LostAfter     time.Duration   // silence after which a member may be replaced by a newcomer
	LeaseTerm     time.Duration   // lease of the primacy; 0: the default
	MemoryLimit   int64           // bytes; 0: none
	Codec         configuration.Codec
	Metrics       metrics.Endpoint                                          // where the core's own figures are served
	Handler       func(primary *coreclient.Forwarder) (http.Handler, error) // serves Control
}

// garbagePercent is how much garbage may lie beside the live heap, in hundredths of it, before it is collected. A
// core's heap is a few MB while the time of its commits is that of all requests that wait for quota units: memory
// is the cheaper of the two. The memory limit still holds.
const garbagePercent = 400

// RunNode runs a core until it is told to stop.
func RunNode(process *daemon.Process, settings NodeSettings) error {
	if settings.MemoryLimit > 0 {
		debug.SetMemoryLimit(settings.MemoryLimit * 6 / 10)
		debug.SetGCPercent(garbagePercent)
	}
	disk, err := store.OpenFolder(settings.DataDir)
	if err != nil {
		return err
	}
	server, err := core.Open(process.Ctx.WithComponent("core"), core.Settings{Addr: settings.InternalAddr, Seeds: settings.Seeds, Bootstrap: settings.Bootstrap,
		Losses: settings.Losses, AllowNoBackup: settings.AllowNoBackup, LostAfter: settings.LostAfter, LeaseTerm: settings.LeaseTerm, Codec: settings.Codec}, disk)
	if err != nil {
		return err
	}
	internal, err := process.Ctx.Net.Listen(settings.InternalAddr)
	if err != nil {
		return eris.Wrap(err, "core: internal listener")
	}
	go wire.Serve(process.Ctx, internal, server.Handle)
	caller := wire.NewCaller(process.Ctx.Net)
	defer caller.Close()
	client := coreclient.NewClient(process.Ctx, caller, append([]string{settings.InternalAddr}, settings.Seeds...))
	go runloop.Run(process.Ctx, settings.SeedUpdates, 0, func(seeds []string) {
		server.SetSeeds(seeds)
		client.SetSeeds(append([]string{settings.InternalAddr}, seeds...))
	}, nil)
	handler, err := settings.Handler(coreclient.NewForwarder(client, server.View))
	if err != nil {
		return err
	}
	control, err := web.Listen(settings.ControlAddr, handler)
	if err != nil {
		return err
	}
	go func() { _ = control.Run() }() // a listener that breaks leaves the core its work
	settings.Metrics.Start(process.Ctx, metricsHandler(server.Figures))
	done := make(chan struct{})
	go func() {
		server.Run()
		close(done)
	}()
	process.Ctx.Log.Info("Core is up.", "internal", settings.InternalAddr, "control", settings.ControlAddr, "zone", process.Ctx.Zone)
	<-process.Stop
	process.Ctx.Log.Info("Core stops.")
	server.StepDown()
	process.Close()
	<-done
	return nil
}
