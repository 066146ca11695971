package core

import (
	"bytes"
	"runtime"
	"testing"

	"yarrowridge/internal/store"
)

// wholeCodec takes any configuration: its document has one tenant whose quota is the length of the text.
type wholeCodec struct{ layoutCodec }

func (wholeCodec) Check(raw []byte) (Document, []Flaw) {
	return Document{Quotas: map[string]int{"t": len(raw)}}, nil
}

// Each move of quota units asks for the configuration: it is decoded once, and anew once it has changed.
func TestMovesDecodeTheConfigurationOnce(t *testing.T) {
	const size = 200_000
	s, st := quotaServer(t)
	s.set.Codec = wholeCodec{}
	for sequence := uint64(1); sequence <= 2; sequence++ {
		tx := &Tx{st: st, over: map[string]*store.Put{}}
		raw := bytes.Repeat([]byte("x"), size*int(sequence))
		if err := tx.Put("layout", &Sheet{Seq: sequence, Raw: raw}); err != nil {
			t.Fatal(err)
		}
		if doc, err := s.documentIn(tx); err != nil || doc == nil || doc.Quotas["t"] != len(raw) {
			t.Fatalf("configuration %d within its own batch: %+v, %v", sequence, doc, err)
		}
		if err := st.Add(store.Batch{Seq: sequence, Puts: tx.last()}); err != nil {
			t.Fatal(err)
		}
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		for range 100 {
			tx := &Tx{st: st, over: map[string]*store.Put{}}
			if doc, err := s.documentIn(tx); err != nil || doc == nil || doc.Quotas["t"] != len(raw) {
				t.Fatalf("configuration %d: %+v, %v", sequence, doc, err)
			}
		}
		runtime.ReadMemStats(&after)
		if used := after.TotalAlloc - before.TotalAlloc; used > 2*size {
			t.Errorf("%d bytes were allocated for a configuration of %d asked for 100 times", used, len(raw))
		}
	}
}
