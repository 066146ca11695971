package dissemination

import "testing"

// An array length above the limit is rejected before memory is allocated for it.
func TestInvalidLengthIsRejected(t *testing.T) {
	raw := []byte{0x82, 0xa1, 'f', 0xa1, 'x', 0xa1, 'r', 0xdd, 0xff, 0xff, 0xff, 0xf0} // an array of 2^32-16 records
	if n := testing.AllocsPerRun(1, func() {
		var update Update
		if _, err := update.UnmarshalMsg(raw); err == nil {
			t.Error("got no error, want the update rejected")
		}
	}); n > 20 {
		t.Errorf("got %g allocations, want at most 20", n)
	}
}
