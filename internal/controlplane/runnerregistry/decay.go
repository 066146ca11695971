package runnerregistry

import (
	"math"
	"time"
)

// decayingSum adds up observations, each of a count and an amount, whose weight decays exponentially. Its owner guards it.
type decayingSum struct {
	halfLife      time.Duration
	count, amount float64 // as of at
	at            time.Time
}

// remainingWeight is what is left of a weight of 1 after a time.
func remainingWeight(age, halfLife time.Duration) float64 {
	return math.Exp2(-float64(age) / float64(halfLife))
}

// decayTo lowers the weights to those of now.
func (s *decayingSum) decayTo(now time.Time) {
	factor := remainingWeight(now.Sub(s.at), s.halfLife)
	s.count, s.amount, s.at = s.count*factor, s.amount*factor, now
}

// add adds an observation made now.
func (s *decayingSum) add(count, amount int, now time.Time) {
	s.decayTo(now)
	s.count += float64(count)
	s.amount += float64(amount)
}

// mean is the amount for each count.
func (s *decayingSum) mean() float64 { return s.amount / s.count }

// decayingSums are sums by the ID of what was observed. The zero value is ready.
type decayingSums map[string]*decayingSum

// add adds an observation of one ID made now. The half-life is that of the ID's first observation.
func (s *decayingSums) add(id string, halfLife time.Duration, count, amount int, now time.Time) {
	if *s == nil {
		*s = decayingSums{}
	}
	sum := (*s)[id]
	if sum == nil {
		sum = &decayingSum{halfLife: halfLife, at: now}
		(*s)[id] = sum
	}
	sum.add(count, amount, now)
}
