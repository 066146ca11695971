package core

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"yarrowridge/internal/controlplane/configuration"
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
	all, addrs := startCores(ctx, b, nil, func(disk store.Disk) {
		if finishedKeys > 0 {
			putFinishedKeys(b, disk, finishedKeys)
		}
	})
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

// startCores starts five cores with real folders over TCP, which end with ctx, and returns them with their addresses.
// prepare is called with each disk first.
func startCores(ctx context.Context, b *testing.B, codec configuration.Codec, prepare func(disk store.Disk)) (all []*Server, addrs []string) {
	b.Helper()
	var listeners []net.Listener
	for range 5 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		listeners, addrs = append(listeners, l), append(addrs, l.Addr().String())
	}
	for i, l := range listeners {
		disk, err := store.OpenFolder(fmt.Sprintf("%s/%d", b.TempDir(), i))
		if err != nil {
			b.Fatal(err)
		}
		prepare(disk)
		ec := daemon.Context{Context: ctx, Name: addrs[i], Zone: fmt.Sprint(i), RunID: rand.Uint64(), Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Net: wire.TCP{}}
		s, err := Open(ec, Settings{Addr: addrs[i], Founders: addrs, Seeds: addrs, Codec: codec}, disk)
		if err != nil {
			b.Fatal(err)
		}
		all = append(all, s)
		go wire.Serve(ctx, l, s.Handle)
		go s.Run()
	}
	return all, addrs
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

// The size of a large fleet.
const (
	benchmarkRouters   = 291
	benchmarkTenants   = 190
	benchmarkTransfers = 6 // of one call
)

// tenantCodec reads every document as one with many tenants.
type tenantCodec struct{}

func (tenantCodec) Check([]byte) (configuration.Document, []coreapi.ConfigError) {
	document := configuration.Document{Quotas: map[string]int{}, Windows: map[string]time.Duration{}}
	for tenant := range benchmarkTenants {
		name := fmt.Sprint("tenant", tenant)
		document.Quotas[name], document.Windows[name] = 4*benchmarkRouters, 5*time.Second
	}
	return document, nil
}

func (tenantCodec) Merge(_, change []byte) ([]byte, error) { return change, nil }
func (tenantCodec) MaxBytes() int                          { return 1 << 20 }

// BenchmarkTransfers has many routers acquire and return units of many tenants, from five cores with real folders over TCP, one
// call of each router at a time.
func BenchmarkTransfers(b *testing.B) {
	ctx, cancel := context.WithCancel(b.Context())
	defer cancel()
	_, addrs := startCores(ctx, b, tenantCodec{}, func(store.Disk) {})
	client := coreclient.NewClient(daemon.Context{Context: ctx, Net: wire.TCP{}}, wire.NewCaller(wire.TCP{}), addrs)
	up, stop := context.WithTimeout(ctx, 20*time.Second)
	defer stop()
	write := coreapi.WriteRequest{AnyVersion: true, Raw: []byte("any")}
	var written coreapi.WriteResponse
	if err := client.Call(up, "core.write", &write, &written, true); err != nil || written.Code != http.StatusOK {
		b.Fatal(err, written)
	}
	var calls atomic.Int64
	var routers sync.WaitGroup
	b.ResetTimer()
	for router := range benchmarkRouters {
		routers.Go(func() {
			holder := fmt.Sprintf("router-%d@10.0.0.%d:7360/%016x", router, router, router)
			for sequence := uint64(1); calls.Add(1) <= int64(b.N); sequence++ {
				request := coreapi.QuotaTransfersRequest{Holder: holder}
				for i := range benchmarkTransfers {
					tenant := fmt.Sprint("tenant", (router*7+int(sequence)*benchmarkTransfers+i)%benchmarkTenants)
					request.Transfers = append(request.Transfers, coreapi.QuotaTransfer{Tenant: tenant, Sequence: sequence, Units: 1, Return: sequence%2 == 0})
				}
				one, cancel := context.WithTimeout(ctx, 10*time.Second)
				if err := client.Call(one, "core.moves", &request, &coreapi.QuotaTransfersResponse{}, true); err != nil {
					b.Error(err)
				}
				cancel()
			}
		})
	}
	routers.Wait()
	b.ReportMetric(float64(b.N*benchmarkTransfers)/b.Elapsed().Seconds(), "transfers/s")
}
