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

// NodeSettings configure a core in the core role of the platform program, which provides the API for operators and runners
// itself (see Handler).
type NodeSettings struct {
	InternalAddr  string          // ip:port where other processes reach it
	ControlAddr   string          // ip:port of the listener for runners and operators
	DataDir       string          // directory of the stored state
	Seeds         []string        // ip:port of some processes of the fleet
	SeedUpdates   <-chan []string // receives the new seeds after a change of the settings
	Bootstrap     bool            // the seeds found the fleet
	Losses        int             // number of disks that may be lost at the same time
	AllowNoBackup bool            // no loss of a disk is tolerated, so that the only core of a fleet needs no backup
	LostAfter     time.Duration   // a member without contact for this long may be replaced by a joining core
	LeaseTerm     time.Duration   // term of the primary's lease; 0: the default
	MemoryLimit   int64           // bytes; 0: none
	Codec         configuration.Codec
	Metrics       metrics.Endpoint                                          // where the core's metrics are served
	Handler       func(primary *coreclient.Forwarder) (http.Handler, error) // serves ControlAddr
}

// gcPercent is the garbage collector's target percentage (see debug.SetGCPercent). It is above the default since a core's heap
// is only a few MB, while a delayed commit delays all requests that wait for quota units. The memory limit still applies.
const gcPercent = 400

// RunNode runs a core in the core role of the platform program until the process is stopped.
func RunNode(process *daemon.Process, settings NodeSettings) error {
	if settings.MemoryLimit > 0 {
		daemon.SetMemoryLimit(settings.MemoryLimit)
		debug.SetGCPercent(gcPercent)
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
