package quota

import "time"

// ContactTTL is how long a holder without contact with the core may continue to spend units. The core frees the units of an
// unreachable holder only after ContactTTL plus a window.
const ContactTTL = 24 * time.Hour

const (
	exhaustedBackoff = 30 * time.Millisecond // delay between an acquire that got no units and the next one
	scarceTTL        = time.Second           // how long a limit counts as scarce after an acquire that got no units
)

// coreContact records the last contact with the core and the last time the pool was exhausted, and wakes goroutines that wait
// for a response. The share's mutex guards it, except for firstResponse: this channel is set once and may be received from
// without the mutex.
type coreContact struct {
	lastContact   time.Time
	backoffUntil  time.Time // no acquire starts before this time, since the last one got no units; zero: none failed yet
	lastExhausted time.Time // when an acquire last got no units, or the core last listed the tenant as scarce

	firstResponse chan struct{} // closed on the core's first response
	nextResponse  chan struct{} // closed on the core's next response, then replaced
}

func newCoreContact(now time.Time) coreContact {
	return coreContact{lastContact: now, firstResponse: make(chan struct{}), nextResponse: make(chan struct{})}
}

// isLost reports whether the last contact with the core is so long ago that no units may be spent.
func (c *coreContact) isLost(now time.Time) bool { return now.Sub(c.lastContact) > ContactTTL }

// inBackoff reports whether it is too early for another acquire.
func (c *coreContact) inBackoff(now time.Time) bool { return now.Before(c.backoffUntil) }

// exhaustedWithin reports whether the pool was exhausted, or the tenant listed as scarce, within the span before now.
func (c *coreContact) exhaustedWithin(now time.Time, span time.Duration) bool {
	return now.Sub(c.lastExhausted) < span
}

// hasResponded reports whether the core has ever responded to a transfer.
func (c *coreContact) hasResponded() bool {
	select {
	case <-c.firstResponse:
		return true
	default:
		return false
	}
}

// recordResponse records a response of the core, and whether it left an acquire without units. It wakes all goroutines that wait
// for a response.
func (c *coreContact) recordResponse(now time.Time, exhausted bool) {
	if !c.hasResponded() {
		close(c.firstResponse)
	}
	if exhausted {
		c.backoffUntil, c.lastExhausted = now.Add(exhaustedBackoff), now
	}
	c.lastContact = now
	close(c.nextResponse)
	c.nextResponse = make(chan struct{})
}
