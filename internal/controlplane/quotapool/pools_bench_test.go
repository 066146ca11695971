package quotapool

import (
	"fmt"
	"testing"
	"time"

	"yarrowridge/internal/controlplane/configuration"
	"yarrowridge/internal/controlplane/coreapi"
	"yarrowridge/internal/controlplane/store"
	"yarrowridge/internal/controlplane/transaction"
)

// Sizes of a large fleet.
const (
	benchmarkHolders = 291
	benchmarkTenants = 190
	benchmarkBatch   = 32 // transfers per commit
)

// largeFleet returns pools in which each holder has units of each tenant, with the committed store and the configuration.
func largeFleet(b *testing.B) (*Pools, *store.Store, *configuration.Document) {
	b.Helper()
	committed := openStore(b)
	document := &configuration.Document{Quotas: map[string]int{}, Windows: map[string]time.Duration{}}
	pools := New()
	for tenant := range benchmarkTenants {
		name := fmt.Sprint("tenant", tenant)
		document.Quotas[name], document.Windows[name] = 4*benchmarkHolders, 5*time.Second
	}
	for holder := range benchmarkHolders {
		commitTransfers(b, pools, committed, document, fmt.Sprint("holder", holder), 1, benchmarkTenants)
	}
	return pools, committed, document
}

// commitTransfers commits one batch in which a holder acquires a unit of each of the first tenants.
func commitTransfers(b *testing.B, pools *Pools, committed *store.Store, document *configuration.Document, holder string, sequence uint64, tenants int) {
	b.Helper()
	tx := transaction.New(committed)
	for tenant := range tenants {
		transfer := coreapi.QuotaTransfer{Tenant: fmt.Sprint("tenant", tenant), Holder: holder, Sequence: sequence, Units: 1}
		if _, _, err := pools.Transfer(tx, holder, &transfer, document); err != nil {
			b.Fatal(err)
		}
	}
	if err := committed.Append(store.Batch{Version: committed.Version() + 1, Mutations: tx.LastMutations()}); err != nil {
		b.Fatal(err)
	}
}

// BenchmarkTransfer measures acquires in one batch, each for a different tenant, without the commit.
func BenchmarkTransfer(b *testing.B) {
	pools, committed, document := largeFleet(b)
	sequence := uint64(1)
	for b.Loop() {
		sequence++
		tx := transaction.New(committed)
		for tenant := range benchmarkBatch {
			transfer := coreapi.QuotaTransfer{Tenant: fmt.Sprint("tenant", tenant), Sequence: sequence, Units: 1}
			if _, _, err := pools.Transfer(tx, "holder7", &transfer, document); err != nil {
				b.Fatal(err)
			}
		}
		b.StopTimer()
		if err := committed.Append(store.Batch{Version: committed.Version() + 1, Mutations: tx.LastMutations()}); err != nil {
			b.Fatal(err)
		}
		b.StartTimer()
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*benchmarkBatch), "ns/transfer")
}

// BenchmarkSweep measures a sweep that finds no due changes.
func BenchmarkSweep(b *testing.B) {
	pools, committed, document := largeFleet(b)
	live := LiveHolders{Holders: map[string]bool{}, Addresses: map[string]coreapi.Node{}}
	for holder := range benchmarkHolders {
		live.Holders[fmt.Sprint("holder", holder)] = true
	}
	for b.Loop() {
		pools.Sweep(committed, document, live)
	}
}
