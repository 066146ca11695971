package core

import (
	"github.com/tinylib/msgp/msgp"

	"yarrowridge/internal/controlplane/store"
)

// Tx is what a job sees: the committed state with the batch's own puts over it.
type Tx struct {
	store           *store.Store
	newest          map[string]*store.Mutation // by key
	puts            []store.Mutation
	size            int  // bytes put: a batch has to fit one frame to the backup
	hasFinishedKeys bool // it has a part of the keys that ran
}

// Get reads a key.
func (t *Tx) Get(key string) ([]byte, bool) {
	if put, ok := t.newest[key]; ok {
		return put.Value, !put.Deleted
	}
	return t.store.Get(key)
}

// Put sets a key.
func (t *Tx) Put(key string, record msgp.Marshaler) error {
	raw, err := record.MarshalMsg(nil)
	if err != nil {
		return err
	}
	t.add(store.Mutation{Key: key, Value: raw})
	return nil
}

// Delete removes a key.
func (t *Tx) Delete(key string) { t.add(store.Mutation{Key: key, Deleted: true}) }

// add puts an encoded record.
func (t *Tx) add(put store.Mutation) {
	t.puts = append(t.puts, put)
	t.size += len(put.Key) + len(put.Value)
	t.newest[put.Key] = &put
}

// newestPuts gives the newest put of each key: what a batch puts several times is stored and sent once.
func (t *Tx) newestPuts() []store.Mutation {
	if len(t.newest) == len(t.puts) {
		return t.puts
	}
	newest := make(map[string]int, len(t.newest))
	for i := range t.puts {
		newest[t.puts[i].Key] = i
	}
	last := make([]store.Mutation, 0, len(newest))
	for i, put := range t.puts {
		if newest[put.Key] == i {
			last = append(last, put)
		}
	}
	return last
}

// undo removes the puts that a failed job made: those after the first mark.
func (t *Tx) undo(mark int) {
	for _, put := range t.puts[mark:] {
		t.size -= len(put.Key) + len(put.Value)
	}
	t.puts = t.puts[:mark]
	clear(t.newest)
	for i := range t.puts {
		t.newest[t.puts[i].Key] = &t.puts[i]
	}
}
