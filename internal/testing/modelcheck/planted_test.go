//go:build faultinjection

package modelcheck

import (
	"flag"
	"fmt"
	"os"
	"os/exec"
	"strings"
	"testing"
	"time"
)

var (
	onlyMechanism       = flag.String("mechanism", "", "the one mechanism that TestDisabledMechanisms disables")
	mechanismSearchTime = flag.Duration("find", 2*time.Minute, "how long TestDisabledMechanisms looks for the fault of each mechanism")
)

// mechanism is one of those that the protocol rests on, by its name in package faultinjection, with the kinds of fault that the
// search keeps to; none: all.
type mechanism struct {
	name  string
	kinds []string
	size  fleetSize // of the fleets; zero: all
	rare  bool      // it may take longer than the search in CI: left out with -short
}

// disabledMechanisms are disabled one by one.
var disabledMechanisms = []mechanism{
	{name: "read-lease"}, // a read without contact with a majority
	{name: "lease", kinds: []string{"island", "late"}},                 // a lease that never ends
	{name: "backup-copy"},                                              // an acknowledgement before the backups hold the write
	{name: "majority"},                                                 // decisions by one voter less than a majority
	{name: "proof-of-end", kinds: []string{"island", "late"}},          // a lease ended for its holder's silence
	{name: "grant-at-restart", kinds: []string{"restart rest"}},        // a voter that forgets its grant when it starts again
	{name: "old-epoch", kinds: []string{"late writes", "kill", "cut"}}, // a backup that takes writes of an older epoch
	{name: "write-id"},                                                 // a repeated order taken for a new one
	{name: "only-holders-lead"},                                        // a takeover by a member that holds no copy
	{name: "copy-first"},                                               // a new primary that does not bring its backups to its state
	{name: "former-primary", rare: true},                               // a view without the former primary before others hold a copy
	{name: "resumed-epoch", rare: true},                                // a run that leads on in the epoch of the run before it
	{name: "takeover"},                                                 // backups that never take over
	{name: "race"},                                                     // a change carried out although it lost its race
	{name: "draw-turn"},                                                // a repeated draw of quota units counted twice
	{name: "cooling"},                                                  // units of a router that has ended, free at once
	{name: "tolerance-charge"},                                         // a tolerance that may be spent more than once in a window
	{name: "run-query", rare: true},                                    // a late heartbeat of a router's ended run, taken for its new run
	{name: "pool-cache"},                                               // a quota pool kept in memory, whatever the store says
	{name: "late-snapshot", kinds: []string{"late copies", "kill"}, size: fleetSize{3, 1}, rare: true}, // a backup that takes snapshots in any order
}

// unitMechanism is a mechanism whose loss the walks do not show in minutes, and a unit test that fails without it.
type unitMechanism struct{ name, folder, test string }

// unitMechanisms are disabled one by one.
var unitMechanisms = []unitMechanism{
	{"grant-from-request", "renewal", "TestGrantCountsFromItsRequest"},             // a lease that counts from when it was granted
	{"grant-after-promise", "paxos", "TestLeaseAndPromiseExcludeOneAnother"},       // a voter that grants the lease after it promised the next epoch to another
	{"promise-after-grant", "paxos", "TestLeaseAndPromiseExcludeOneAnother"},       // a voter that promises the next epoch while its grant runs
	{"release-round", "paxos", "TestReleaseLease"},                                 // a late release that ends a newer grant
	{"end-of-writes", "core", "TestCommitWithoutLeaseEndsWrites"},                  // a primary that goes on after a write that met a gap in its lease
	{"lost-backup", "membership", "TestLostBackupStaysUntilThereIsAnother"},        // a backup that timed out, dropped like any member
	{"config-content", "configuration", "TestUncommittedConfigurationIsNotReused"}, // a configuration that is known by its version alone
	{"handed-over-lease", "leadership", "TestHandOver"},                            // a primary that acts on its lease after it handed over
	{"run-query", "replacedruns", "TestUnitsCoolOnceTheSuccessorIsConfirmed"},      // a late heartbeat that proves other runs ended
}

// TestDisabledInUnitTests disables one mechanism after the other: its unit test has to fail, and to pass with all of them.
func TestDisabledInUnitTests(t *testing.T) {
	for _, mechanism := range unitMechanisms {
		t.Run(mechanism.name, func(t *testing.T) {
			t.Parallel()
			run := func(disabled string) (output string, err error) {
				command := exec.Command("go", "test", "-tags", "faultinjection", "-count=1", "-v", "-run", "^"+mechanism.test+"$", "../../controlplane/"+mechanism.folder)
				command.Env = append(os.Environ(), "YARROWRIDGE_DISABLED_MECHANISM="+disabled)
				raw, err := command.CombinedOutput()
				return string(raw), err
			}
			if output, err := run("none"); err != nil || !strings.Contains(output, "--- PASS: "+mechanism.test) {
				t.Fatalf("got error %v with no mechanism disabled, want a test that passes:\n%s", err, output)
			}
			if output, err := run(mechanism.name); err == nil || !strings.Contains(output, "--- FAIL: "+mechanism.test) {
				t.Errorf("got error %v with %s disabled, want a test that fails:\n%s", err, mechanism.name, output)
			}
		})
	}
}

// TestDisabledMechanisms disables one mechanism after the other: the walks have to find what it guards against.
func TestDisabledMechanisms(t *testing.T) {
	for _, mechanism := range disabledMechanisms {
		if *onlyMechanism != "" && *onlyMechanism != mechanism.name || mechanism.rare && testing.Short() {
			continue
		}
		t.Run(mechanism.name, func(t *testing.T) {
			t.Setenv("YARROWRIDGE_DISABLED_MECHANISM", mechanism.name)
			begun := time.Now()
			s, violation, played := searchForViolation(t, newCorpus(*firstSeed, mechanism.kinds, mechanism.size), begun.Add(*mechanismSearchTime))
			if violation == "" {
				t.Fatalf("nothing was found in %d schedules", played)
			}
			t.Logf("found after %d schedules and %s: %s; schedule %s", played, time.Since(begun).Round(100*time.Millisecond), violation, s)
		})
	}
}

// TestDisabledVote disables what the vote rests on: the exploration of all its courses has to find two views decided.
func TestDisabledVote(t *testing.T) {
	disabled := map[string]voteBounds{
		"vote-on-disk": {attempts: 1, restarts: 1}, // a voter that forgets its promise when it starts again
		"majority":     {attempts: 1},              // decisions by one voter less than a majority
	}
	for name, bounds := range disabled {
		t.Run(name, func(t *testing.T) {
			t.Setenv("YARROWRIDGE_DISABLED_MECHANISM", name)
			e := exploreVote(t, bounds)
			if e.violation == "" {
				t.Fatalf("nothing was found in %d courses", e.executions)
			}
			t.Logf("found after %d courses: %s by %q", e.executions, e.violation, e.counterexample)
		})
	}
}

// TestDisabledReplication disables what keeps a backup's copy: the exploration of all courses has to find an acknowledged
// write lost, or a copy that differs.
func TestDisabledReplication(t *testing.T) {
	disabled := map[string]replicationBounds{
		"late-snapshot": {writes: 1, parts: 1, givenUp: 1},                                      // a backup that takes snapshots in any order
		"old-epoch":     {writes: 1, parts: 1, givenUp: 1, primaryRestarts: 1},                  // a backup that takes calls of an older epoch
		"":              {writes: 1, parts: 1, givenUp: 1, primaryRestarts: 1, sameEpoch: true}, // a run that leads on in the epoch of the run before it
	}
	for name, bounds := range disabled {
		for backups := range 2 {
			bounds.backups = backups + 1
			t.Run(fmt.Sprintf("%s same epoch %v, %d backups", name, bounds.sameEpoch, bounds.backups), func(t *testing.T) {
				t.Setenv("YARROWRIDGE_DISABLED_MECHANISM", name)
				e := exploreReplication(t, bounds)
				if e.violation == "" {
					t.Fatalf("nothing was found in %d courses", e.executions)
				}
				t.Logf("found after %d courses: %s by %q", e.executions, e.violation, e.counterexample)
			})
		}
	}
}

// TestDisabledDoubt has a primary lead on after a decision in doubt: the exploration of votes together with writes has to find
// a holder without an acknowledged write.
func TestDisabledDoubt(t *testing.T) {
	t.Setenv("YARROWRIDGE_DISABLED_MECHANISM", "decision-in-doubt")
	e := exploreVoteWithWrite(t, voteBounds{attempts: 1, lost: 2})
	if e.violation == "" {
		t.Fatalf("nothing was found in %d courses", e.executions)
	}
	t.Logf("found after %d courses: %s by %q", e.executions, e.violation, e.counterexample)
}
