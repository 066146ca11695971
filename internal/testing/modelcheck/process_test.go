package modelcheck

import (
	"context"
	"sync"
	"time"

	"github.com/tinylib/msgp/msgp"

	"yarrowridge/internal/controlplane/core"
	"yarrowridge/internal/controlplane/store"
	"yarrowridge/internal/controlplane/view"
	"yarrowridge/internal/lib/daemon"
	"yarrowridge/internal/lib/runloop"
	"yarrowridge/internal/testing/sim"
	"yarrowridge/internal/transport/wire"
)

// process is one core: a machine with a disk, and the process that runs on it now.
type process struct {
	fleet     *fleet
	addr      string
	zone      string
	leaseTerm time.Duration // its lease term: members' clocks run at different speeds
	disk      *sim.Disk

	server    *core.Server
	gate      *stepGate // of this run of the process
	ctx       context.Context
	endRun    context.CancelFunc
	crash     func()
	running   bool
	bootstrap bool // it was never started
	retired   bool // the machine is gone for good

	mu               sync.Mutex
	writesUntilCrash int // at which write from now on it dies; 0: at none
	crashAfterWrite  bool
}

// faultyDisk is a disk whose process may die at a write.
type faultyDisk struct {
	store.Disk
	process *process
}

// Write writes, or ends the process before or after it.
func (d faultyDisk) Write(name string, data []byte) error {
	dies, after := d.process.countWrite()
	if dies && !after {
		return d.process.crashDuringWrite()
	}
	err := d.Disk.Write(name, data)
	if dies {
		return d.process.crashDuringWrite()
	}
	return err
}

// countWrite reports whether the process dies at this write, and whether after it.
func (p *process) countWrite() (dies, after bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.writesUntilCrash == 0 {
		return false, false
	}
	p.writesUntilCrash--
	return p.writesUntilCrash == 0, p.crashAfterWrite
}

// die ends the process in the middle of a write: nothing that it still does is seen by anyone.
func (p *process) crashDuringWrite() error {
	p.fleet.stop(p)
	return sim.ErrDead
}

// start runs a process on the machine. A disk in trouble may keep it from starting for a while.
func (p *process) start() {
	network, crash := p.fleet.world.Net(p.addr)
	gate := &stepGate{}
	ctx, cancel := context.WithCancel(p.fleet.ctx)
	settings := core.Settings{Addr: p.addr, Seeds: p.fleet.seeds(), Bootstrap: p.bootstrap, Losses: p.fleet.losses,
		LeaseTerm: p.leaseTerm, LostAfter: lostAfter, Codec: toleranceCodec{}}
	p.bootstrap = false
	daemonContext := daemon.Context{Context: ctx, Name: p.addr, Zone: p.zone, RunID: uint64(time.Now().UnixNano()), Log: p.fleet.log.With("at", p.addr), Net: network}
	disk := gatedDisk{faultyDisk{p.disk.Use(), p}, gate}
	server, err := core.Open(daemonContext, settings, disk)
	if err != nil {
		cancel()
		crash()
		return
	}
	listener, err := network.Listen(p.addr)
	if err != nil {
		cancel()
		crash()
		return
	}
	p.server, p.gate, p.ctx, p.endRun, p.crash, p.running = server, gate, ctx, cancel, crash, true
	go wire.Serve(ctx, listener, p.handler(ctx, server, gate))
	go server.Run()
}

// handler passes calls to the server as the fleet's message faults say: late, twice, or without an answer in time.
func (p *process) handler(runCtx context.Context, server *core.Server, gate *stepGate) wire.Handler {
	monitor := &replicaMonitor{history: p.fleet.history}
	return func(ctx context.Context, kind string, body []byte) (msgp.Marshaler, error) {
		fault := p.fleet.drawMessageFault(kind)
		if fault.requestDelay > 0 {
			runloop.Sleep(runCtx, fault.requestDelay)
			ctx = runCtx // it arrives, whether its caller still waits or not
		}
		if fault.duplicateDelay > 0 {
			go func() {
				if runloop.Sleep(runCtx, fault.duplicateDelay) {
					_, _ = server.Handle(runCtx, kind, body) // nobody waits for the answer to a repeated message
				}
			}()
		}
		p.fleet.observeCall(kind, false)
		gate.pass()
		response, err := server.Handle(ctx, kind, body)
		p.fleet.observeCall(kind, true)
		if kind == "core.copy" || kind == "core.hold" {
			monitor.check(p.addr, server)
		}
		if fault.answerDelay > 0 {
			runloop.Sleep(runCtx, fault.answerDelay)
		}
		return response, err
	}
}

// freeze has the process stand still until it is thawed or killed.
func (p *process) freeze() {
	p.gate.freeze()
	p.fleet.world.Freeze(p.addr)
}

// thaw has the process go on.
func (p *process) thaw() {
	p.fleet.world.Thaw(p.addr)
	p.gate.thaw()
}

// loseDisk gives the machine an empty disk. Its process does not run.
func (p *process) loseDisk() {
	p.disk.Flow() // a write that hangs there ends
	p.disk = sim.NewDisk()
}

// view is the newest view that the process knows.
func (p *process) view() view.View { return p.server.View() }

// id is the identity on the process's disk.
func (p *process) id() string { return p.server.State().ID }
