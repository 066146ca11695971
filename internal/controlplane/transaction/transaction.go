// Package transaction provides the state that operations of the core read and change: the committed state overlaid with the
// mutations of the current batch. The primary's run loop creates one Tx for each batch, applies the operations to it one
// after another, and commits their mutations together. A Tx is not safe for concurrent use.
package transaction

import (
	"github.com/tinylib/msgp/msgp"

	"yarrowridge/internal/controlplane/store"
)

// Tx collects the mutations of one batch over the committed state.
type Tx struct {
	committed *store.Store
	last      map[string]*store.Mutation // the last mutation of each key
	mutations []store.Mutation           // in order
	size      int                        // bytes of keys and values in the last mutation of each key
	tags      map[string]bool
}

// New returns a Tx without mutations on a committed state.
func New(committed *store.Store) *Tx {
	return &Tx{committed: committed, last: map[string]*store.Mutation{}}
}

// Committed returns the committed state, without the batch's mutations.
func (t *Tx) Committed() *store.Store { return t.committed }

// Mutations returns all mutations so far, in order.
func (t *Tx) Mutations() []store.Mutation { return t.mutations }

// Size returns the number of bytes of keys and values in LastMutations, which have to fit into one frame to the backups.
func (t *Tx) Size() int { return t.size }

// Get returns the value of a key, including the batch's mutations.
func (t *Tx) Get(key string) (value []byte, ok bool) {
	if mutation, ok := t.last[key]; ok {
		return mutation.Value, !mutation.Deleted
	}
	return t.committed.Get(key)
}

// Put encodes a record and sets a key to it. It returns only encoding errors.
func (t *Tx) Put(key string, record msgp.Marshaler) error {
	raw, err := record.MarshalMsg(nil)
	if err != nil {
		return err
	}
	t.PutRaw(key, raw)
	return nil
}

// PutRaw sets a key to a value, which the caller must not modify afterwards.
func (t *Tx) PutRaw(key string, value []byte) {
	t.append(store.Mutation{Key: key, Value: value})
}

// Delete removes a key.
func (t *Tx) Delete(key string) { t.append(store.Mutation{Key: key, Deleted: true}) }

// LastMutation returns the batch's last mutation of a key.
func (t *Tx) LastMutation(key string) (mutation store.Mutation, ok bool) {
	last, ok := t.last[key]
	if !ok {
		return store.Mutation{}, false
	}
	return *last, true
}

// Tag records that the batch contains a kind of mutation, so that HasTag can tell without a search of all mutations.
func (t *Tx) Tag(kind string) {
	if t.tags == nil {
		t.tags = map[string]bool{}
	}
	t.tags[kind] = true
}

// HasTag reports whether the batch was tagged with a kind. Rollback does not remove tags, so the batch may no longer contain
// such a mutation.
func (t *Tx) HasTag(kind string) bool { return t.tags[kind] }

// LastMutations returns the last mutation of each key, so that a key that changed several times is stored and sent only once.
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

// Savepoint returns the current end of the batch, for Rollback.
func (t *Tx) Savepoint() int { return len(t.mutations) }

// Rollback removes the mutations since a savepoint. It is used when an operation fails.
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

// setLast records the last mutation of a key and updates the size.
func (t *Tx) setLast(mutation *store.Mutation) {
	if previous, ok := t.last[mutation.Key]; ok {
		t.size -= len(previous.Key) + len(previous.Value)
	}
	t.size += len(mutation.Key) + len(mutation.Value)
	t.last[mutation.Key] = mutation
}

// SameRecord reports whether two values read from a state share the same memory. If they do, the record decoded from one is
// valid for the other: values are not modified once they are put, and each write of a key has its own memory.
func SameRecord(a, b []byte) bool {
	return len(a) > 0 && len(a) == len(b) && &a[0] == &b[0]
}
