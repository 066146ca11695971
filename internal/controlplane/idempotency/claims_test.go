package idempotency

import (
	"fmt"
	"io"
	"log/slog"
	"testing"
	"time"

	"yarrowridge/internal/controlplane/configuration"
	"yarrowridge/internal/controlplane/coreapi"
	"yarrowridge/internal/controlplane/store"
	"yarrowridge/internal/controlplane/transaction"
	"yarrowridge/internal/testing/sim"
)

// machine is the state machine with its committed state.
type machine struct {
	*Claims
	t         *testing.T
	committed *store.Store
	alive     bool // what isRunAlive returns
}

func newMachine(t *testing.T, maxFinishedKeys int) *machine {
	t.Helper()
	committed, err := store.Open(sim.NewDisk().Open(), slog.New(slog.NewTextHandler(io.Discard, nil)))
	if err != nil {
		t.Fatal(err)
	}
	return &machine{Claims: New(func() int { return maxFinishedKeys }), t: t, committed: committed}
}

// run commits one batch made by operations.
func (m *machine) run(operations ...func(*transaction.Tx) error) {
	m.t.Helper()
	tx := transaction.New(m.committed)
	for _, operation := range operations {
		if err := operation(tx); err != nil {
			m.t.Fatal(err)
		}
	}
	if len(tx.Mutations()) == 0 {
		return
	}
	if err := m.committed.Append(store.Batch{Version: m.committed.Version() + 1, Mutations: tx.LastMutations()}); err != nil {
		m.t.Fatal(err)
	}
	m.ApplyCommitted(tx)
}

// claim claims a key in a separate batch.
func (m *machine) claim(key, claimant, requestHash string) coreapi.ClaimResponse {
	m.t.Helper()
	var response coreapi.ClaimResponse
	m.run(func(tx *transaction.Tx) error { return m.claimIn(tx, key, claimant, requestHash, &response) })
	return response
}

func (m *machine) claimIn(tx *transaction.Tx, key, claimant, requestHash string, response *coreapi.ClaimResponse) error {
	request := &coreapi.ClaimRequest{Key: key, Claim: coreapi.Claim{Claimant: claimant, RequestHash: requestHash, Node: "n", NodeRun: 1}}
	return m.Claim(tx, request, response, func(node string, run uint64) bool {
		if node != "n" || run != 1 {
			m.t.Errorf("isRunAlive: got run %d of node %q, want run 1 of node n", run, node)
		}
		return m.alive
	})
}

func (m *machine) complete(key, claimant string, release bool) {
	m.t.Helper()
	request := &coreapi.CompleteClaimRequest{Key: key, Release: release,
		Claim: coreapi.Claim{Claimant: claimant, RequestHash: "h", State: coreapi.ClaimDone, Status: 200}}
	m.run(func(tx *transaction.Tx) error { return m.Complete(tx, request) })
}

func TestClaim(t *testing.T) {
	for _, c := range []struct {
		name                  string
		before                func(m *machine)
		claimant, requestHash string
		alive                 bool
		want                  coreapi.ClaimResponse // only Claimant and State of its Claim are compared
	}{
		{name: "a new key", claimant: "b", requestHash: "h", want: coreapi.ClaimResponse{Granted: true}},
		{name: "the claimant asks again", before: func(m *machine) { m.claim("k", "a", "h") }, claimant: "a", requestHash: "h", want: coreapi.ClaimResponse{Granted: true}},
		{name: "the claimant asks with another request", before: func(m *machine) { m.claim("k", "a", "h") }, claimant: "a", requestHash: "x", want: coreapi.ClaimResponse{Conflict: true}},
		{name: "another request", before: func(m *machine) { m.claim("k", "a", "h") }, claimant: "b", requestHash: "x", want: coreapi.ClaimResponse{Conflict: true}},
		{name: "its node may be at work", before: func(m *machine) { m.claim("k", "a", "h") }, claimant: "b", requestHash: "h", alive: true,
			want: coreapi.ClaimResponse{Running: true, Claim: coreapi.Claim{Claimant: "a"}}},
		{name: "its node has ended", before: func(m *machine) { m.claim("k", "a", "h") }, claimant: "b", requestHash: "h",
			want: coreapi.ClaimResponse{Claim: coreapi.Claim{Claimant: "a"}}},
		{name: "completed", before: func(m *machine) { m.claim("k", "a", "h"); m.complete("k", "a", false) }, claimant: "b", requestHash: "h", alive: true,
			want: coreapi.ClaimResponse{Claim: coreapi.Claim{Claimant: "a", State: coreapi.ClaimDone}}},
		{name: "completed by another than the claimant", before: func(m *machine) { m.claim("k", "a", "h"); m.complete("k", "b", false) }, claimant: "b", requestHash: "h",
			want: coreapi.ClaimResponse{Claim: coreapi.Claim{Claimant: "a"}}},
		{name: "released", before: func(m *machine) { m.claim("k", "a", "h"); m.complete("k", "a", true) }, claimant: "b", requestHash: "x", want: coreapi.ClaimResponse{Granted: true}},
		{name: "released before the claim came", before: func(m *machine) { m.complete("k", "a", true) }, claimant: "a", requestHash: "h",
			want: coreapi.ClaimResponse{Claim: coreapi.Claim{Claimant: "a", State: coreapi.ClaimReleased}}},
		{name: "completed without a claim", before: func(m *machine) { m.complete("k", "a", false) }, claimant: "b", requestHash: "h", want: coreapi.ClaimResponse{Granted: true}},
		{name: "released after it was completed", before: func(m *machine) { m.claim("k", "a", "h"); m.complete("k", "a", false); m.complete("k", "a", true) }, claimant: "b", requestHash: "h",
			want: coreapi.ClaimResponse{Claim: coreapi.Claim{Claimant: "a", State: coreapi.ClaimDone}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := newMachine(t, 10)
			m.alive = c.alive
			if c.before != nil {
				c.before(m)
			}
			got := m.claim("k", c.claimant, c.requestHash)
			isSame := got.Granted == c.want.Granted && got.Conflict == c.want.Conflict && got.Running == c.want.Running &&
				got.AlreadyRan == c.want.AlreadyRan && got.TooManyKeys == c.want.TooManyKeys &&
				got.Claim.Claimant == c.want.Claim.Claimant && got.Claim.State == c.want.Claim.State
			if !isSame {
				t.Errorf("got %+v, want %+v", got, c.want)
			}
		})
	}
}

// The key of an expired claim becomes a finished key, which is found already within the batch that writes it.
func TestExpiredClaimsLeaveFinishedKeys(t *testing.T) {
	m := newMachine(t, 2)
	m.claim("k", "a", "h")
	m.claim("free", "a", "h")
	m.complete("free", "a", true)
	m.claim(coreapi.StreamPrefix+"s", "a", "h")
	limits := configuration.ClaimLimits{Retention: time.Minute, FinishedRetention: 2 * time.Hour}
	begin := time.Now()
	m.run(m.Sweep(m.committed, begin, limits)...)
	m.run(m.Sweep(m.committed, begin.Add(time.Minute), limits)...)
	if got := Count(m.committed); got != (Counts{Claims: 3}) {
		t.Fatalf("got %+v at the end of the retention, want 3 claims", got)
	}
	var inBatch coreapi.ClaimResponse
	operations := m.Sweep(m.committed, begin.Add(time.Minute+1), limits)
	m.run(append(operations, func(tx *transaction.Tx) error { return m.claimIn(tx, "k", "b", "h", &inBatch) })...)
	if !inBatch.AlreadyRan {
		t.Errorf("got %+v in the batch that expires the claim, want AlreadyRan", inBatch)
	}
	if got := Count(m.committed); got != (Counts{Claims: 1, FinishedKeys: 1, FinishedKeyChunks: 1}) {
		t.Errorf("got %+v, want the claim of the stream and one finished key, which was not released", got)
	}
	if got := m.claim("k", "b", "h"); !got.AlreadyRan {
		t.Errorf("got %+v for a finished key, want AlreadyRan", got)
	}
	restarted := New(func() int { return 2 })
	restarted.Load(m.committed)
	m.Claims = restarted
	if got := m.claim("k", "b", "h"); !got.AlreadyRan {
		t.Errorf("got %+v for a finished key after Load, want AlreadyRan", got)
	}
	m.run(m.Sweep(m.committed, begin, limits)...)
	m.run(m.Sweep(m.committed, begin.Add(2*time.Hour+1), limits)...)
	if got := m.claim("k", "b", "h"); !got.Granted {
		t.Errorf("got %+v after the retention of the finished key, want Granted", got)
	}
}

func TestTooManyFinishedKeys(t *testing.T) {
	m := newMachine(t, 2)
	m.run(func(tx *transaction.Tx) error { m.RecordFinished(tx, []string{"x", "y", "y"}); return nil })
	if got := m.claim("k", "a", "h"); !got.TooManyKeys {
		t.Errorf("got %+v with the maximum number of finished keys, want TooManyKeys", got)
	}
	if got := m.claim("x", "a", "h"); !got.AlreadyRan {
		t.Errorf("got %+v for a finished key, want AlreadyRan", got)
	}
}

func TestSmallChunksOfFinishedKeysAreMerged(t *testing.T) {
	m := newMachine(t, 1000)
	for i := range mergeThreshold {
		m.run(m.mergeFinishedKeys)
		m.run(func(tx *transaction.Tx) error {
			m.RecordFinished(tx, []string{fmt.Sprint(i), fmt.Sprint(-i)})
			return nil
		})
	}
	keys := 2*mergeThreshold - 1
	if got := Count(m.committed); got.FinishedKeyChunks != mergeThreshold || got.FinishedKeys != keys {
		t.Fatalf("got %+v, want %d chunks of %d keys", got, mergeThreshold, keys)
	}
	m.run(m.mergeFinishedKeys)
	if got := Count(m.committed); got.FinishedKeyChunks != 1 || got.FinishedKeys != keys || m.finished.count != keys {
		t.Errorf("got %+v and %d in memory, want one chunk of %d keys", got, m.finished.count, keys)
	}
	for i := range mergeThreshold {
		if got := m.claim(fmt.Sprint(-i), "a", "h"); !got.AlreadyRan {
			t.Errorf("got %+v for a key of a merged chunk, want AlreadyRan", got)
		}
	}
}

// After a change of primary very many claims may expire at once. They are split so that each batch fits into a frame.
func TestExpiryIsSplitIntoBatches(t *testing.T) {
	m := newMachine(t, 10)
	var keys []string
	for i := range 5 {
		keys = append(keys, fmt.Sprintf("%s%0*d", claimPrefix, expiryBatchBytes/2, i))
	}
	if got := len(m.expireInBatches(keys)); got != 3 {
		t.Errorf("got %d operations for five keys of half the limit, want 3", got)
	}
	if got := len(m.expireInBatches(nil)); got != 0 {
		t.Errorf("got %d operations for no keys, want none", got)
	}
}
