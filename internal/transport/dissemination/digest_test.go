package dissemination

import "testing"

// Nodes of different releases compare digests, so neither the shard of a key nor the digest of a version may ever change.
// The expected values were computed from the definition of FNV-1a, independently of this package.
func TestDigestsNeverChange(t *testing.T) {
	store := NewStore(nil)
	store.Merge([]Record{{Key: "runners/x", Generation: 1, Version: 0x0102030405060708, Body: []byte("not in the digest")}})
	for i, got := range store.Digests("a").Shards {
		want := uint64(0)
		if i == 53 {
			want = 0x3cc9bf244cc2f54c
		}
		if got != want {
			t.Errorf("shard %d: got digest %#x, want %#x", i, got, want)
		}
	}
}
