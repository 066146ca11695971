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

// BenchmarkClaims measures claims of idempotency keys from five cores that store to real folders and communicate over TCP. The
// load is 64 concurrent callers per processor. The batches per claim show how much group commit saves. The second case starts
// with the finished keys of a day at 60 per second, to include their cost on disk, in memory and in lookups.
func BenchmarkClaims(b *testing.B) {
	b.Run("fresh", func(b *testing.B) { benchmarkClaims(b, 0) })
	b.Run("after a day at 60 a second", func(b *testing.B) { benchmarkClaims(b, 60*86400) })
}

func benchmarkClaims(b *testing.B, finishedKeys int) {
	b.Helper()
	ctx, cancel := context.WithCancel(b.Context())
	defer cancel()
	cores, addrs := startCores(ctx, b, nil, func(disk store.Disk) {
		if finishedKeys > 0 {
			putFinishedKeys(b, disk, finishedKeys)
		}
	})
	client := coreclient.NewClient(daemon.Context{Context: ctx, Net: wire.TCP{}}, wire.NewCaller(wire.TCP{}), addrs)
	startedAt := time.Now()
	startupCtx, cancelStartup := context.WithTimeout(ctx, 20*time.Second)
	defer cancelStartup()
	if err := client.Call(startupCtx, "core.layout", &coreapi.ConfigRequest{}, &coreapi.StoredConfig{}, true); err != nil {
		b.Fatal(err)
	}
	startupTime := time.Since(startedAt)
	var lastClaim atomic.Uint64
	primary := cores[0]
	for _, core := range cores {
		if core.State().Ready {
			primary = core
		}
	}
	versionBefore := primary.State().StoreVersion
	if state := primary.State(); state.FinishedKeys > 0 {
		snapshot := primary.store.Load().Snapshot()
		b.Logf("%d finished keys in %d chunks: %.1f MB on disk; fleet founded, snapshot sent to the backup and primary ready in %s", state.FinishedKeys, state.FinishedKeyChunks, float64(snapshot.Msgsize())/1e6, startupTime.Round(time.Millisecond))
	}
	b.SetParallelism(64)
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			claim := lastClaim.Add(1)
			var response coreapi.ClaimResponse
			request := coreapi.ClaimRequest{Key: fmt.Sprintf("t/new%d", claim), Claim: coreapi.Claim{RequestHash: "s", Claimant: fmt.Sprint(claim), Node: "n"}}
			callCtx, cancel := context.WithTimeout(ctx, 10*time.Second)
			err := client.Call(callCtx, "core.take", &request, &response, true)
			cancel()
			if err != nil || !response.Granted {
				b.Errorf("claim %d: got error %v, response %+v, want it granted", claim, err, response)
				return
			}
		}
	})
	b.StopTimer()
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "claims/s")
	b.ReportMetric(float64(primary.State().StoreVersion-versionBefore)/float64(b.N), "batches/claim")
}

// startCores starts five cores that store to real folders and communicate over TCP, and returns them and their addresses. They
// run until ctx ends. prepare is called with each disk before its core is opened.
func startCores(ctx context.Context, b *testing.B, codec configuration.Codec, prepare func(disk store.Disk)) (cores []*Server, addrs []string) {
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
		coreCtx := daemon.Context{Context: ctx, Name: addrs[i], Zone: fmt.Sprint(i), RunID: rand.Uint64(), Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Net: wire.TCP{}}
		s, err := Open(coreCtx, Settings{Addr: addrs[i], Founders: addrs, Seeds: addrs, Codec: codec}, disk)
		if err != nil {
			b.Fatal(err)
		}
		cores = append(cores, s)
		go wire.Serve(ctx, l, s.Handle)
		go s.Run()
	}
	return cores, addrs
}

// putFinishedKeys writes n finished keys to a disk, in chunks as sweeps and merges leave them: mostly full, some small.
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

// Load of a large fleet.
const (
	benchmarkRouters   = 291
	benchmarkTenants   = 190
	benchmarkTransfers = 6 // transfers per call
)

// tenantCodec decodes every configuration as one with benchmarkTenants tenants.
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

// BenchmarkTransfers measures quota transfers of many routers and tenants, from five cores that store to real folders and
// communicate over TCP. Each router makes one call at a time, and alternately acquires and returns units.
func BenchmarkTransfers(b *testing.B) {
	ctx, cancel := context.WithCancel(b.Context())
	defer cancel()
	_, addrs := startCores(ctx, b, tenantCodec{}, func(store.Disk) {})
	client := coreclient.NewClient(daemon.Context{Context: ctx, Net: wire.TCP{}}, wire.NewCaller(wire.TCP{}), addrs)
	startupCtx, cancelStartup := context.WithTimeout(ctx, 20*time.Second)
	defer cancelStartup()
	write := coreapi.WriteRequest{AnyVersion: true, Raw: []byte("any")}
	var written coreapi.WriteResponse
	if err := client.Call(startupCtx, "core.write", &write, &written, true); err != nil || written.Code != http.StatusOK {
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
				callCtx, cancel := context.WithTimeout(ctx, 10*time.Second)
				if err := client.Call(callCtx, "core.moves", &request, &coreapi.QuotaTransfersResponse{}, true); err != nil {
					b.Error(err)
				}
				cancel()
			}
		})
	}
	routers.Wait()
	b.ReportMetric(float64(b.N*benchmarkTransfers)/b.Elapsed().Seconds(), "transfers/s")
}
