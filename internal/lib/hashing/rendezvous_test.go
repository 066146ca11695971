package hashing

import "testing"

// The values must never change: routers of different versions have to choose the same runner.
func TestRendezvousWeightIsStable(t *testing.T) {
	for _, c := range []struct {
		key  uint64
		node string
		want uint64
	}{
		{0, "", 0x30fffcdfbbbc3f43},
		{1, "r-1", 0xf2647497955a3895},
		{0xcbf29ce484222325, "10.0.3.1:1", 0xec51e065c9e16f10},
	} {
		if got := RendezvousWeight(c.key, c.node); got != c.want {
			t.Errorf("RendezvousWeight(%#x, %q): got %#x, want %#x", c.key, c.node, got, c.want)
		}
	}
}
