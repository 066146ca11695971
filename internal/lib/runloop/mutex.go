package runloop

// Mutex is a lock that may be held during a disk write. Its waiters block on a channel, which testing/synctest counts as
// durably blocked, unlike waiters of a sync.Mutex. Locks that are held only briefly should be a sync.Mutex.
type Mutex chan struct{}

// NewMutex returns an unlocked mutex.
func NewMutex() Mutex { return make(Mutex, 1) }

// Lock locks the mutex. It blocks while the mutex is locked.
func (m Mutex) Lock() { m <- struct{}{} }

// Unlock unlocks the mutex. If the mutex is not locked, it blocks until another goroutine locks it.
func (m Mutex) Unlock() { <-m }
