package hashing

import "testing"

// The values must never change: routers of different versions have to choose the same runner.
func TestMixIsStable(t *testing.T) {
	for hash, want := range map[uint64]uint64{0: 0, 1: 0xff51afd792fd5b26, 0xcbf29ce484222325: 0xecba3df2c3383c52} {
		if got := Mix(hash); got != want {
			t.Errorf("Mix(%#x): got %#x, want %#x", hash, got, want)
		}
	}
}
