package quota

import "time"

// Margin is added to the window before a committed unit can be reserved again. It covers the time from the commit at the router
// to the arrival of the request at the runner.
const Margin = 250 * time.Millisecond

// tokenWindow counts the units of one share that are in use: reserved for requests that have not been sent to a runner yet, or
// committed within the window. Committed units are released only by the passage of time. The share's mutex guards it.
type tokenWindow struct {
	length    time.Duration
	margin    time.Duration // added to length before committed units are released
	reserved  int
	committed []commitment // oldest first
	spent     int          // sum of committed
}

// commitment is a number of units that were committed at the same time.
type commitment struct {
	units int
	at    time.Time
}

// setLength changes the window's length. While units are committed, the window is not shortened: they were committed under the
// longer one.
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

// expire releases the committed units whose window and margin are over.
func (w *tokenWindow) expire(now time.Time) {
	for len(w.committed) > 0 && now.Sub(w.committed[0].at) > w.length+w.margin {
		w.spent -= w.committed[0].units
		w.committed = w.committed[1:]
	}
}

// inUse returns how many units are reserved or committed, as of the last call of expire.
func (w *tokenWindow) inUse() int { return w.reserved + w.spent }

// untilRelease returns the time until the oldest commitment is released, or false if there is none.
func (w *tokenWindow) untilRelease(now time.Time) (time.Duration, bool) {
	if len(w.committed) == 0 {
		return 0, false
	}
	return w.length + w.margin - now.Sub(w.committed[0].at), true
}
