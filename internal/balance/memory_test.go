package balance

import (
	"runtime"
	"testing"
)

// BenchmarkPrefixMemory tells how many bytes a router keeps for each remembered prompt part, with three runners each.
//
//	go test ./internal/balance -run XXX -bench PrefixMemory -benchtime 1x
func BenchmarkPrefixMemory(b *testing.B) {
	for b.Loop() {
		before := heap()
		cache := NewPrefixCache(prefixEntries)
		for id := range prefixEntries {
			for runner := range 3 {
				cache.Note([]Part{{ID: uint64(id) * 0x9e3779b97f4a7c15}}, runner)
			}
		}
		b.ReportMetric(float64(heap()-before)/prefixEntries, "B/part")
		runtime.KeepAlive(cache)
	}
}

// heap is how many bytes live objects take.
func heap() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
