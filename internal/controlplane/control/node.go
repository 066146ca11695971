package control

import (
	"net/http"
	"runtime/debug"
	"time"

	"yarrowridge/internal/controlplane/configuration"
	"yarrowridge/internal/controlplane/core"
	"yarrowridge/internal/controlplane/coreclient"
	"yarrowridge/internal/controlplane/store"
	"yarrowridge/internal/lib/daemon"
	"yarrowridge/internal/lib/metrics"
	"yarrowridge/internal/lib/runloop"
	"yarrowridge/internal/lib/web"
)

// NodeSettings are the settings of a core in the platform's role, whose operators' and runners' API is not ours.
type NodeSettings struct {
	InternalAddr  string          // ip:port where other processes reach it
	ControlAddr   string          // ip:port of the listener for runners and operators
	DataDir       string          // data folder
	Seeds         []string        // ip:port of some cores
	SeedUpdates   <-chan []string // the seeds after a change of the settings
	Bootstrap     bool            // the seeds found the fleet
	Losses        int             // machines with a disk that may be lost at once
	AllowNoBackup bool            // no disk may be lost: a fleet's only core needs no backup
	LostAfter     time.Duration   // silence after which a member may be replaced by a newcomer
	LeaseTerm     time.Duration   // lease of the primacy; 0: the default
	MemoryLimit   int64           // bytes; 0: none
	Codec         configuration.Codec
	Metrics       metrics.Endpoint                                          // where the core's own figures are served
	Handler       func(primary *coreclient.Forwarder) (http.Handler, error) // serves ControlAddr
}

// garbagePercent is how much garbage may lie beside the live heap, in hundredths of it, before it is collected. A
// core's heap is a few MB while the time of its commits is that of all requests that wait for quota units: memory
// is the cheaper of the two. The memory limit still holds.
const garbagePercent = 400

// RunNode runs a core in the platform's role until the process is told to stop.
func RunNode(process *daemon.Process, settings NodeSettings) error {
	if settings.MemoryLimit > 0 {
		daemon.SetMemoryLimit(settings.MemoryLimit)
		debug.SetGCPercent(garbagePercent)
	}
	disk, err := store.OpenFolder(settings.DataDir)
	if err != nil {
		return err
	}
	p, err := openProcess(process, settings.InternalAddr, core.Settings{Addr: settings.InternalAddr, Seeds: settings.Seeds, Bootstrap: settings.Bootstrap,
		Losses: settings.Losses, AllowNoBackup: settings.AllowNoBackup, LostAfter: settings.LostAfter, LeaseTerm: settings.LeaseTerm, Codec: settings.Codec}, disk)
	if err != nil {
		return err
	}
	defer p.caller.Close()
	go runloop.Run(process.Ctx, settings.SeedUpdates, 0, func(seeds []string) { p.setSeeds(settings.InternalAddr, seeds) }, nil)
	handler, err := settings.Handler(coreclient.NewForwarder(p.client, p.server.View))
	if err != nil {
		return err
	}
	control, err := web.Listen(settings.ControlAddr, handler)
	if err != nil {
		return err
	}
	control.Start()
	settings.Metrics.Start(process.Ctx, metricsHandler(p.server.Metrics))
	p.runUntilStopped("internal", settings.InternalAddr, "control", settings.ControlAddr, "zone", process.Ctx.Zone)
	return nil
}
