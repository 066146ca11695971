package core

import (
	"github.com/tinylib/msgp/msgp"

	"yarrowridge/internal/store"
)

// Tx is what a job sees: the committed state with the batch's own puts over it.
type Tx struct {
	store           *store.Store
	newest          map[string]*store.Put
	puts            []store.Put
	size            int  // bytes put: a batch has to fit one frame to the backup
	hasFinishedKeys bool // it has a part of the keys that ran
}

// Get reads a key.
//
//	raw, ok := tx.Get("layout")
func (t *Tx) Get(key string) ([]byte, bool) {
	if p, ok := t.newest[key]; ok {
		return p.Val, !p.Gone
	}
	return t.store.Get(key)
}

// Put sets a key.
//
//	err := tx.Put("layout", &sheet)
func (t *Tx) Put(key string, val msgp.Marshaler) error {
	raw, err := val.MarshalMsg(nil)
	if err != nil {
		return err
	}
	t.add(store.Put{Key: key, Val: raw})
	return nil
}

// Drop removes a key.
//
//	tx.Drop("claim/t/k")
func (t *Tx) Drop(key string) { t.add(store.Put{Key: key, Gone: true}) }

func (t *Tx) add(p store.Put) {
	t.puts = append(t.puts, p)
	t.size += len(p.Key) + len(p.Val)
	t.newest[p.Key] = &p
}

// newestPuts gives the newest put of each key: what a batch puts several times is stored and sent once.
func (t *Tx) newestPuts() []store.Put {
	if len(t.newest) == len(t.puts) {
		return t.puts
	}
	newest := make(map[string]int, len(t.newest))
	for i := range t.puts {
		newest[t.puts[i].Key] = i
	}
	out := make([]store.Put, 0, len(newest))
	for i, p := range t.puts {
		if newest[p.Key] == i {
			out = append(out, p)
		}
	}
	return out
}

// undo strikes the puts a failed job made.
func (t *Tx) undo(mark int) {
	for _, p := range t.puts[mark:] {
		t.size -= len(p.Key) + len(p.Val)
	}
	t.puts = t.puts[:mark]
	clear(t.newest)
	for i := range t.puts {
		t.newest[t.puts[i].Key] = &t.puts[i]
	}
}
