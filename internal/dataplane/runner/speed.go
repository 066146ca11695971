package runner

import (
	"math"
	"math/bits"
	"slices"
	"time"

	"yarrowridge/internal/dataplane/allow"
)

// speed is a runner's measured speed, taken from our responses: tokens over the seconds they took, apart
// for each fill of its batch, since a runner in a full batch makes more in all and less for each.
type speed struct {
	since       time.Time
	fillSeconds float64        // fill times seconds
	byFill      [12]fillBucket // by the fill's power of two
	lengths     allow.LengthRatio
}

type fillBucket struct{ runs, tokens, seconds, fills float64 }

// maxBucketRuns is how many responses a bucket counts before the weight of older ones is halved.
const maxBucketRuns = 64

func (s *speed) advance(now time.Time, fill int) {
	if !s.since.IsZero() {
		s.fillSeconds += float64(fill) * now.Sub(s.since).Seconds()
	}
	s.since = now
}

// add counts a response, or what there is of one, that took so long while area was what its runner's fill
// added up to.
func (s *speed) add(tokens int, took time.Duration, area float64) {
	if tokens <= 0 || took <= 0 {
		return
	}
	current := &s.byFill[s.bucketOf(int(area/took.Seconds()+0.5))]
	if current.runs >= maxBucketRuns {
		*current = fillBucket{current.runs / 2, current.tokens / 2, current.seconds / 2, current.fills / 2}
	}
	current.runs++
	current.tokens += float64(tokens)
	current.seconds += took.Seconds()
	current.fills += area
}

// bucketOf finds the bucket of a fill.
func (s *speed) bucketOf(fill int) int { return min(bits.Len(uint(max(1, fill))), len(s.byFill)) - 1 }

// rate is the runner's whole output a second with so many streams on it: by the fullest batch that was
// measured up to that, else by the next above. A batch fuller than any measured makes more, but not as many
// times more as it is fuller: until it is measured, the root of that. 0 where nothing was measured.
func (s *speed) rate(fill int) float64 {
	wanted := s.bucketOf(fill)
	i := wanted
	for i >= 0 && s.byFill[i].runs == 0 {
		i--
	}
	if i < 0 {
		i = wanted + 1 + slices.IndexFunc(s.byFill[wanted+1:], func(current fillBucket) bool { return current.runs > 0 })
	}
	current := s.byFill[i]
	if current.runs == 0 {
		return 0
	}
	had, want := current.fills/current.seconds, float64(fill)
	if i == wanted || want < had {
		return current.tokens / current.seconds * min(want, had)
	}
	return current.tokens / current.seconds * had * math.Sqrt(want/had)
}

// rate is the speed at a fill, what has come of the responses under way included.
func (instance *Instance) rate(fill int) float64 {
	measured, now := instance.speed, time.Now()
	if measured.since.IsZero() {
		return 0
	}
	measured.advance(now, instance.streams())
	for _, slot := range instance.slots {
		measured.add(slot.receivedTokens, now.Sub(slot.takenAt), measured.fillSeconds-slot.fillSecondsAtStart)
	}
	return measured.rate(fill)
}
