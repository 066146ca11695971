package sim_test

import (
	"fmt"
	"testing"
	"time"
)

// The primary's disk is full for a while. With two cores, both have to store every write: no write is acknowledged while the
// disk is full, and writes succeed afterwards only if the core reads its disk again and rejoins.
func TestCoreRejoinsAfterFullDisk(t *testing.T) {
	t.Parallel()
	overSeeds(t, func(t *testing.T, seed uint64) {
		f := newJoinedFleet(t, seed, 2, 1) // both cores store every write
		o, h := f.operator(), &history{}
		f.mustWrite(o, h)
		full := f.primary()
		full.disk.SetFull(true)
		refused := o.put(2, 0, "refused")
		h.add(refused)
		if refused.code == 200 {
			t.Error("a write was acknowledged although only one of two disks stored it")
		}
		time.Sleep(3 * time.Second)
		full.disk.SetFull(false)
		f.within(5*time.Second, "primary with a working disk", func() bool { return f.hasAllMembers(1) })
		var last writeRecord
		for number := 3; last.code != 200 && number < 60; number++ {
			last = o.put(number, 0, fmt.Sprint("after-", number))
			h.add(last)
			time.Sleep(100 * time.Millisecond)
		}
		if last.code != 200 {
			t.Fatalf("no write succeeded after the disk became writable again: status %d", last.code)
		}
		f.check(h)
	})
}
