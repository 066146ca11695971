package env

// Gate is a lock that may be held while a disk is waited for. Short locks are sync.Mutex; what
// waits here waits on a channel, so that simulated time knows it to be idle.
type Gate chan struct{}

// NewGate makes an open gate.
//
//	g := env.NewGate()
func NewGate() Gate { return make(Gate, 1) }

// Lock waits until the gate is ours.
//
//	g.Lock()
//	defer g.Unlock()
func (g Gate) Lock() { g <- struct{}{} }

// Unlock opens the gate.
//
//	g.Unlock()
func (g Gate) Unlock() { <-g }
