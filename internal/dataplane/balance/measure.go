package balance

import "time"

// How a runner's wait and failures are measured.
const (
	failureHalfLife = 5 * time.Second        // of the weight of a failure
	waitHalfLife    = 400 * time.Millisecond // of the measured wait, without new samples
	sampleWeight    = 0.3                    // of a new sample in a moving average
	outcomeWeight   = 0.2                    // of the newest outcome in the share of failed attempts
)

// average moves a moving average towards a sample. 0 stands for none yet.
func average(old, sample float64) float64 {
	if old == 0 {
		return sample
	}
	return old + sampleWeight*(sample-old)
}

// recordOutcome moves the share of failed attempts towards the newest outcome. The caller holds r.mu.
func (r *Runner) recordOutcome(outcome float64, now time.Time) {
	r.tally.Attempts++
	r.tally.Failures += int(outcome)
	r.failureShare = r.decayedFailureShare(now) + outcomeWeight*(outcome-r.decayedFailureShare(now))
	r.failureShareAt = now
}

// decayedFailureShare is the share of attempts that failed lately here. The caller holds r.mu.
func (r *Runner) decayedFailureShare(now time.Time) float64 {
	return decay(r.failureShare, now.Sub(r.failureShareAt), failureHalfLife)
}

// recordFirstByte learns from the time to the first byte: what the prompt's own prefill does not explain
// is wait. The caller holds r.mu.
func (r *Runner) recordFirstByte(ms float64, prompt int, now time.Time) {
	if prompt >= minRateSampleTokens && ms > 0 {
		r.stats.prefill.sample(float64(prompt) / ms)
	}
	wait := max(0, ms-float64(prompt)/r.prefillRate())
	r.waitMs = average(r.decayedWait(now), wait)
	r.waitAt = now
}

// decayedWait is the measured wait in milliseconds. The caller holds r.mu.
func (r *Runner) decayedWait(now time.Time) float64 {
	return decay(r.waitMs, now.Sub(r.waitAt), waitHalfLife)
}
