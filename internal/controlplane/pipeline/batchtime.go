package pipeline

import "time"

const (
	// batchTimeWeight is that of the newest batch in the moving average.
	batchTimeWeight = 0.2
	// maxBatchTime is what one batch counts for at most: one that waits for other backups takes seconds, and says nothing of
	// the next ones.
	maxBatchTime = 250 * time.Millisecond
)

// batchTime estimates how long a batch takes, from the batches so far. The zero value has seen none and estimates 0.
type batchTime struct {
	average time.Duration
}

// record notes how long a batch took.
func (b *batchTime) record(took time.Duration) {
	took = min(took, maxBatchTime)
	if b.average == 0 {
		b.average = took
	}
	b.average += time.Duration(batchTimeWeight * float64(took-b.average))
}

// of estimates how long some batches take.
func (b *batchTime) of(batches int) time.Duration { return time.Duration(batches) * b.average }
