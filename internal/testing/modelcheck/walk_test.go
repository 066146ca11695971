package modelcheck

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"yarrowridge/internal/lib/faultinjection"
)

var (
	walkCount  = flag.Int("walks", 120, "how many schedules TestRandomWalks plays")
	firstSeed  = flag.Uint64("seed", 1, "seed of the first schedule")
	replayPath = flag.String("replay", "", "file with a schedule, as a failed walk prints it, for TestReplay")
	kindList   = flag.String("kinds", "", "comma-separated kinds of fault that TestRandomWalks keeps to; empty: all")
	verbose    = flag.Bool("loud", false, "print the processes' logs")
)

// operatorCount is the number of operators that change the configuration concurrently.
const operatorCount = 3

// runResult is the outcome of a run.
type runResult struct {
	violations                          []string
	acknowledged, operations, transfers int
	spent                               int // units that routers spent
	coverage                            *coverage
}

// runSchedule runs a schedule in simulated time.
func runSchedule(t *testing.T, schedule Schedule) (v runResult) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, schedule.Seed, schedule.Cores, schedule.Losses, *verbose)
		defer f.shutdown()
		v.coverage = f.coverage
		for _, p := range slices.Clone(f.processes) {
			f.start(p)
			time.Sleep(time.Duration(f.randomBelow(100)) * time.Millisecond)
		}
		if !f.waitFor(recoveryTimeout, f.isHealthy) {
			v.violations = []string{"the fleet was not founded in time"}
			return
		}
		f.runEvents(schedule)
		v.violations = f.checkRecovery()
		v.acknowledged, v.operations, v.transfers = f.history.counts()
		v.spent = f.spends.spent()
		v.violations = append(v.violations, f.history.violations()...)
		v.violations = append(v.violations, f.spends.violations()...)
	})
	return v
}

// runEvents runs the operators, quota holders and routers while the schedule's faults happen.
func (f *fleet) runEvents(s Schedule) {
	begun := time.Now()
	until := begun.Add(s.operatorTime() + 2*time.Second)
	var all sync.WaitGroup
	for i := range operatorCount {
		o := f.newOperator(i)
		all.Go(func() { o.work(until) })
	}
	for i := range quotaHolderCount {
		h := f.newQuotaHolder(i)
		f.quotaHolders = append(f.quotaHolders, h)
		all.Go(func() { h.work(until) })
	}
	for i := range quotaRouterCount {
		router := &quotaRouter{fleet: f, number: i}
		all.Go(func() { router.work(until) })
	}
	for _, event := range s.Events {
		time.Sleep(time.Duration(event.AtMs)*time.Millisecond - time.Since(begun))
		all.Go(func() {
			f.awaitCall(event)
			faultKinds[event.Kind](f, event)
		})
	}
	all.Wait()
}

// checkRecovery ends all faults and describes what does not recover in time.
func (f *fleet) checkRecovery() (violations []string) {
	f.endAllFaults()
	probe := f.newOperator(operatorCount)
	if !f.waitFor(recoveryTimeout, func() bool { return probe.read() }) {
		return []string{fmt.Sprintf("no read within %s after all faults were over; view %+v", recoveryTimeout, f.newestView())}
	}
	if !f.waitFor(recoveryTimeout, func() bool { return probe.write(probe.knownVersion) == succeeded || !probe.read() }) {
		violations = append(violations, "no write was acknowledged after all faults were over")
	}
	if !f.waitFor(fullRecoveryTimeout, f.isHealthy) {
		violations = append(violations, fmt.Sprintf("not all cores are members after %s; view %+v", fullRecoveryTimeout, f.newestView()))
	}
	probe.read()
	for _, h := range f.quotaHolders {
		h.transfer(quotaTransfer{holder: h.number}, time.Now().Add(recoveryTimeout)) // draws no units: records how many it holds
	}
	return violations
}

// shrinkAttempts is how often a shorter schedule must pass before it counts as passing: runs of one schedule differ
// slightly.
const shrinkAttempts = 4

// shrink removes events one by one, as long as the schedule still fails.
func shrink(t *testing.T, s Schedule) Schedule {
	for i := 0; i < len(s.Events); {
		shorter := s
		shorter.Events = slices.Delete(slices.Clone(s.Events), i, i+1)
		if !fails(t, shorter) {
			i++
			continue
		}
		s = shorter
	}
	return s
}

// fails reports whether any of shrinkAttempts runs of a schedule shows a violation.
func fails(t *testing.T, s Schedule) bool {
	for range shrinkAttempts {
		if len(runSchedule(t, s).violations) > 0 {
			return true
		}
	}
	return false
}

// splitKinds splits the value of -kinds.
func splitKinds(list string) []string {
	if list == "" {
		return nil
	}
	return strings.Split(list, ",")
}

// TestRandomWalks runs many random schedules of faults, and checks that the operators' history is linearizable, that
// routers stay within their quota, and that service recovers.
func TestRandomWalks(t *testing.T) {
	if faultinjection.Disabled("") {
		t.Skip("built with a mechanism disabled")
	}
	var mu sync.Mutex
	total := runResult{}
	t.Run("all", func(t *testing.T) {
		for i := range uint64(*walkCount) {
			s := newSchedule(*firstSeed+i, splitKinds(*kindList)...)
			t.Run(fmt.Sprint("seed", s.Seed), func(t *testing.T) {
				t.Parallel()
				v := runSchedule(t, s)
				for _, violation := range v.violations {
					t.Error(violation)
				}
				if len(v.violations) > 0 {
					t.Logf("schedule: %s", s)
					t.Logf("shortest schedule that fails: %s", shrink(t, s))
				}
				mu.Lock()
				defer mu.Unlock()
				total.acknowledged += v.acknowledged
				total.operations += v.operations
				total.transfers += v.transfers
				total.spent += v.spent
			})
		}
	})
	t.Logf("%d schedules, %d operations, %d writes acknowledged, %d moves of quota units, %d units spent by routers", *walkCount, total.operations,
		total.acknowledged, total.transfers, total.spent)
	if total.spent < 20**walkCount {
		t.Errorf("only %d units were spent by routers in %d schedules", total.spent, *walkCount)
	}
	if total.transfers < 10**walkCount {
		t.Errorf("only %d moves of quota units were made in %d schedules", total.transfers, *walkCount)
	}
	if total.acknowledged < *walkCount {
		t.Errorf("only %d writes were acknowledged in %d schedules", total.acknowledged, *walkCount)
	}
}

// TestReplay runs a schedule from a file, in the form in which a failed run of TestRandomWalks prints it.
func TestReplay(t *testing.T) {
	if *replayPath == "" {
		t.Skip("no -replay FILE")
	}
	raw, err := os.ReadFile(*replayPath)
	if err != nil {
		t.Fatal(err)
	}
	var s Schedule
	if err := json.Unmarshal(raw, &s); err != nil {
		t.Fatal(err)
	}
	for _, violation := range runSchedule(t, s).violations {
		t.Error(violation)
	}
}
