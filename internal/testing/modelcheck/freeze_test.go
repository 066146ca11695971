package modelcheck

import (
	"sync"

	"yarrowridge/internal/controlplane/store"
)

// stepGate lets a process freeze between two steps that others can see: while it is frozen no call is handled or answered and
// no disk operation begins or ends (the simulated network holds back what it sends). What the process only computes meanwhile
// nobody sees; its timers run out as they would have by the time that it goes on. The zero value is not frozen.
type stepGate struct {
	mu     sync.Mutex
	thawed chan struct{} // closed by thaw; nil: not frozen
}

// freeze has the process stand still. A frozen one stays so.
func (g *stepGate) freeze() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.thawed == nil {
		g.thawed = make(chan struct{})
	}
}

// thaw has the process go on.
func (g *stepGate) thaw() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.thawed != nil {
		close(g.thawed)
		g.thawed = nil
	}
}

// pass waits while the process is frozen.
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

// gatedDisk is the disk of a process that may be frozen.
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
