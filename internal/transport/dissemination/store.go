package dissemination

import (
	"strings"
	"sync"
	"time"
)

// ShardCount is the number of shards of a store. It must be the same on all nodes and in all releases, because nodes
// compare their stores by shard.
const ShardCount = 64

// Store is one node's replica of all records. It is safe for concurrent use.
//
// Each shard has its own lock, and no method locks two shards at a time. Methods that read all shards (ForEachWithPrefix,
// Digests, Compare) therefore do not return a consistent snapshot. Anti-entropy tolerates that, because a repair replaces
// only older records.
type Store struct {
	shards  [ShardCount]shard
	onMerge func(Record)
}

// shard holds the records whose keys hash to its index. A key has a record, a tombstone, or both if another version was
// merged after the one in the tombstone expired.
type shard struct {
	mu         sync.RWMutex // guards the fields below
	records    map[string]storedRecord
	tombstones map[string]tombstone
}

// storedRecord is a record and the time at which it was merged into this store.
type storedRecord struct {
	record     Record
	receivedAt time.Time
}

// tombstone identifies the version of a record that expired in this store. Merge rejects that version, so that a node that
// still has it does not bring it back.
type tombstone struct {
	generation, version uint64
	createdAt           time.Time
}

// NewStore returns an empty store. onMerge, which may be nil, is called for every record that Merge stores. Calls for the
// same key are made in order of age, oldest first; calls for different keys are unordered and may be concurrent. onMerge
// runs under a shard's lock, so it must not block or call the store.
func NewStore(onMerge func(Record)) *Store {
	s := &Store{onMerge: onMerge}
	for i := range s.shards {
		s.shards[i].records = map[string]storedRecord{}
		s.shards[i].tombstones = map[string]tombstone{}
	}
	return s
}

// shardOf returns the shard of key.
func (s *Store) shardOf(key string) *shard { return &s.shards[shardIndex(key)] }

// Merge stores the records that are newer than those in the store, and returns them. It rejects versions that have a
// tombstone.
func (s *Store) Merge(records []Record) []Record {
	var merged []Record
	for _, record := range records {
		if s.merge(record) {
			merged = append(merged, record)
		}
	}
	return merged
}

// merge does the work of Merge for one record, and reports whether it stored it.
func (s *Store) merge(record Record) bool {
	shard := s.shardOf(record.Key)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	expired, ok := shard.tombstones[record.Key]
	if ok && expired.generation == record.Generation && expired.version == record.Version {
		return false
	}
	if current, ok := shard.records[record.Key]; ok && !record.newerThan(&current.record) {
		return false
	}
	shard.records[record.Key] = storedRecord{record, time.Now()}
	if s.onMerge != nil {
		s.onMerge(record)
	}
	return true
}

// Get returns the record of a key and its age, which is the time since it was merged into this store. ok is false if there
// is no record.
func (s *Store) Get(key string) (record Record, age time.Duration, ok bool) {
	shard := s.shardOf(key)
	shard.mu.RLock()
	defer shard.mu.RUnlock()
	stored, ok := shard.records[key]
	return stored.record, time.Since(stored.receivedAt), ok
}

// Select returns the records of those keys that the store has.
func (s *Store) Select(keys []string) []Record {
	var records []Record
	for _, key := range keys {
		if record, _, ok := s.Get(key); ok {
			records = append(records, record)
		}
	}
	return records
}

// ForEachWithPrefix calls visit for each record whose key has the prefix, in no particular order. visit runs under a
// shard's lock, so it must not block or call the store.
func (s *Store) ForEachWithPrefix(prefix string, visit func(record Record, age time.Duration)) {
	for i := range s.shards {
		s.shards[i].forEach(func(key string, stored storedRecord) {
			if strings.HasPrefix(key, prefix) {
				visit(stored.record, time.Since(stored.receivedAt))
			}
		})
	}
}

// forEach calls visit for each record of the shard under its lock, in no particular order.
func (s *shard) forEach(visit func(key string, stored storedRecord)) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	for key, stored := range s.records {
		visit(key, stored)
	}
}

// Expire replaces records older than maxAge with tombstones, because their writers no longer renew them. It deletes
// tombstones older than maxAge. The fleet configuration's record does not expire.
func (s *Store) Expire(maxAge time.Duration) {
	for i := range s.shards {
		s.shards[i].expire(maxAge)
	}
}

// expire does the work of Expire for one shard.
func (s *shard) expire(maxAge time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, stored := range s.records {
		if key != ConfigKey && time.Since(stored.receivedAt) > maxAge {
			delete(s.records, key)
			s.tombstones[key] = tombstone{stored.record.Generation, stored.record.Version, time.Now()}
		}
	}
	for key, expired := range s.tombstones {
		if time.Since(expired.createdAt) > maxAge {
			delete(s.tombstones, key)
		}
	}
}
