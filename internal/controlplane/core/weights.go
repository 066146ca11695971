package core

import (
	"math"
	"time"
)

// weightedSum adds up observations, each of a count and an amount, whose weight halves in a span of time.
type weightedSum struct {
	half          time.Duration
	count, amount float64 // as of a moment
	at            time.Time
}

// decay is what is left of a weight after some time, where it halves in each span of another.
func decay(age, half time.Duration) float64 { return math.Exp2(-float64(age) / float64(half)) }

// fade lowers the weights to a moment's.
func (w *weightedSum) fade(now time.Time) {
	factor := decay(now.Sub(w.at), w.half)
	w.count, w.amount, w.at = w.count*factor, w.amount*factor, now
}

// add adds an observation of a moment.
func (w *weightedSum) add(count, amount int, now time.Time) {
	w.fade(now)
	w.count += float64(count)
	w.amount += float64(amount)
}

// mean is the amount for each count.
func (w *weightedSum) mean() float64 { return w.amount / w.count }

// weightedSums are sums by the ID of what was observed.
type weightedSums map[string]*weightedSum

// add adds an observation of one ID, whose weight halves in a span of time.
func (w *weightedSums) add(id string, half time.Duration, count, amount int, now time.Time) {
	if *w == nil {
		*w = weightedSums{}
	}
	known := (*w)[id]
	if known == nil {
		known = &weightedSum{half: half, at: now}
		(*w)[id] = known
	}
	known.add(count, amount, now)
}
