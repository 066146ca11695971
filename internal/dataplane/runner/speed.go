package runner

import (
	"math"
	"math/bits"
	"slices"
	"time"

	"yarrowridge/internal/dataplane/allow"
)

// speed is a runner's output rate, measured from the responses to this router's requests. It is kept by batch size, which
// is the number of concurrent streams on the runner: in a larger batch a runner generates more tokens in total, but fewer
// per stream.
type speed struct {
	since         time.Time       // until when streamSeconds is counted; zero: not started
	streamSeconds float64         // concurrent streams integrated over time
	byBatchSize   [12]batchBucket // by the power of two of the batch size
	lengths       allow.LengthRatio
}

// batchBucket sums up the responses that were measured at similar batch sizes.
type batchBucket struct{ responses, tokens, seconds, streamSeconds float64 }

// maxBucketResponses is the number of responses at which all sums of a bucket are halved, so that older responses lose
// weight.
const maxBucketResponses = 64

// advance counts the time since the last call with a number of concurrent streams. It is called before that number changes.
func (s *speed) advance(now time.Time, streams int) {
	if !s.since.IsZero() {
		s.streamSeconds += float64(streams) * now.Sub(s.since).Seconds()
	}
	s.since = now
}

// add counts a complete or partial response. streamSeconds is the integral of the runner's concurrent streams over the
// response's duration; their quotient is the mean batch size.
func (s *speed) add(tokens int, duration time.Duration, streamSeconds float64) {
	if tokens <= 0 || duration <= 0 {
		return
	}
	current := &s.byBatchSize[s.bucketOf(int(streamSeconds/duration.Seconds()+0.5))]
	if current.responses >= maxBucketResponses {
		*current = batchBucket{current.responses / 2, current.tokens / 2, current.seconds / 2, current.streamSeconds / 2}
	}
	current.responses++
	current.tokens += float64(tokens)
	current.seconds += duration.Seconds()
	current.streamSeconds += streamSeconds
}

// bucketOf returns the index of the bucket for a batch size.
func (s *speed) bucketOf(batchSize int) int {
	return min(bits.Len(uint(max(1, batchSize))), len(s.byBatchSize)) - 1
}

// rate returns the runner's total output in tokens per second at a batch size, 0 if nothing was measured. It uses the
// bucket of that size, else the next smaller one that was measured, else the next larger one. Below the bucket's mean size,
// the rate is proportional to the size. Above it, the rate is constant within the bucket, and beyond the bucket it grows
// with the square root of the size, because throughput grows less than the batch does.
func (s *speed) rate(batchSize int) float64 {
	target := s.bucketOf(batchSize)
	i := target
	for i >= 0 && s.byBatchSize[i].responses == 0 {
		i--
	}
	if i < 0 {
		i = target + 1 + slices.IndexFunc(s.byBatchSize[target+1:], func(current batchBucket) bool { return current.responses > 0 })
	}
	current := s.byBatchSize[i]
	if current.responses == 0 {
		return 0
	}
	measured, requested := current.streamSeconds/current.seconds, float64(batchSize)
	if i == target || requested < measured {
		return current.tokens / current.seconds * min(requested, measured)
	}
	return current.tokens / current.seconds * measured * math.Sqrt(requested/measured)
}

// rate returns the total output rate at a batch size. It also counts the partial responses of requests in flight.
func (instance *Instance) rate(batchSize int) float64 {
	measured, now := instance.speed, time.Now()
	if measured.since.IsZero() {
		return 0
	}
	measured.advance(now, instance.streams())
	for _, slot := range instance.slots {
		measured.add(slot.receivedTokens, now.Sub(slot.acquiredAt), measured.streamSeconds-slot.streamSecondsAtStart)
	}
	return measured.rate(batchSize)
}
