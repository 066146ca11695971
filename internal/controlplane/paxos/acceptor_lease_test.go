package paxos

import (
	"io"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"yarrowridge/internal/controlplane/view"
)

// memoryDisk is an in-memory disk without faults.
type memoryDisk map[string][]byte

func (m memoryDisk) Write(name string, data []byte) error { m[name] = data; return nil }
func (m memoryDisk) Read(name string) ([]byte, error)     { return m[name], nil }
func (m memoryDisk) List() ([]string, error)              { return nil, nil }
func (m memoryDisk) Remove(name string) error             { delete(m, name); return nil }
func (m memoryDisk) Sync() error                          { return nil }
func (m memoryDisk) Rename(from, to string) error         { m[to] = m[from]; delete(m, from); return nil }

// A release ends the lease at once, unless it is no newer than the last grant or belongs to another run or epoch.
func TestReleaseLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		acceptor, err := Open(memoryDisk{}, time.Second, slog.New(slog.NewTextHandler(io.Discard, nil)))
		if err != nil {
			t.Fatal(err)
		}
		current := view.View{Epoch: 3, Primary: "a", Members: []view.Member{{ID: "a", Addr: "1"}}}
		grant := func(run, round uint64) {
			t.Helper()
			response, err := acceptor.Renew(&RenewRequest{View: current, PrimaryRun: run, Round: round})
			if err != nil || !response.Granted {
				t.Fatalf("round %d of run %d: got %+v and error %v, want a grant", round, run, response, err)
			}
		}
		for _, test := range []struct {
			name              string
			epoch, run, round uint64
			ends              bool
		}{
			{"an older round", 3, 5, 7, false},
			{"the round of the grant", 3, 5, 8, false},
			{"another run", 3, 6, 9, false},
			{"no run", 3, 0, 9, false},
			{"another epoch", 2, 5, 9, false},
			{"the next round", 3, 5, 9, true},
		} {
			grant(5, 8)
			acceptor.Release(&ReleaseRequest{Epoch: test.epoch, PrimaryRun: test.run, Round: test.round})
			if got := acceptor.HasActiveLease(); got == test.ends {
				t.Errorf("%s: got active lease %v, want %v", test.name, got, !test.ends)
			}
		}
		grant(5, 10)
		grant(5, 8) // delayed
		if acceptor.Release(&ReleaseRequest{Epoch: 3, PrimaryRun: 5, Round: 9}); !acceptor.HasActiveLease() {
			t.Error("a release older than the last grant ended the lease")
		}
	})
}

// Revoking the lease of a run that has ended takes effect at once. The lease granted to another run meanwhile stays active.
func TestRevokeLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const term = time.Second
		acceptor, err := Open(memoryDisk{}, term, slog.New(slog.DiscardHandler))
		if err != nil {
			t.Fatal(err)
		}
		current := view.View{Epoch: 1, Primary: "p"}
		grant := func(run uint64) {
			t.Helper()
			if response, err := acceptor.Renew(&RenewRequest{View: current, PrimaryRun: run, Round: 1}); err != nil || !response.Granted {
				t.Fatalf("got %+v, %v, want a grant", response, err)
			}
		}
		if _, found := acceptor.StaleGrant(0); found {
			t.Error("got a stale grant before any grant")
		}
		grant(1)
		if _, found := acceptor.StaleGrant(term / 4); found {
			t.Error("got a stale grant right after it was granted")
		}
		time.Sleep(term / 2)
		if run, found := acceptor.StaleGrant(term / 4); !found || run != 1 {
			t.Errorf("got run %d, stale grant found: %t; want run 1, true", run, found)
		}
		grant(2)
		acceptor.RevokeLease(1)
		if !acceptor.HasActiveLease() {
			t.Error("revoking the lease of run 1 ended that of run 2")
		}
		acceptor.RevokeLease(0)
		if !acceptor.HasActiveLease() {
			t.Error("revoking the lease of the unknown run ended that of run 2")
		}
		acceptor.RevokeLease(2)
		if acceptor.HasActiveLease() {
			t.Error("the lease of run 2 is active after it was revoked")
		}
		time.Sleep(term)
		if _, found := acceptor.StaleGrant(term / 4); found {
			t.Error("got a stale grant after the lease expired")
		}
	})
}

// A delayed renewal of a run that has ended may arrive after its successor was granted the lease. Revoking the lease of the
// ended run must not end the successor's, although the ended run was granted the lease last.
func TestDelayedRenewalOfEndedRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const term = time.Second
		acceptor, err := Open(memoryDisk{}, term, slog.New(slog.DiscardHandler))
		if err != nil {
			t.Fatal(err)
		}
		current := view.View{Epoch: 1, Primary: "p"}
		for _, run := range []uint64{1, 2, 1} {
			if response, err := acceptor.Renew(&RenewRequest{View: current, PrimaryRun: run, Round: 1}); err != nil || !response.Granted {
				t.Fatalf("got %+v, %v, want a grant", response, err)
			}
		}
		acceptor.RevokeLease(1)
		if !acceptor.HasActiveLease() {
			t.Error("revoking the lease of run 1 ended that of run 2")
		}
		time.Sleep(term + time.Nanosecond)
		if acceptor.HasActiveLease() {
			t.Error("the lease is active after its term, want it expired")
		}
	})
}

// An acceptor that has granted the lease makes promises for the next epoch to the primary only, until the grant expires. An
// acceptor that has made a promise to another proposer no longer grants the lease to the primary. Otherwise a new primary
// could answer while the lease of the old one is still active.
func TestLeaseAndPromiseExcludeOneAnother(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const term = time.Second
		acceptor, err := Open(memoryDisk{}, term, slog.New(slog.NewTextHandler(io.Discard, nil)))
		if err != nil {
			t.Fatal(err)
		}
		current := view.View{Epoch: 3, Primary: "a", Members: []view.Member{{ID: "a", Addr: "1"}, {ID: "b", Addr: "2"}}}
		renew := func() (granted, promisedOther bool) {
			t.Helper()
			response, err := acceptor.Renew(&RenewRequest{View: current, PrimaryRun: 5, Round: 1})
			if err != nil {
				t.Fatal(err)
			}
			return response.Granted, response.PromisedOther
		}
		promises := func(number uint64, proposer string) bool {
			t.Helper()
			response, err := acceptor.Prepare(&PrepareRequest{Current: current, Number: ProposalNumber{Number: number, Proposer: proposer}})
			if err != nil {
				t.Fatal(err)
			}
			return response.Agreed
		}
		if granted, _ := renew(); !granted {
			t.Fatal("got no lease from a new acceptor, want one")
		}
		time.Sleep(term - time.Millisecond)
		if promises(1, "b") {
			t.Error("got a promise to a backup while the primary's grant is active, want none")
		}
		if !promises(1, "a") {
			t.Error("got no promise to the primary itself, want one")
		}
		if granted, _ := renew(); !granted {
			t.Error("got no lease after a promise to the primary itself, want one")
		}
		time.Sleep(term)
		if !promises(2, "b") {
			t.Fatal("got no promise to a backup after the grant expired, want one")
		}
		if granted, promisedOther := renew(); granted || !promisedOther {
			t.Errorf("after a promise to a backup: got granted %v, promised to another %v; want false, true", granted, promisedOther)
		}
	})
}
