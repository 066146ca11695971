package quota

import "time"

// ContactTTL is how long a holder that hears nothing of the core may go on spending. The core takes back a silent holder's
// units only after this and a window more.
const ContactTTL = 24 * time.Hour

const (
	exhaustedBackoff = 30 * time.Millisecond // the core is not asked again for so long once it had too few units
	scarceTTL        = time.Second           // a limit counts as scarce for so long once the core had too few units
)

// coreContact is what a share knows of the core: when it was last heard of, when it last had too few units, and who waits for
// its next answer. The share's mutex guards it, except for firstAnswer, which is set once and may be received from freely.
type coreContact struct {
	lastContact    time.Time
	exhaustedUntil time.Time // until then the core is not asked for units: it had too few; zero: it never had
	lastExhausted  time.Time // when the core, or a list of scarce tenants, last said that units are too few

	firstAnswer chan struct{} // closed by the core's first answer
	nextAnswer  chan struct{} // closed by the core's next answer, and replaced
}

func newCoreContact(now time.Time) coreContact {
	return coreContact{lastContact: now, firstAnswer: make(chan struct{}), nextAnswer: make(chan struct{})}
}

// isLost reports whether the core was silent for so long that nothing may be spent.
func (c *coreContact) isLost(now time.Time) bool { return now.Sub(c.lastContact) > ContactTTL }

// backsOff reports whether it is too early to ask the core for units again.
func (c *coreContact) backsOff(now time.Time) bool { return now.Before(c.exhaustedUntil) }

// wasExhausted reports whether units were too few at most so long ago.
func (c *coreContact) wasExhausted(now time.Time, ago time.Duration) bool {
	return now.Sub(c.lastExhausted) < ago
}

// hasAnswered reports whether the core has ever answered.
func (c *coreContact) hasAnswered() bool {
	select {
	case <-c.firstAnswer:
		return true
	default:
		return false
	}
}

// recordAnswer notes an answer of the core, and whether it had too few units, and wakes who waits for one.
func (c *coreContact) recordAnswer(now time.Time, exhausted bool) {
	if !c.hasAnswered() {
		close(c.firstAnswer)
	}
	if exhausted {
		c.exhaustedUntil, c.lastExhausted = now.Add(exhaustedBackoff), now
	}
	c.lastContact = now
	close(c.nextAnswer)
	c.nextAnswer = make(chan struct{})
}
