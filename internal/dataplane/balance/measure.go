package balance

import "time"

// Half-lives and weights of the moving averages of wait and failure rate.
const (
	failureHalfLife = 5 * time.Second        // of the failure rate
	waitHalfLife    = 400 * time.Millisecond // of the measured wait
	sampleWeight    = 0.3                    // of a new sample in a moving average
	outcomeWeight   = 0.2                    // of the latest outcome in the failure rate
)

// average updates an exponential moving average with a sample. An old value of 0 means that there is no sample yet.
func average(old, sample float64) float64 {
	if old == 0 {
		return sample
	}
	return old + sampleWeight*(sample-old)
}

// recordOutcome updates the failure rate with the outcome of an attempt: 1 for a failure, 0 for a success. The caller
// holds r.mu.
func (r *Runner) recordOutcome(outcome float64, now time.Time) {
	r.tally.Attempts++
	r.tally.Failures += int(outcome)
	r.failureRate = r.decayedFailureRate(now) + outcomeWeight*(outcome-r.decayedFailureRate(now))
	r.failureRateAt = now
}

// decayedFailureRate is the failure rate that this router measured, decayed by its age. The caller holds r.mu.
func (r *Runner) decayedFailureRate(now time.Time) float64 {
	return decay(r.failureRate, now.Sub(r.failureRateAt), failureHalfLife)
}

// recordFirstByte updates the prefill rate and the wait from the time to the first byte. Time beyond the prefill of the
// request's own prompt counts as wait. The caller holds r.mu.
func (r *Runner) recordFirstByte(ms float64, prefillTokens int, now time.Time) {
	if prefillTokens >= minRateSampleTokens && ms > 0 {
		r.stats.prefill.sample(float64(prefillTokens) / ms)
	}
	wait := max(0, ms-float64(prefillTokens)/r.prefillRate())
	r.waitMs = average(r.decayedWait(now), wait)
	r.waitAt = now
}

// decayedWait is the measured wait in milliseconds, decayed by its age. The caller holds r.mu.
func (r *Runner) decayedWait(now time.Time) float64 {
	return decay(r.waitMs, now.Sub(r.waitAt), waitHalfLife)
}
