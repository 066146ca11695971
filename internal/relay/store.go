// Package relay brings news to every node: a store of records on each, a tree over which new ones
// flow, and a repair by digests over ranges that mends copies from the newer.
package relay

import (
	"hash/fnv"
	"sort"
	"strings"
	"sync"
	"time"
)

// Ranges is how many ranges of keys have a digest of their own.
const Ranges = 64

// ConfigKey is the key of the layout's record.
const ConfigKey = "layout"

// ConfigRecord makes the record of a layout.
//
//	record := relay.ConfigRecord(7, raw)
func ConfigRecord(seq uint64, raw []byte) Record {
	return Record{Key: ConfigKey, Version: seq, Body: raw}
}

// RunnerHead begins the key of a registered runner's record; its ID follows.
const RunnerPrefix = "runners/"

// Newer tells whether a is newer than b.
//
//	if relay.Newer(a, b) { ... }
func Newer(a, b Record) bool {
	if a.Generation != b.Generation {
		return a.Generation > b.Generation
	}
	if a.Version != b.Version {
		return a.Version > b.Version
	}
	return string(a.Body) > string(b.Body)
}

type held struct {
	record Record
	at     time.Time
}

// dropped is a record that was forgotten. A neighbour that still has it must not bring it back.
type dropped struct {
	generation, version uint64
	at                  time.Time
}

// Store is one node's copy of the news, in shards with a lock each.
type Store struct {
	shards [Ranges]struct {
		mu  sync.RWMutex
		all map[string]held
		old map[string]dropped
	}
	onRecord func(Record)
}

// NewStore makes an empty store. onRecord is called for every record that is taken, in no fixed order
// between keys, and for one key from the older to the newer.
//
//	b := relay.NewStore(func(r relay.Record) { ... })
func NewStore(onRecord func(Record)) *Store {
	b := &Store{onRecord: onRecord}
	for i := range b.shards {
		b.shards[i].all = map[string]held{}
		b.shards[i].old = map[string]dropped{}
	}
	return b
}

func hash(parts ...string) uint64 {
	h := fnv.New64a()
	for _, p := range parts {
		h.Write([]byte(p))
		h.Write([]byte{0})
	}
	return h.Sum64()
}

func rangeOf(key string) int { return int(hash(key) % Ranges) }

// Take takes the records that are newer than what stands here, and returns those.
//
//	fresh := b.Take(news.Records)
func (b *Store) Take(records []Record) []Record {
	var fresh []Record
	for _, r := range records {
		s := &b.shards[rangeOf(r.Key)]
		s.mu.Lock()
		old, ok := s.all[r.Key]
		gone, was := s.old[r.Key]
		if was && gone.generation == r.Generation && gone.version == r.Version {
			s.mu.Unlock()
			continue
		}
		if !ok || Newer(r, old.record) {
			s.all[r.Key] = held{r, time.Now()}
			fresh = append(fresh, r)
			if b.onRecord != nil {
				b.onRecord(r)
			}
		}
		s.mu.Unlock()
	}
	return fresh
}

// Get reads one record and how long ago it came.
//
//	record, age, ok := b.Get("runner/a")
func (b *Store) Get(key string) (Record, time.Duration, bool) {
	s := &b.shards[rangeOf(key)]
	s.mu.RLock()
	defer s.mu.RUnlock()
	h, ok := s.all[key]
	return h.record, time.Since(h.at), ok
}

// Each visits the records whose key begins with head.
//
//	b.Each("runner/", func(r relay.Record, age time.Duration) { ... })
func (b *Store) Each(head string, do func(Record, time.Duration)) {
	for i := range b.shards {
		s := &b.shards[i]
		s.mu.RLock()
		for k, h := range s.all {
			if strings.HasPrefix(k, head) {
				do(h.record, time.Since(h.at))
			}
		}
		s.mu.RUnlock()
	}
}

// Drop forgets records untouched for longer than d: their owner is long gone. The layout stays.
//
//	b.Drop(time.Minute)
func (b *Store) Drop(d time.Duration) {
	for i := range b.shards {
		s := &b.shards[i]
		s.mu.Lock()
		for k, h := range s.all {
			if k != ConfigKey && time.Since(h.at) > d {
				delete(s.all, k)
				s.old[k] = dropped{h.record.Generation, h.record.Version, time.Now()}
			}
		}
		for k, gone := range s.old {
			if time.Since(gone.at) > d {
				delete(s.old, k)
			}
		}
		s.mu.Unlock()
	}
}

func word(n uint64) string {
	var b [8]byte
	for i := range b {
		b[i] = byte(n >> (8 * i))
	}
	return string(b[:])
}

// Sum digests every range.
//
//	sum := b.Sum("n1")
func (b *Store) Sum(from string) Sum {
	out := Sum{From: from, Dig: make([]uint64, Ranges)}
	for i := range b.shards {
		s := &b.shards[i]
		s.mu.RLock()
		for k, h := range s.all {
			out.Dig[i] ^= hash(k, word(h.record.Generation), word(h.record.Version))
		}
		s.mu.RUnlock()
	}
	return out
}

// Diff names what stands in the ranges whose digest differs from the far side's.
//
//	diff := b.Diff(sum)
func (b *Store) Diff(far Sum) Diff {
	var out Diff
	mine := b.Sum("")
	for i := range b.shards {
		if i < len(far.Dig) && far.Dig[i] == mine.Dig[i] {
			continue
		}
		out.Range = append(out.Range, i)
		s := &b.shards[i]
		s.mu.RLock()
		for _, h := range s.all {
			out.Names = append(out.Names, Name{h.record.Key, h.record.Generation, h.record.Version})
		}
		s.mu.RUnlock()
	}
	return out
}

// Fix works out, from the far side's names, what to hand over and what to ask for.
//
//	fix := b.Fix("n1", diff)
func (b *Store) Fix(from string, diff Diff) Fix {
	out := Fix{From: from}
	far := map[string]Name{}
	for _, n := range diff.Names {
		far[n.Key] = n
		mine, _, ok := b.Get(n.Key)
		if !ok || n.Generation > mine.Generation || n.Generation == mine.Generation && n.Version > mine.Version {
			out.Want = append(out.Want, n.Key)
		}
	}
	for _, i := range diff.Range {
		if i < 0 || i >= Ranges {
			continue
		}
		s := &b.shards[i]
		s.mu.RLock()
		for k, h := range s.all {
			n, ok := far[k]
			if !ok || h.record.Generation > n.Generation || h.record.Generation == n.Generation && h.record.Version > n.Version {
				out.Records = append(out.Records, h.record)
			}
		}
		s.mu.RUnlock()
	}
	sort.Slice(out.Records, func(i, j int) bool { return out.Records[i].Key < out.Records[j].Key })
	return out
}

// Pick gives the records asked for.
//
//	recs := b.Pick(fix.Want)
func (b *Store) Select(keys []string) []Record {
	var out []Record
	for _, k := range keys {
		if r, _, ok := b.Get(k); ok {
			out = append(out, r)
		}
	}
	return out
}
