package runloop

// Mutex is a lock that may be held over a disk write. Who waits for it waits on a channel, so that testing/synctest counts
// the waiting goroutine as durably blocked; it does not for a sync.Mutex. Locks held briefly are sync.Mutex.
type Mutex chan struct{}

// NewMutex makes an unlocked mutex.
func NewMutex() Mutex { return make(Mutex, 1) }

// Lock waits until the mutex is unlocked, and locks it.
func (m Mutex) Lock() { m <- struct{}{} }

// Unlock unlocks the mutex. It blocks for ever if the mutex is not locked and nobody locks it.
func (m Mutex) Unlock() { <-m }
