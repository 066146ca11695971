package runner

import (
	"math"
	"math/bits"
	"slices"
	"time"

	"yarrowridge/internal/dataplane/allow"
)

// Slot is one request's place on a runner.
type Slot struct {
	*Instance
	takenAt  time.Time
	area     float64 // of the runner's fill over time, when the place was taken
	promised int     // output promised
	received int
	due      time.Time // by when it should have sent something
}

// Acquire takes a place on the runner for one request, if it may have one now; nil if not. silentFor is how long
// its response takes before anything of it is sent: zero for one that comes piece by piece.
func (instance *Instance) Acquire(tokens int, silentFor time.Duration) *Slot {
	instance.mu.Lock()
	defer instance.mu.Unlock()
	now := time.Now()
	if instance.health(now) != "" || !instance.hasRoom() {
		return nil
	}
	if instance.failures > 0 {
		instance.onTrial = true
	}
	if len(instance.slots) == 0 {
		instance.progressAt = now
	}
	instance.speed.advance(now, instance.streams())
	slot := &Slot{Instance: instance, takenAt: now, area: instance.speed.area, promised: tokens, due: now.Add(StuckAfter + silentFor)}
	instance.slots = append(instance.slots, slot)
	return slot
}

// AddTokens notes output that has come.
func (slot *Slot) AddTokens(n int) {
	slot.mu.Lock()
	defer slot.mu.Unlock()
	slot.received += n
	slot.progressAt = time.Now()
}

// Release ends a request's place; ok says whether the runner answered in full. received is the output there was.
func (slot *Slot) Release(ok bool) (received int) {
	slot.mu.Lock()
	defer slot.mu.Unlock()
	now := time.Now()
	slot.speed.advance(now, slot.streams())
	slot.slots = slices.DeleteFunc(slot.slots, func(o *Slot) bool { return o == slot })
	slot.onTrial = false
	if ok {
		slot.failures = 0
		slot.progressAt = now
		slot.speed.add(slot.received, now.Sub(slot.takenAt), slot.speed.area-slot.area)
		if slot.received > 0 {
			slot.speed.lengths.Add(slot.promised, slot.received)
		}
	}
	return slot.received
}

// streams is how many streams are on the runner by all accounts.
func (instance *Instance) streams() int { return len(instance.slots) + instance.remoteLoad.Streams }

// capacity is how many streams run at once when all places are taken.
func (instance *Instance) capacity() int {
	if instance.report.Room <= 0 {
		return 1 << len(instance.speed.buckets)
	}
	return instance.report.Room
}

// ownQueuedTokens is the output that our requests on the runner still have to come.
func (instance *Instance) ownQueuedTokens() (n int) {
	for _, slot := range instance.slots {
		n += max(0, slot.promised-slot.received)
	}
	return n
}

// speed is a runner's measured speed, taken from our responses: tokens over the seconds they took, apart
// for each fill of its batch, since a runner in a full batch makes more in all and less for each.
type speed struct {
	since   time.Time
	area    float64    // fill times seconds
	buckets [12]bucket // by the fill's power of two
	lengths allow.LengthRatio
}

type bucket struct{ runs, tokens, seconds, fills float64 }

// bucketRuns is how many answers a cell counts before older ones fade.
const bucketRuns = 64

func (s *speed) advance(now time.Time, fill int) {
	if !s.since.IsZero() {
		s.area += float64(fill) * now.Sub(s.since).Seconds()
	}
	s.since = now
}

// add counts a response, or what there is of one, that took so long while area was what its runner's fill
// added up to.
func (s *speed) add(tokens int, took time.Duration, area float64) {
	if tokens <= 0 || took <= 0 {
		return
	}
	current := &s.buckets[s.bucketOf(int(area/took.Seconds()+0.5))]
	if current.runs >= bucketRuns {
		*current = bucket{current.runs / 2, current.tokens / 2, current.seconds / 2, current.fills / 2}
	}
	current.runs++
	current.tokens += float64(tokens)
	current.seconds += took.Seconds()
	current.fills += area
}

// bucketOf finds the cell of a fill.
func (s *speed) bucketOf(fill int) int { return min(bits.Len(uint(max(1, fill))), len(s.buckets)) - 1 }

// rate is the runner's whole output a second with so many streams on it: by the fullest batch that was
// measured up to that, else by the next above. A batch fuller than any measured makes more, but not as many
// times more as it is fuller: until it is measured, the root of that. 0 where nothing was measured.
func (s *speed) rate(fill int) float64 {
	wanted := s.bucketOf(fill)
	i := wanted
	for ; i >= 0 && s.buckets[i].runs == 0; i-- {
	}
	if i < 0 {
		i = wanted + 1 + slices.IndexFunc(s.buckets[wanted+1:], func(current bucket) bool { return current.runs > 0 })
	}
	current := s.buckets[i]
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
		measured.add(slot.received, now.Sub(slot.takenAt), measured.area-slot.area)
	}
	return measured.rate(fill)
}
