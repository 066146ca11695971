package balance

import (
	"fmt"
	"runtime"
	"testing"

	"yarrowridge/internal/model/routing"
)

// BenchmarkPrefixMemory measures the memory per prompt part in the prefix cache, with three runners each.
//
//	go test ./internal/dataplane/balance -run XXX -bench PrefixMemory -benchtime 1x
func BenchmarkPrefixMemory(b *testing.B) {
	for b.Loop() {
		before := heap()
		cache := NewPrefixCache(maxPrefixEntries)
		for id := range maxPrefixEntries {
			for runner := range 3 {
				cache.Record([]PromptPart{{ID: uint64(id) * 0x9e3779b97f4a7c15}}, runner)
			}
		}
		b.ReportMetric(float64(heap()-before)/maxPrefixEntries, "B/part")
		runtime.KeepAlive(cache)
	}
}

// heap returns the size of the live heap in bytes.
func heap() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// BenchmarkChoose measures one choice among the 610 runners of a service.
//
//	go test ./internal/dataplane/balance -run XXX -bench Choose
func BenchmarkChoose(b *testing.B) {
	balancer := New("zone01")
	var list []routing.Runner
	for i := range 610 {
		list = append(list, routing.Runner{ID: fmt.Sprintf("runner-%04d", i), Service: "models", Zone: fmt.Sprintf("zone%02d", i%11+1),
			Address: fmt.Sprintf("10.%d.%d.9:8000", i%11, i/11), State: routing.RunnerReady, Slots: 64, Sequence: 1})
	}
	balancer.Update(list)
	parts := []PromptPart{{1, 900}, {2, 200}, {3, 200}, {4, 50}}
	for b.Loop() {
		if balancer.Choose(Request{Service: "models", Parts: parts, Input: 1350, Output: 300}) == nil {
			b.Fatal("no runner was chosen")
		}
	}
}

// BenchmarkUpdate measures an update of a list of 610 runners.
//
//	go test ./internal/dataplane/balance -run XXX -bench Update
func BenchmarkUpdate(b *testing.B) {
	balancer := New("zone01")
	var list []routing.Runner
	for i := range 610 {
		list = append(list, routing.Runner{ID: fmt.Sprintf("runner-%04d", i), Service: "models", State: routing.RunnerReady})
	}
	for b.Loop() {
		balancer.Update(list)
	}
}
