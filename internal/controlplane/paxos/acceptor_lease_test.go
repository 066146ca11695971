package paxos

import (
	"io"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"yarrowridge/internal/controlplane/view"
)

// memory is a disk without faults.
type memory map[string][]byte

func (m memory) Write(name string, data []byte) error { m[name] = data; return nil }
func (m memory) Read(name string) ([]byte, error)     { return m[name], nil }
func (m memory) List() ([]string, error)              { return nil, nil }
func (m memory) Remove(name string) error             { delete(m, name); return nil }
func (m memory) Sync() error                          { return nil }
func (m memory) Rename(from, to string) error         { m[to] = m[from]; delete(m, from); return nil }

// A primary gives its lease back at once; a release that is older than a grant, of another run or of
// another epoch ends nothing.
func TestReleaseLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		acceptor, err := Open(memory{}, time.Second, slog.New(slog.NewTextHandler(io.Discard, nil)))
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
			t.Error("a release older than the newest grant ended the lease")
		}
	})
}

// The lease of a run that has surely ended is over at once. That of another run, which was granted meanwhile, goes on.
func TestLeaseOfARunThatHasEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const term = time.Second
		acceptor, err := Open(memory{}, term, slog.New(slog.DiscardHandler))
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
		if _, silent := acceptor.SilentHolder(0); silent {
			t.Error("got a silent holder before any grant")
		}
		grant(1)
		if _, silent := acceptor.SilentHolder(term / 4); silent {
			t.Error("got a silent holder just after its grant")
		}
		time.Sleep(term / 2)
		if run, silent := acceptor.SilentHolder(term / 4); !silent || run != 1 {
			t.Errorf("got run %d, silent: %t, want run 1, silent", run, silent)
		}
		grant(2)
		acceptor.EndLeaseOf(1)
		if !acceptor.HasActiveLease() {
			t.Error("the lease of run 2 was ended with that of run 1")
		}
		acceptor.EndLeaseOf(0)
		if !acceptor.HasActiveLease() {
			t.Error("the lease was ended with that of an unknown run")
		}
		acceptor.EndLeaseOf(2)
		if acceptor.HasActiveLease() {
			t.Error("the lease of run 2 goes on, though that run has ended")
		}
		time.Sleep(term)
		if _, silent := acceptor.SilentHolder(term / 4); silent {
			t.Error("got a silent holder of a lease that is over")
		}
	})
}

// A renewal of a run that has ended may arrive after the first grant of the run that followed it. That the former has ended
// says nothing of the latter.
func TestDelayedRenewalOfARunThatHasEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const term = time.Second
		acceptor, err := Open(memory{}, term, slog.New(slog.DiscardHandler))
		if err != nil {
			t.Fatal(err)
		}
		current := view.View{Epoch: 1, Primary: "p"}
		for _, run := range []uint64{1, 2, 1} {
			if response, err := acceptor.Renew(&RenewRequest{View: current, PrimaryRun: run, Round: 1}); err != nil || !response.Granted {
				t.Fatalf("got %+v, %v, want a grant", response, err)
			}
		}
		acceptor.EndLeaseOf(1)
		if !acceptor.HasActiveLease() {
			t.Error("the lease of run 2 was ended with that of run 1")
		}
		time.Sleep(term + time.Nanosecond)
		if acceptor.HasActiveLease() {
			t.Error("got a lease after its term, want none")
		}
	})
}

// An acceptor that has granted the lease promises the next epoch to its primary only, until the grant has run out; one that
// has promised it to another grants the lease to the primary no more. Else a new primary would answer while the lease of the
// old one still runs.
func TestLeaseAndPromiseExcludeOneAnother(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const term = time.Second
		acceptor, err := Open(memory{}, term, slog.New(slog.NewTextHandler(io.Discard, nil)))
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
			t.Fatal("got no lease from a fresh acceptor, want one")
		}
		time.Sleep(term - time.Millisecond)
		if promises(1, "b") {
			t.Error("got a promise to a backup while the primary's grant runs, want none")
		}
		if !promises(1, "a") {
			t.Error("got no promise to the primary itself, want one")
		}
		if granted, _ := renew(); !granted {
			t.Error("got no lease after a promise to the primary itself, want one")
		}
		time.Sleep(term)
		if !promises(2, "b") {
			t.Fatal("got no promise to a backup once the grant has run out, want one")
		}
		if granted, promisedOther := renew(); granted || !promisedOther {
			t.Errorf("after a promise to a backup: got granted %v, promised to another %v; want false, true", granted, promisedOther)
		}
	})
}
