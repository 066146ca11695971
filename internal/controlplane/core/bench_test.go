package core

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"yarrowridge/internal/controlplane/coreapi"
	"yarrowridge/internal/controlplane/coreclient"
	"yarrowridge/internal/controlplane/idempotency"
	"yarrowridge/internal/controlplane/store"
	"yarrowridge/internal/controlplane/transaction"
	"yarrowridge/internal/lib/daemon"
	"yarrowridge/internal/transport/wire"
)

// BenchmarkClaims claims idempotency keys from five cores with real folders over TCP, by 64 callers a processor at once. The
// batches per claim tell what grouping the syncs saves. The second case has a day of finished keys behind it, at 60 a
// second: what they cost on disk, in memory and in searching them.
func BenchmarkClaims(b *testing.B) {
	b.Run("fresh", func(b *testing.B) { benchmarkClaims(b, 0) })
	b.Run("after a day at 60 a second", func(b *testing.B) { benchmarkClaims(b, 60*86400) })
}

func benchmarkClaims(b *testing.B, finishedKeys int) {
	b.Helper()
	ctx, cancel := context.WithCancel(b.Context())
	defer cancel()
	var addrs []string
	var listeners []net.Listener
	for range 5 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		listeners, addrs = append(listeners, l), append(addrs, l.Addr().String())
	}
	var all []*Server
	for i, l := range listeners {
		disk, err := store.OpenFolder(fmt.Sprintf("%s/%d", b.TempDir(), i))
		if err != nil {
			b.Fatal(err)
		}
		if finishedKeys > 0 {
			putFinishedKeys(b, disk, finishedKeys)
		}
		ec := daemon.Context{Context: ctx, Name: addrs[i], Zone: fmt.Sprint(i), RunID: rand.Uint64(), Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Net: wire.TCP{}}
		s, err := Open(ec, Settings{Addr: addrs[i], Founders: addrs, Seeds: addrs}, disk)
		if err != nil {
			b.Fatal(err)
		}
		all = append(all, s)
		go wire.Serve(ctx, l, s.Handle)
		go s.Run()
	}
	c := coreclient.NewClient(daemon.Context{Context: ctx, Net: wire.TCP{}}, wire.NewCaller(wire.TCP{}), addrs)
	founded := time.Now()
	up, stop := context.WithTimeout(ctx, 20*time.Second)
	defer stop()
	if err := c.Call(up, "core.layout", &coreapi.ConfigRequest{}, &coreapi.StoredConfig{}, true); err != nil {
		b.Fatal(err)
	}
	ready := time.Since(founded)
	var n atomic.Uint64
	lead := all[0]
	for _, s := range all {
		if s.State().Ready {
			lead = s
		}
	}
	before := lead.State().StoreVersion
	if p := lead.State(); p.FinishedKeys > 0 {
		raw := lead.store.Load().Snapshot()
		b.Logf("%d finished keys in %d chunks: %.1f MB on disk; founded, copied to the backup and ready in %s", p.FinishedKeys, p.FinishedKeyChunks, float64(raw.Msgsize())/1e6, ready.Round(time.Millisecond))
	}
	b.SetParallelism(64)
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			k := n.Add(1)
			var response coreapi.ClaimResponse
			request := coreapi.ClaimRequest{Key: fmt.Sprintf("t/new%d", k), Claim: coreapi.Claim{RequestHash: "s", Claimant: fmt.Sprint(k), Node: "n"}}
			one, cancel := context.WithTimeout(ctx, 10*time.Second)
			err := c.Call(one, "core.take", &request, &response, true)
			cancel()
			if err != nil || !response.Granted {
				b.Errorf("claim %d: %v %+v", k, err, response)
				return
			}
		}
	})
	b.StopTimer()
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "claims/s")
	b.ReportMetric(float64(lead.State().StoreVersion-before)/float64(b.N), "batches/claim")
}

// putFinishedKeys writes to a disk what sweeps and merges leave of n finished keys: full chunks, and some small ones.
func putFinishedKeys(b *testing.B, disk store.Disk, n int) {
	b.Helper()
	opened, err := store.Open(disk, slog.New(slog.DiscardHandler))
	if err != nil {
		b.Fatal(err)
	}
	claims := idempotency.New(nil)
	tx := transaction.New(opened)
	for i := 0; i < n; {
		size := min(n-i, 110_000)
		if n-i < 120_000 {
			size = min(n-i, 6000)
		}
		keys := make([]string, size)
		for j := range keys {
			keys[j] = fmt.Sprint("t/", i+j)
		}
		claims.RecordFinished(tx, keys)
		i += size
	}
	if err := opened.Append(store.Batch{Version: 1, IsSnapshot: true, Mutations: tx.Mutations()}); err != nil {
		b.Fatal(err)
	}
}
