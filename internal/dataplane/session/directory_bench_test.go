package session

import (
	"fmt"
	"runtime"
	"testing"
)

// BenchmarkMemory measures the bytes of memory and the bytes on the wire for each entry with two runners.
//
//	go test ./internal/dataplane/session -run XXX -bench Memory -benchtime 1x
func BenchmarkMemory(b *testing.B) {
	const entries = 1 << 15
	runners := make([]string, 20)
	for i := range runners {
		runners[i] = fmt.Sprintf("i-%010x", i*7919)
	}
	for b.Loop() {
		before := heap()
		d, sent := New(entries), 0
		for i := range uint64(entries) {
			d.Record(i*0x9e3779b97f4a7c15, runners[i%20], runners[(i+1)%20])
		}
		for updates := d.DrainUpdates(); len(updates) > 0; updates = d.DrainUpdates() {
			sent += len(updates)
		}
		if sent != entries {
			b.Fatalf("got %d updates, want %d", sent, entries)
		}
		b.ReportMetric(float64(heap()-before)/entries, "B/entry")
		raw, err := Pack(d.MostRecentlyUsed(1000)).MarshalMsg(nil)
		if err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(len(raw))/1000, "B/entry-on-wire")
		runtime.KeepAlive(d)
	}
}

// BenchmarkLookup measures the directory lookup that each choice of a runner includes.
func BenchmarkLookup(b *testing.B) {
	d := New(1 << 15)
	for i := range uint64(1 << 15) {
		d.Record(i, "a", "b")
	}
	session := uint64(0)
	for b.Loop() {
		session = (session + 7919) % (1 << 16)
		d.Lookup(session)
	}
}

// heap returns the bytes of live objects on the heap.
func heap() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
