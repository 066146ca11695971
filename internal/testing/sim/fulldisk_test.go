package sim_test

import (
	"fmt"
	"testing"
	"time"
)

// The primary's disk refuses every write, and takes writes again later. Of two cores each has to hold every write: none
// is acknowledged meanwhile, and writes are taken afterwards only if the core reads its disk anew and takes part again.
func TestFullDiskTakesPartAgain(t *testing.T) {
	t.Parallel()
	overSeeds(t, func(t *testing.T, seed uint64) {
		f := newJoinedFleet(t, seed, 2, 1) // each of the two holds every write
		o, b := f.operator(), &history{}
		f.mustWrite(o, b)
		full := f.primary()
		full.disk.Full(true)
		refused := o.put(2, 0, "refused")
		b.add(refused)
		if refused.code == 200 {
			t.Error("a write was acknowledged with one disk of two")
		}
		time.Sleep(3 * time.Second)
		full.disk.Full(false)
		f.within(5*time.Second, "a primary with a sound disk", func() bool { return f.hasAllMembers(1) })
		var last writeRecord
		for mark := 3; last.code != 200 && mark < 60; mark++ {
			last = o.put(mark, 0, fmt.Sprint("after-", mark))
			b.add(last)
			time.Sleep(100 * time.Millisecond)
		}
		if last.code != 200 {
			t.Fatalf("no write is taken once the disk takes writes: %d", last.code)
		}
		f.check(b)
	})
}
