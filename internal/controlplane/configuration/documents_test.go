package configuration

import (
	"bytes"
	"runtime"
	"testing"

	"yarrowridge/internal/controlplane/coreapi"
	"yarrowridge/internal/controlplane/store"
	"yarrowridge/internal/controlplane/transaction"
)

// lengthCodec accepts any document. The result has one tenant, whose quota is the length of the document.
type lengthCodec struct{ FleetCodec }

func (lengthCodec) Check(raw []byte) (Document, []coreapi.ConfigError) {
	return Document{Quotas: map[string]int{"t": len(raw)}}, nil
}

// Every transfer of quota units needs the configuration, so it is decoded only when it has changed. Decoding it for each
// transfer would allocate far more memory than the limit checked here.
func TestConfigurationIsDecodedOnce(t *testing.T) {
	const size = 200_000
	documents, committed := New(lengthCodec{}), openStore(t)
	for version := uint64(1); version <= 2; version++ {
		tx := transaction.New(committed)
		raw := bytes.Repeat([]byte("x"), size*int(version))
		if err := tx.Put(currentKey, &coreapi.StoredConfig{Version: version, Raw: raw}); err != nil {
			t.Fatal(err)
		}
		if document, err := documents.InBatch(tx); err != nil || document == nil || document.Quotas["t"] != len(raw) {
			t.Fatalf("got %+v, %v within the batch that writes version %d, want a quota of %d", document, err, version, len(raw))
		}
		if err := committed.Append(store.Batch{Version: version, Mutations: tx.LastMutations()}); err != nil {
			t.Fatal(err)
		}
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		for range 100 {
			tx := transaction.New(committed)
			if document, err := documents.InBatch(tx); err != nil || document == nil || document.Quotas["t"] != len(raw) {
				t.Fatalf("got %+v, %v for version %d, want a quota of %d", document, err, version, len(raw))
			}
		}
		runtime.ReadMemStats(&after)
		if used := after.TotalAlloc - before.TotalAlloc; used > 2*size {
			t.Errorf("got %d bytes allocated for 100 reads of a configuration of %d bytes, want at most %d", used, len(raw), 2*size)
		}
	}
}

// A configuration that was read within a batch but never committed must not stay in the cache: another configuration that
// later gets the same version is decoded from its own content.
func TestUncommittedConfigurationIsNotReused(t *testing.T) {
	documents, committed := New(lengthCodec{}), openStore(t)
	uncommitted := transaction.New(committed)
	if err := uncommitted.Put(currentKey, &coreapi.StoredConfig{Version: 7, Raw: []byte("lost")}); err != nil {
		t.Fatal(err)
	}
	if document, err := documents.InBatch(uncommitted); err != nil || document.Quotas["t"] != len("lost") {
		t.Fatalf("got %+v, %v within its own batch", document, err)
	}
	acknowledged := coreapi.StoredConfig{Version: 7, Raw: []byte("acknowledged")}
	if document := documents.Decode(acknowledged); document.Quotas["t"] != len("acknowledged") {
		t.Errorf("got a quota of %d for version 7, want %d", document.Quotas["t"], len("acknowledged"))
	}
	later := transaction.New(committed)
	if err := later.Put(currentKey, &acknowledged); err != nil {
		t.Fatal(err)
	}
	if document, err := documents.InBatch(later); err != nil || document.Quotas["t"] != len("acknowledged") {
		t.Errorf("got %+v, %v for a later batch", document, err)
	}
}
