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

// process is one core: a machine with a disk, and its current process.
type process struct {
	fleet     *fleet
	addr      string
	zone      string
	leaseTerm time.Duration // differs between processes, as if their clocks ran at different speeds
	disk      *sim.Disk

	server    *core.Server
	gate      *stepGate // of the current run
	ctx       context.Context
	endRun    context.CancelFunc
	crash     func()
	running   bool
	bootstrap bool // may found the fleet at its first start
	retired   bool // the machine was removed for good

	mu               sync.Mutex
	writesUntilCrash int // the process crashes at this write, counted from now; 0: never
	crashAfterWrite  bool
}

// faultyDisk is a disk whose process may crash at a write.
type faultyDisk struct {
	store.Disk
	process *process
}

// Write writes the data, and may crash the process before or after that.
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

// countWrite reports whether the process crashes at this write, and if so, whether after it instead of before.
func (p *process) countWrite() (dies, after bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.writesUntilCrash == 0 {
		return false, false
	}
	p.writesUntilCrash--
	return p.writesUntilCrash == 0, p.crashAfterWrite
}

// crashDuringWrite ends the process at a write: nothing that it does after that is visible outside.
func (p *process) crashDuringWrite() error {
	p.fleet.stop(p)
	return sim.ErrCrashed
}

// start starts a process on the machine. A disk fault may make the start fail.
func (p *process) start() {
	network, crash := p.fleet.world.Net(p.addr)
	gate := &stepGate{}
	ctx, cancel := context.WithCancel(p.fleet.ctx)
	settings := core.Settings{Addr: p.addr, Seeds: p.fleet.seeds(), Bootstrap: p.bootstrap, Losses: p.fleet.losses,
		LeaseTerm: p.leaseTerm, LostAfter: lostAfter, Codec: toleranceCodec{}}
	p.bootstrap = false
	daemonContext := daemon.Context{Context: ctx, Name: p.addr, Zone: p.zone, RunID: uint64(time.Now().UnixNano()), Log: p.fleet.log.With("at", p.addr), Net: network}
	disk := gatedDisk{faultyDisk{p.disk.Open(), p}, gate}
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

// handler passes calls to the server with the fleet's message faults: late, twice, or with a late answer.
func (p *process) handler(runCtx context.Context, server *core.Server, gate *stepGate) wire.Handler {
	monitor := &replicaMonitor{history: p.fleet.history}
	return func(ctx context.Context, kind string, body []byte) (msgp.Marshaler, error) {
		fault := p.fleet.drawMessageFault(kind)
		if fault.requestDelay > 0 {
			runloop.Sleep(runCtx, fault.requestDelay)
			ctx = runCtx // the call arrives even if its caller has stopped waiting
		}
		if fault.duplicateDelay > 0 {
			go func() {
				if runloop.Sleep(runCtx, fault.duplicateDelay) {
					_, _ = server.Handle(runCtx, kind, body) // the answer to a duplicate has no receiver
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

// freeze suspends the process until it is thawed or killed.
func (p *process) freeze() {
	p.gate.freeze()
	p.fleet.world.Freeze(p.addr)
}

// thaw resumes the process.
func (p *process) thaw() {
	p.fleet.world.Thaw(p.addr)
	p.gate.thaw()
}

// loseDisk gives the machine an empty disk. The process must not be running.
func (p *process) loseDisk() {
	p.disk.ResumeWrites() // ends a write that is stalled on the old disk
	p.disk = sim.NewDisk()
}

// view returns the newest view that the process knows.
func (p *process) view() view.View { return p.server.View() }

// id returns the identity on the process's disk.
func (p *process) id() string { return p.server.State().ID }
