package transaction

import (
	"io"
	"log/slog"
	"testing"

	"yarrowridge/internal/controlplane/store"
)

// open returns a committed state with one key.
func open(t *testing.T) *store.Store {
	t.Helper()
	folder, err := store.OpenFolder(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	committed, err := store.Open(folder, slog.New(slog.NewTextHandler(io.Discard, nil)))
	if err != nil {
		t.Fatal(err)
	}
	batch := store.Batch{Version: 1, Mutations: []store.Mutation{{Key: "old", Value: []byte("1")}}}
	if err := committed.Append(batch); err != nil {
		t.Fatal(err)
	}
	return committed
}

func TestReadsSeeTheBatchOverTheCommittedState(t *testing.T) {
	tx := New(open(t))
	tx.PutRaw("new", []byte("2"))
	tx.Delete("old")
	if value, ok := tx.Get("new"); !ok || string(value) != "2" {
		t.Errorf("got %q, %t for a key set in the batch, want 2, true", value, ok)
	}
	if _, ok := tx.Get("old"); ok {
		t.Error("got a key that the batch has deleted")
	}
	if value, ok := tx.Committed().Get("old"); !ok || string(value) != "1" {
		t.Errorf("got %q, %t of the committed state, want 1, true", value, ok)
	}
}

func TestRollbackRemovesOneOperation(t *testing.T) {
	tx := New(open(t))
	tx.PutRaw("old", []byte("kept"))
	size, savepoint := tx.Size(), tx.Savepoint()
	tx.PutRaw("old", []byte("failed"))
	tx.PutRaw("other", []byte("failed"))
	tx.Rollback(savepoint)
	if value, _ := tx.Get("old"); string(value) != "kept" {
		t.Errorf("got %q after the rollback, want the value from before the savepoint", value)
	}
	if _, ok := tx.Get("other"); ok {
		t.Error("got a key that was set after the savepoint")
	}
	if tx.Size() != size || len(tx.Mutations()) != 1 {
		t.Errorf("got %d bytes in %d mutations, want %d in 1", tx.Size(), len(tx.Mutations()), size)
	}
}

func TestLastMutationsHaveEachKeyOnce(t *testing.T) {
	tx := New(open(t))
	tx.PutRaw("a", []byte("1"))
	tx.PutRaw("b", []byte("1"))
	tx.PutRaw("a", []byte("2"))
	got := tx.LastMutations()
	if len(got) != 2 || got[0].Key != "b" || got[1].Key != "a" || string(got[1].Value) != "2" {
		t.Errorf("got %v, want b, then a with its last value", got)
	}
}

func TestSameRecord(t *testing.T) {
	record := []byte("abc")
	for _, c := range []struct {
		name string
		a, b []byte
		want bool
	}{
		{"one value read twice", record, record, true},
		{"a value written again", record, []byte("abc"), false},
		{"a prefix of a value", record, record[:2], false},
		{"no values", nil, nil, false},
		{"a value and none", record, nil, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := SameRecord(c.a, c.b); got != c.want {
				t.Errorf("got %t, want %t", got, c.want)
			}
		})
	}
}

// The size counts each key once, with its last mutation, since only that is committed.
func TestSizeCountsLastMutations(t *testing.T) {
	tx := New(nil)
	tx.PutRaw("key", []byte("one"))
	tx.PutRaw("key", []byte("three"))
	savepoint := tx.Savepoint()
	tx.PutRaw("other", []byte("four"))
	if got, want := tx.Size(), len("key")+len("three")+len("other")+len("four"); got != want {
		t.Errorf("got %d bytes, want %d", got, want)
	}
	tx.PutRaw("key", nil)
	tx.Rollback(savepoint)
	if got, want := tx.Size(), len("key")+len("three"); got != want {
		t.Errorf("got %d bytes after a rollback, want %d", got, want)
	}
}
