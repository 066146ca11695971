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

// mechanism is a mechanism of the protocol, by its name in package faultinjection, with the kinds of fault that the search
// for its violation uses; none: all.
type mechanism struct {
	name  string
	kinds []string
	size  fleetSize // of the fleets; zero: any
	rare  bool      // the search may take longer than CI allows: skipped with -short
}

// disabledMechanisms are disabled one at a time. Each comment names the fault that this causes.
var disabledMechanisms = []mechanism{
	{name: "read-lease"}, // reads without contact with a majority
	{name: "lease", kinds: []string{"island", "late"}},                 // leases that never end
	{name: "backup-copy"},                                              // writes are acknowledged before the backups have them
	{name: "majority"},                                                 // decisions by one voter fewer than a majority
	{name: "proof-of-end", kinds: []string{"island", "late"}},          // a lease is considered ended because its holder does not respond
	{name: "grant-at-restart", kinds: []string{"restart rest"}},        // a voter forgets its grant when it restarts
	{name: "old-epoch", kinds: []string{"late writes", "kill", "cut"}}, // a backup accepts writes of an older epoch
	{name: "write-id"},                                                 // a retried write is treated as a new one
	{name: "only-holders-lead"},                                        // a member without a copy of the state takes over
	{name: "copy-first"},                                               // a new primary does not synchronize its backups first
	{name: "former-primary", rare: true},                               // a view without the former primary, before others have a copy of its state
	{name: "resumed-epoch", rare: true},                                // a restarted primary continues in the epoch of its previous run
	{name: "takeover"},                                                 // backups never take over
	{name: "race"},                                                     // a write is carried out although its base version is not the current one
	{name: "draw-turn"},                                                // a retried draw of quota units counts twice
	{name: "cooling"},                                                  // units of a router that has ended become free at once
	{name: "tolerance-charge"},                                         // a tolerance can be spent more than once in a window
	{name: "run-query", rare: true},                                    // a late heartbeat of a router's ended run is attributed to its new run
	{name: "pool-cache"},                                               // a quota pool is cached in memory and may differ from the store
	{name: "late-snapshot", kinds: []string{"late copies", "kill"}, size: fleetSize{3, 1}, rare: true}, // a backup accepts snapshots in any order
}

// unitMechanism is a mechanism that random schedules take too long to exercise, with a unit test that fails without it.
type unitMechanism struct{ name, folder, test string }

// unitMechanisms are disabled one at a time. Each comment names the fault that this causes.
var unitMechanisms = []unitMechanism{
	{"grant-from-request", "renewal", "TestGrantCountsFromItsRequest"},             // a lease counts from the moment of the grant instead of the request
	{"grant-after-promise", "paxos", "TestLeaseAndPromiseExcludeOneAnother"},       // a voter grants the lease after it promised the next epoch to another
	{"promise-after-grant", "paxos", "TestLeaseAndPromiseExcludeOneAnother"},       // a voter promises the next epoch while its grant is valid
	{"release-round", "paxos", "TestReleaseLease"},                                 // a late release ends a newer grant
	{"end-of-writes", "core", "TestCommitWithoutLeaseEndsWrites"},                  // a primary continues after a write that met a gap in its lease
	{"lost-backup", "membership", "TestLostBackupStaysUntilThereIsAnother"},        // a backup that timed out is removed like any other member
	{"config-content", "configuration", "TestUncommittedConfigurationIsNotReused"}, // a configuration is identified by its version alone
	{"handed-over-lease", "leadership", "TestHandOver"},                            // a primary acts on its lease after handing over
	{"run-query", "replacedruns", "TestUnitsCoolOnceTheSuccessorIsConfirmed"},      // a late heartbeat proves that other runs have ended
}

// TestDisabledInUnitTests disables one mechanism at a time: its unit test has to fail, and to pass with all mechanisms
// enabled.
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

// TestDisabledMechanisms disables one mechanism at a time: the search has to find a violation.
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

// TestDisabledVote disables mechanisms of the vote: the exploration has to find two views decided for one epoch.
func TestDisabledVote(t *testing.T) {
	disabled := map[string]voteBounds{
		"vote-on-disk": {attempts: 1, restarts: 1}, // a voter forgets its promise when it restarts
		"majority":     {attempts: 1},              // decisions by one voter fewer than a majority
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

// TestDisabledReplication disables mechanisms that protect a backup's copy: the exploration has to find a lost
// acknowledged write or a copy that differs.
func TestDisabledReplication(t *testing.T) {
	disabled := map[string]replicationBounds{
		"late-snapshot": {writes: 1, parts: 1, givenUp: 1},                                      // a backup accepts snapshots in any order
		"old-epoch":     {writes: 1, parts: 1, givenUp: 1, primaryRestarts: 1},                  // a backup accepts calls of an older epoch
		"":              {writes: 1, parts: 1, givenUp: 1, primaryRestarts: 1, sameEpoch: true}, // a restarted primary continues in the epoch of its previous run
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

// TestDisabledDoubt lets a primary continue although the outcome of its proposal is unknown: the exploration of votes with
// a concurrent write has to find a member that holds the state without an acknowledged write.
func TestDisabledDoubt(t *testing.T) {
	t.Setenv("YARROWRIDGE_DISABLED_MECHANISM", "decision-in-doubt")
	e := exploreVoteWithWrite(t, voteBounds{attempts: 1, lost: 2})
	if e.violation == "" {
		t.Fatalf("nothing was found in %d courses", e.executions)
	}
	t.Logf("found after %d courses: %s by %q", e.executions, e.violation, e.counterexample)
}
