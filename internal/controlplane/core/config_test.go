package core

import (
	"bytes"
	"runtime"
	"testing"

	"yarrowridge/internal/controlplane/coreapi"
	"yarrowridge/internal/controlplane/store"
	"yarrowridge/internal/controlplane/transaction"
)

// wholeCodec takes any configuration: its document has one tenant whose quota is the length of the text.
type wholeCodec struct{ fleetConfigCodec }

func (wholeCodec) Check(raw []byte) (Document, []coreapi.ConfigError) {
	return Document{Quotas: map[string]int{"t": len(raw)}}, nil
}

// Each move of quota units asks for the configuration: it is decoded once, and anew once it has changed.
func TestMovesDecodeTheConfigurationOnce(t *testing.T) {
	const size = 200_000
	s, committed := quotaServer(t)
	s.settings.Codec = wholeCodec{}
	for sequence := uint64(1); sequence <= 2; sequence++ {
		tx := transaction.New(committed)
		raw := bytes.Repeat([]byte("x"), size*int(sequence))
		if err := tx.Put("layout", &coreapi.StoredConfig{Version: sequence, Raw: raw}); err != nil {
			t.Fatal(err)
		}
		if document, err := s.documentIn(tx); err != nil || document == nil || document.Quotas["t"] != len(raw) {
			t.Fatalf("configuration %d within its own batch: %+v, %v", sequence, document, err)
		}
		if err := committed.Append(store.Batch{Version: sequence, Mutations: tx.LastMutations()}); err != nil {
			t.Fatal(err)
		}
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		for range 100 {
			tx := transaction.New(committed)
			if document, err := s.documentIn(tx); err != nil || document == nil || document.Quotas["t"] != len(raw) {
				t.Fatalf("configuration %d: %+v, %v", sequence, document, err)
			}
		}
		runtime.ReadMemStats(&after)
		if used := after.TotalAlloc - before.TotalAlloc; used > 2*size {
			t.Errorf("%d bytes were allocated for a configuration of %d asked for 100 times", used, len(raw))
		}
	}
}

// A configuration that was read within a batch and never committed leaves nothing behind: another one that got its
// version later is read by its own text.
func TestUncommittedConfigurationLeavesNothing(t *testing.T) {
	s, committed := quotaServer(t)
	s.settings.Codec = wholeCodec{}
	lost := transaction.New(committed)
	if err := lost.Put(configKey, &coreapi.StoredConfig{Version: 7, Raw: []byte("lost")}); err != nil {
		t.Fatal(err)
	}
	if document, err := s.documentIn(lost); err != nil || document.Quotas["t"] != len("lost") {
		t.Fatalf("within its batch: %+v, %v", document, err)
	}
	acknowledged := coreapi.StoredConfig{Version: 7, Raw: []byte("acknowledged")}
	if document := s.parsedConfig(acknowledged); document.Quotas["t"] != len("acknowledged") {
		t.Errorf("version 7 is read with a quota of %d, the lost one's; %d expected", document.Quotas["t"], len("acknowledged"))
	}
	later := transaction.New(committed)
	if err := later.Put(configKey, &acknowledged); err != nil {
		t.Fatal(err)
	}
	if document, err := s.documentIn(later); err != nil || document.Quotas["t"] != len("acknowledged") {
		t.Errorf("moves see %+v, %v", document, err)
	}
}
