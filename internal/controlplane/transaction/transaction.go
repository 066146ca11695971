// Package transaction holds what an operation on the core's state sees and changes: the committed state with the
// mutations of the batch under way over it. The primary's run loop makes one Tx for each batch, applies the operations one
// after another, and commits their mutations together. A Tx is not safe for concurrent use.
package transaction

import (
	"github.com/tinylib/msgp/msgp"

	"yarrowridge/internal/controlplane/store"
)

// Tx is one batch under way.
type Tx struct {
	committed *store.Store
	last      map[string]*store.Mutation // the last mutation of each key
	mutations []store.Mutation           // in the order in which they were made
	size      int                        // bytes of keys and values in the last mutations
	tags      map[string]bool
}

// New begins a batch on a committed state.
func New(committed *store.Store) *Tx {
	return &Tx{committed: committed, last: map[string]*store.Mutation{}}
}

// Committed is the state that the batch begins with.
func (t *Tx) Committed() *store.Store { return t.committed }

// Mutations are all mutations so far, in their order.
func (t *Tx) Mutations() []store.Mutation { return t.mutations }

// Size is the number of bytes of keys and values that LastMutations has so far: they have to fit one frame to the backups.
func (t *Tx) Size() int { return t.size }

// Get reads a key as the batch has it.
func (t *Tx) Get(key string) (value []byte, ok bool) {
	if mutation, ok := t.last[key]; ok {
		return mutation.Value, !mutation.Deleted
	}
	return t.committed.Get(key)
}

// Put sets a key to an encoded record. The only error is one of encoding.
func (t *Tx) Put(key string, record msgp.Marshaler) error {
	raw, err := record.MarshalMsg(nil)
	if err != nil {
		return err
	}
	t.PutRaw(key, raw)
	return nil
}

// PutRaw sets a key to bytes, which must not change any more.
func (t *Tx) PutRaw(key string, value []byte) {
	t.append(store.Mutation{Key: key, Value: value})
}

// Delete removes a key.
func (t *Tx) Delete(key string) { t.append(store.Mutation{Key: key, Deleted: true}) }

// LastMutation gives the last mutation that the batch makes of a key.
func (t *Tx) LastMutation(key string) (mutation store.Mutation, ok bool) {
	last, ok := t.last[key]
	if !ok {
		return store.Mutation{}, false
	}
	return *last, true
}

// Tag records that the batch has a kind of mutation, so that its owner need not go through all of them to know.
func (t *Tx) Tag(kind string) {
	if t.tags == nil {
		t.tags = map[string]bool{}
	}
	t.tags[kind] = true
}

// HasTag reports whether the batch was tagged with a kind. A tag outlives the rollback of what it was set for.
func (t *Tx) HasTag(kind string) bool { return t.tags[kind] }

// LastMutations gives the last mutation of each key: what a batch changes several times is stored and sent once.
func (t *Tx) LastMutations() []store.Mutation {
	if len(t.last) == len(t.mutations) {
		return t.mutations
	}
	lastIndex := make(map[string]int, len(t.last))
	for i := range t.mutations {
		lastIndex[t.mutations[i].Key] = i
	}
	last := make([]store.Mutation, 0, len(lastIndex))
	for i, mutation := range t.mutations {
		if lastIndex[mutation.Key] == i {
			last = append(last, mutation)
		}
	}
	return last
}

// Savepoint marks the present end of the batch for Rollback.
func (t *Tx) Savepoint() int { return len(t.mutations) }

// Rollback removes the mutations made since a savepoint: those of an operation that failed.
func (t *Tx) Rollback(savepoint int) {
	if savepoint == len(t.mutations) {
		return
	}
	t.mutations = t.mutations[:savepoint]
	clear(t.last)
	t.size = 0
	for i := range t.mutations {
		t.setLast(&t.mutations[i])
	}
}

func (t *Tx) append(mutation store.Mutation) {
	t.mutations = append(t.mutations, mutation)
	t.setLast(&mutation)
}

// setLast notes the last mutation of a key.
func (t *Tx) setLast(mutation *store.Mutation) {
	if replaced, ok := t.last[mutation.Key]; ok {
		t.size -= len(replaced.Key) + len(replaced.Value)
	}
	t.size += len(mutation.Key) + len(mutation.Value)
	t.last[mutation.Key] = mutation
}

// SameRecord reports whether two values read from a state are the same memory: what was decoded from one is good for the
// other. Values don't change once they are put, so one that was written anew is never the same.
func SameRecord(a, b []byte) bool {
	return len(a) > 0 && len(a) == len(b) && &a[0] == &b[0]
}
