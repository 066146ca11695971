package runnerregistry

import (
	"math"
	"time"
)

// decayingSum sums observations, each with a count and an amount, whose weight decays exponentially. It is not safe for
// concurrent use.
type decayingSum struct {
	halfLife      time.Duration
	count, amount float64   // weighted sums, decayed to updatedAt
	updatedAt     time.Time // time of the last decay
}

// remainingWeight returns the weight of an observation of this age; it is 1 at age 0.
func remainingWeight(age, halfLife time.Duration) float64 {
	return math.Exp2(-float64(age) / float64(halfLife))
}

// decayTo decays the sums to the time now.
func (s *decayingSum) decayTo(now time.Time) {
	factor := remainingWeight(now.Sub(s.updatedAt), s.halfLife)
	s.count, s.amount, s.updatedAt = s.count*factor, s.amount*factor, now
}

// add adds an observation made at the time now.
func (s *decayingSum) add(count, amount int, now time.Time) {
	s.decayTo(now)
	s.count += float64(count)
	s.amount += float64(amount)
}

// mean returns the weighted mean amount per count.
func (s *decayingSum) mean() float64 { return s.amount / s.count }

// decayingSums maps IDs to the sums of their observations. The zero value is ready for use.
type decayingSums map[string]*decayingSum

// add adds an observation of one ID made at the time now. halfLife applies to the first observation of an ID only; later
// ones use that of the first.
func (s *decayingSums) add(id string, halfLife time.Duration, count, amount int, now time.Time) {
	if *s == nil {
		*s = decayingSums{}
	}
	sum := (*s)[id]
	if sum == nil {
		sum = &decayingSum{halfLife: halfLife, updatedAt: now}
		(*s)[id] = sum
	}
	sum.add(count, amount, now)
}
