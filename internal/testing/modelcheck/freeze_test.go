package modelcheck

import (
	"sync"

	"yarrowridge/internal/controlplane/store"
)

// stepGate lets a process freeze between two externally visible steps: while it is frozen, no call is handled or answered
// and no disk write starts or returns (the simulated network holds back what the process sends). Computation continues
// meanwhile, but no other process sees its effects; timers expire as they would have by the time of the thaw. The zero
// value is not frozen.
type stepGate struct {
	mu     sync.Mutex
	thawed chan struct{} // closed by thaw; nil: not frozen
}

// freeze closes the gate. Freezing a frozen gate has no effect.
func (g *stepGate) freeze() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.thawed == nil {
		g.thawed = make(chan struct{})
	}
}

// thaw opens the gate.
func (g *stepGate) thaw() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.thawed != nil {
		close(g.thawed)
		g.thawed = nil
	}
}

// pass blocks while the gate is frozen.
func (g *stepGate) pass() {
	for {
		g.mu.Lock()
		thawed := g.thawed
		g.mu.Unlock()
		if thawed == nil {
			return
		}
		<-thawed
	}
}

// gatedDisk is the disk of a process that can be frozen.
type gatedDisk struct {
	store.Disk
	gate *stepGate
}

// Write implements store.Disk.
func (d gatedDisk) Write(name string, data []byte) error {
	d.gate.pass()
	err := d.Disk.Write(name, data)
	d.gate.pass()
	return err
}
