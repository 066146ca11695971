package modelcheck

import (
	"flag"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"yarrowridge/internal/lib/faultinjection"
)

var searchDuration = flag.Duration("search", 0, "how long TestGuidedSearch looks for a fault; 0: it is left out")

// TestGuidedSearch searches for a schedule that fails, among those of the kinds of fault given by -kinds. It derives
// schedules from earlier ones that showed new behavior, so two searches with the same seed differ.
func TestGuidedSearch(t *testing.T) {
	if *searchDuration == 0 {
		t.Skip("no -search DURATION")
	}
	if faultinjection.Disabled("") {
		t.Skip("built with a mechanism disabled")
	}
	failed, violation, played := searchForViolation(t, newCorpus(*firstSeed, splitKinds(*kindList), fleetSize{}), time.Now().Add(*searchDuration))
	t.Logf("%d schedules", played)
	if violation != "" {
		t.Errorf("%s; schedule: %s", violation, failed)
		t.Logf("shortest schedule that fails: %s", shrink(t, failed))
	}
}

// searchWorkers is the number of schedules that run concurrently.
const searchWorkers = 8

// searchForViolation runs schedules until one fails or the deadline passes.
func searchForViolation(t *testing.T, schedules *corpus, deadline time.Time) (failed Schedule, violation string, played uint64) {
	var next atomic.Uint64
	var mu sync.Mutex
	var all sync.WaitGroup
	violationFound := func() bool {
		mu.Lock()
		defer mu.Unlock()
		return violation != ""
	}
	for range searchWorkers {
		all.Go(func() {
			for time.Now().Before(deadline) && !violationFound() {
				s := schedules.next(*firstSeed + next.Add(1))
				v := runSchedule(t, s)
				schedules.addIfNew(s, v.coverage)
				if len(v.violations) > 0 {
					mu.Lock()
					failed, violation = s, v.violations[0]
					mu.Unlock()
				}
			}
		})
	}
	all.Wait()
	t.Logf("%d of %d schedules showed something new", len(schedules.schedules), next.Load())
	return failed, violation, next.Load()
}
