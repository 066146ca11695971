package quota

import (
	"context"
	"testing"
	"time"

	"yarrowridge/internal/lib/daemon"
)

// unlimitedShare returns a share with more units than a benchmark can use up.
func unlimitedShare(b *testing.B) *Share {
	b.Helper()
	const units = 1 << 40
	share := NewShare()
	share.SetLimit(units, 10*time.Millisecond)
	sequence, _, ok := share.NextAcquire(1)
	if !ok {
		b.Fatal("NextAcquire on an empty share: got no transfer, want one")
	}
	share.Apply(sequence, units, units)
	return share
}

// One request is admitted and dispatched, while units committed earlier are released.
func BenchmarkReserveCommit(b *testing.B) {
	share := unlimitedShare(b)
	b.ReportAllocs()
	for b.Loop() {
		share.Reserve(1)
		share.Commit(1)
	}
}

// One request is admitted and ends before its dispatch.
func BenchmarkReserveCancel(b *testing.B) {
	share := unlimitedShare(b)
	b.ReportAllocs()
	for b.Loop() {
		share.Reserve(1)
		share.Cancel(1)
	}
}

// All CPU cores admit requests of one tenant at once.
func BenchmarkReserveCancelParallel(b *testing.B) {
	share := unlimitedShare(b)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			share.Reserve(1)
			share.Cancel(1)
		}
	})
}

// One request reserves its units through Shares, as in a router.
func BenchmarkSharesReserveCancel(b *testing.B) {
	shares := NewShares(daemon.Context{Context: b.Context()}, Config{Nodes: func() int { return 1 }})
	shares.shares["t"] = unlimitedShare(b)
	ctx := context.Background()
	b.ReportAllocs()
	for b.Loop() {
		shares.Reserve(ctx, "t", 1)
		shares.For("t").Cancel(1)
	}
}

// Each of 200 holders in turn acquires one unit and returns it.
func BenchmarkPoolAcquireReturn(b *testing.B) {
	const limit = 10_000
	holders := make([]string, 200)
	var pool Pool
	for i := range holders {
		holders[i] = string(rune('A' + i))
		pool.Acquire(holders[i], 1, 10, limit)
	}
	b.ReportAllocs()
	sequence := uint64(1)
	for i := 0; b.Loop(); i++ {
		holder := holders[i%len(holders)]
		pool.AcquireWithTolerance(holder, sequence+1, 1, limit, 10, 1)
		pool.Return(holder, sequence+2, 1)
		sequence += 2
	}
}
