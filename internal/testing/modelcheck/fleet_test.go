package modelcheck

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"os"
	"sync"
	"testing"
	"time"

	"yarrowridge/internal/controlplane/view"
	"yarrowridge/internal/lib/logging"
	"yarrowridge/internal/testing/sim"
)

// Timing of the checked fleets.
const (
	leaseTerm           = 600 * time.Millisecond
	lostAfter           = 2 * time.Second
	maxDrift            = 0.09                   // the fraction by which the fastest clock runs faster than the slowest
	recoveryTimeout     = 12 * time.Second       // for service to resume after all faults have ended
	fullRecoveryTimeout = 20 * time.Second       // for all cores to be members again after that
	restartPause        = 300 * time.Millisecond // between two attempts to start a process
)

// fleet is a simulated network of cores with its operators and routers.
type fleet struct {
	t        *testing.T
	world    *sim.World
	losses   int
	log      *slog.Logger
	ctx      context.Context
	cancel   context.CancelFunc
	history  *history
	coverage *coverage
	spends   spendLedger

	mu            sync.Mutex
	random        *rand.Rand
	quotaHolders  []*quotaHolder
	processes     []*process // of the current machines
	machines      []*process // all machines, including replaced ones
	losingDisks   bool       // a fault is losing disks now
	disksLost     bool       // a fault has lost disks before
	messageFaults messageFaults
	triggers      []*callTrigger // of events that wait for a call
}

// messageFaults says which percentage of messages is affected by each fault, and for how long at most.
type messageFaults struct {
	onlyCall string // the kind of call that is affected; "": all

	delayedPercent, duplicatedPercent, delayedAnswersPercent int
	maxDelay                                                 time.Duration
}

// messageFault is the faults of one message; a zero duration means that there is none.
type messageFault struct {
	requestDelay, duplicateDelay, answerDelay time.Duration
}

// newFleet makes a fleet of cores; no process runs yet.
func newFleet(t *testing.T, seed uint64, cores, losses int, verbose bool) *fleet {
	covered := newCoverage()
	log := slog.New(coverageHandler{coverage: covered})
	if verbose {
		log = logging.New(os.Stderr, slog.LevelDebug)
	}
	f := &fleet{t: t, world: sim.NewWorld(seed), losses: losses, log: log, coverage: covered,
		random: rand.New(rand.NewPCG(seed, 3)), history: &history{}}
	f.ctx, f.cancel = context.WithCancel(t.Context())
	for range cores {
		f.processes = append(f.processes, f.newMachine(true))
	}
	return f
}

// newMachine makes a machine with an empty disk.
func (f *fleet) newMachine(bootstrap bool) *process {
	number := len(f.machines) + 1
	drift := 1 - maxDrift*float64(f.randomBelow(100))/100
	p := &process{fleet: f, addr: fmt.Sprintf("10.0.0.%d:1", number), zone: fmt.Sprint("zone-", number%3), disk: sim.NewDisk(),
		leaseTerm: time.Duration(float64(leaseTerm) * drift), bootstrap: bootstrap}
	f.machines = append(f.machines, p)
	return p
}

// seeds returns the addresses of up to three machines, as an operator would configure them.
func (f *fleet) seeds() []string {
	var seeds []string
	for _, p := range f.processes[:min(3, len(f.processes))] {
		seeds = append(seeds, p.addr)
	}
	return seeds
}

// randomBelow draws a number in [0, n).
func (f *fleet) randomBelow(n int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.random.IntN(n)
}

// drawMessageFault draws the faults of one call of a kind.
func (f *fleet) drawMessageFault(kind string) (fault messageFault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.messageFaults.onlyCall != "" && f.messageFaults.onlyCall != kind {
		return messageFault{}
	}
	draw := func(percent int) time.Duration {
		if f.messageFaults.maxDelay == 0 || f.random.IntN(100) >= percent {
			return 0
		}
		return time.Duration(f.random.Int64N(int64(f.messageFaults.maxDelay))) + 1
	}
	return messageFault{requestDelay: draw(f.messageFaults.delayedPercent), duplicateDelay: draw(f.messageFaults.duplicatedPercent),
		answerDelay: draw(f.messageFaults.delayedAnswersPercent)}
}

// setMessageFaults sets the message faults.
func (f *fleet) setMessageFaults(faults messageFaults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.messageFaults = faults
}

// stop kills a process.
func (f *fleet) stop(p *process) {
	if !p.running {
		return
	}
	p.running = false
	p.endRun()
	p.crash()
	p.disk.Open() // discards whatever the killed run still does to its disk
	p.thaw()      // lets its goroutines end
}

// start starts a process unless it runs already or its machine was retired. The start may fail.
func (f *fleet) start(p *process) {
	if !p.running && !p.retired {
		p.start()
	}
	if p.retired {
		f.stop(p) // the machine was retired while the process started
	}
}

// newestView returns the view of the highest epoch that any running process knows.
func (f *fleet) newestView() (newest view.View) {
	for _, p := range f.processes {
		if p.running {
			if v := p.view(); v.Epoch > newest.Epoch {
				newest = v
			}
		}
	}
	return newest
}

// processByID returns the running process with an identity, or nil.
func (f *fleet) processByID(id string) *process {
	for _, p := range f.processes {
		if p.running && p.id() == id {
			return p
		}
	}
	return nil
}

// isServing reports whether any running process is a primary that is ready for writes.
func (f *fleet) isServing() bool {
	for _, p := range f.processes {
		if p.running && p.server.State().Ready {
			return true
		}
	}
	return false
}

// isHealthy reports whether a primary is ready for writes, all machines are members, all backups are in place, and the
// tolerated losses would leave a majority. A replacement may leave one member more than there are machines if that does
// not raise the majority.
func (f *fleet) isHealthy() bool {
	v := f.newestView()
	machines := len(f.processes)
	extra := len(v.Members) - machines
	if !f.isServing() || len(v.Backups()) != f.losses || extra != 0 && (extra != 1 || machines%2 == 1) {
		return false
	}
	if left := machines - f.losses; left <= len(v.Members)/2 {
		return false
	}
	for _, p := range f.processes {
		if !p.running || v.Addr(p.id()) != p.addr {
			return false
		}
	}
	return true
}

// waitFor polls until the condition holds, and reports whether it did within the timeout.
func (f *fleet) waitFor(timeout time.Duration, condition func() bool) bool {
	for begun := time.Now(); !condition(); {
		if time.Since(begun) > timeout {
			return false
		}
		time.Sleep(20 * time.Millisecond)
	}
	return true
}

// endAllFaults ends every fault and starts every process.
func (f *fleet) endAllFaults() {
	f.setMessageFaults(messageFaults{})
	f.world.Heal()
	for _, p := range f.processes {
		f.repair(p)
	}
}

// repair ends all faults of a machine and retries until its process runs.
func (f *fleet) repair(p *process) {
	p.mu.Lock()
	p.writesUntilCrash = 0
	p.mu.Unlock()
	p.disk.ResumeWrites()
	p.disk.SetFull(false)
	p.disk.SetWriteDelay(0)
	for f.start(p); !p.running && !p.retired && f.ctx.Err() == nil; f.start(p) {
		time.Sleep(restartPause)
	}
}

// shutdown stops all processes of the fleet.
func (f *fleet) shutdown() {
	f.cancel()
	for _, p := range f.machines {
		p.disk.ResumeWrites()
		f.stop(p)
	}
	time.Sleep(30 * time.Second) // simulated time, in which every goroutine sees the end
}
