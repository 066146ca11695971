package runner

import (
	"math"
	"testing"
	"testing/synctest"
	"time"
)

// newMeasuredRunner returns a runner that has completed n concurrent requests of up to 100 output tokens. Each took one
// second; the i-th generated tokens(i) tokens.
func newMeasuredRunner(capacity, n int, tokens func(i int) int) *Instance {
	instance := &Instance{report: Report{State: "ready", Capacity: capacity, MaxTokens: 4096}, heartbeatAt: time.Now(), reportedAt: time.Now()}
	var slots []*Slot
	for range n {
		slots = append(slots, instance.Acquire(100, 0))
	}
	time.Sleep(time.Second)
	for i, slot := range slots {
		slot.AddTokens(tokens(i))
		slot.Release(true)
	}
	return instance
}

// At a capacity of 1, all queued output is ahead of a new request. In a batch nothing is ahead while a slot is free, since
// the batch runs concurrently with the new request; without a free slot it is 2/(capacity+1) of the queued output. The
// batched runners here generate half of the requested output, so queued output counts half.
func TestEstimateOfSingleAndBatchedRunners(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		instance := newMeasuredRunner(1, 1, func(int) int { return 100 })
		instance.Acquire(400, 0)
		if ahead, rate := instance.Estimate(true); ahead != 400 || math.Abs(rate-100) > 1 {
			t.Errorf("capacity 1: got %g tokens ahead at %g per second, want 400 at 100", ahead, rate)
		}
		instance = newMeasuredRunner(4, 4, func(int) int { return 50 })
		for range 3 {
			instance.Acquire(400, 0)
		}
		if ahead, _ := instance.Estimate(false); ahead != 0 {
			t.Errorf("capacity 4, one slot free: got %g tokens ahead, want 0", ahead)
		}
		instance.Acquire(400, 0)
		if ahead, rate := instance.Estimate(true); ahead != 1600*2/5./2 || math.Abs(rate-200) > 1 {
			t.Errorf("capacity 4, no slot free: got %g tokens ahead at %g per second, want %g at 200", ahead, rate, 1600*2/5./2)
		}
	})
}

// The rate at a batch size is the measured one if there is one. For smaller batches it is proportionally lower, and for
// larger ones than measured it grows, but less than the size. Requests in flight are measured too.
func TestRateByBatchSize(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		instance := newMeasuredRunner(64, 4, func(int) int { return 50 })
		for batchSize, want := range map[int]float64{1: 50, 2: 100, 4: 200, 16: 400, 64: 800} {
			if got := instance.rate(batchSize); math.Abs(got-want) > 1 {
				t.Errorf("batch size %d: got %g tokens per second, want %g", batchSize, got, want)
			}
		}
		var slots []*Slot
		for range 16 {
			slots = append(slots, instance.Acquire(1000, 0))
		}
		time.Sleep(2 * time.Second)
		for _, slot := range slots {
			slot.AddTokens(40) // measured while in flight
		}
		if got := instance.rate(16); math.Abs(got-320) > 1 {
			t.Errorf("16 requests in flight: got %g tokens per second, want 320", got)
		}
	})
}
