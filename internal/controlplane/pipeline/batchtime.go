package pipeline

import "time"

const (
	// batchTimeWeight is the weight of the newest batch in the moving average.
	batchTimeWeight = 0.2
	// maxBatchTime caps the time recorded for one batch: a batch that waits until backups are replaced takes seconds, which
	// does not predict the time of later batches.
	maxBatchTime = 250 * time.Millisecond
)

// batchTime estimates how long a batch takes by an exponential moving average. The zero value has no data and estimates 0.
type batchTime struct {
	average time.Duration
}

// record adds the time of one batch to the average.
func (b *batchTime) record(took time.Duration) {
	took = min(took, maxBatchTime)
	if b.average == 0 {
		b.average = took
	}
	b.average += time.Duration(batchTimeWeight * float64(took-b.average))
}

// estimate returns how long a number of batches are expected to take.
func (b *batchTime) estimate(batches int) time.Duration { return time.Duration(batches) * b.average }
