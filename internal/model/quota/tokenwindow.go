package quota

import "time"

// Margin is added to the window before a committed unit can be reserved again: it covers the time between the commit here
// and the runner's first sight of the request.
const Margin = 250 * time.Millisecond

// tokenWindow counts the units of one share that are in use: reserved by requests that have not left yet, and committed
// within the window. Committed units are released by time alone. The share's mutex guards it.
type tokenWindow struct {
	length    time.Duration
	margin    time.Duration // on top of length
	reserved  int
	committed []commitment // oldest first
	spent     int          // sum of committed
}

// commitment is units that left at one time.
type commitment struct {
	units int
	at    time.Time
}

// setLength changes the window's length. It gets no shorter while units are committed: they were counted by the longer one.
func (w *tokenWindow) setLength(length time.Duration) {
	w.length = max(w.length, length)
	if w.spent == 0 {
		w.length = length
	}
}

// commit turns reserved units into committed ones.
func (w *tokenWindow) commit(units int, now time.Time) {
	w.reserved -= units
	w.spent += units
	w.committed = append(w.committed, commitment{units, now})
}

// expire releases the units whose window is over.
func (w *tokenWindow) expire(now time.Time) {
	for len(w.committed) > 0 && now.Sub(w.committed[0].at) > w.length+w.margin {
		w.spent -= w.committed[0].units
		w.committed = w.committed[1:]
	}
}

// inUse is how many units are reserved or committed, as of the last expire.
func (w *tokenWindow) inUse() int { return w.reserved + w.spent }

// untilRelease is how long it takes until the oldest commitment is released; false: there is none.
func (w *tokenWindow) untilRelease(now time.Time) (time.Duration, bool) {
	if len(w.committed) == 0 {
		return 0, false
	}
	return w.length + w.margin - now.Sub(w.committed[0].at), true
}
