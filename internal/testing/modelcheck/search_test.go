package modelcheck

import (
	"flag"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"yarrowridge/internal/lib/faultinjection"
)

var searchFor = flag.Duration("search", 0, "how long TestGuidedSearch looks for a fault; 0: it is left out")

// TestGuidedSearch looks for a schedule that fails, among those of the kinds of fault that -kinds names. It makes schedules of
// those that showed something new, so that two searches differ.
func TestGuidedSearch(t *testing.T) {
	if *searchFor == 0 {
		t.Skip("no -search DURATION")
	}
	if faultinjection.Disabled("") {
		t.Skip("built with a mechanism disabled")
	}
	failed, broken, played := find(t, newCorpus(*first, kindsOf(*kinds), size{}), time.Now().Add(*searchFor))
	t.Logf("%d schedules", played)
	if broken != "" {
		t.Errorf("%s; schedule: %s", broken, failed)
		t.Logf("shortest schedule that fails: %s", shrink(t, failed))
	}
}

// searchers is how many schedules are played side by side.
const searchers = 8

// find plays schedules until one fails, or the time is up.
func find(t *testing.T, schedules *corpus, deadline time.Time) (failed Schedule, broken string, played uint64) {
	var next atomic.Uint64
	var mu sync.Mutex
	var all sync.WaitGroup
	found := func() bool {
		mu.Lock()
		defer mu.Unlock()
		return broken != ""
	}
	for range searchers {
		all.Go(func() {
			for time.Now().Before(deadline) && !found() {
				s := schedules.next(*first + next.Add(1))
				v := play(t, s)
				schedules.keep(s, v.shown)
				if len(v.violations) > 0 {
					mu.Lock()
					failed, broken = s, v.violations[0]
					mu.Unlock()
				}
			}
		})
	}
	all.Wait()
	t.Logf("%d of %d schedules showed something new", len(schedules.schedules), next.Load())
	return failed, broken, next.Load()
}
