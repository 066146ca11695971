package wire

import (
	"bytes"
	"testing"

	"github.com/tinylib/msgp/msgp"
)

// Frames of the previous and the next format are accepted; those of other formats are rejected.
func TestAdjacentFormatsInteroperate(t *testing.T) {
	for _, c := range []struct {
		format   uint8
		accepted bool
	}{{FormatVersion - 1, true}, {FormatVersion, true}, {FormatVersion + 1, true}, {FormatVersion + 2, false}} {
		var b bytes.Buffer
		if err := writeFrame(&b, &Frame{Format: c.format, ID: 7, Kind: "core.beat", Body: []byte("x")}); err != nil {
			t.Fatal(err)
		}
		var f Frame
		if err := readFrame(&b, &f); (err == nil) != c.accepted || c.accepted && (f.ID != 7 || string(f.Body) != "x") {
			t.Errorf("format %d: got frame %+v and error %v, want it accepted: %v", c.format, f, err, c.accepted)
		}
	}
	// A field that the next format adds is skipped; a field that it removes is zero.
	raw := msgp.AppendMapHeader(nil, 3)
	raw = msgp.AppendString(raw, "i")
	raw = msgp.AppendUint64(raw, 9)
	raw = msgp.AppendString(raw, "later")
	raw = msgp.AppendString(raw, "news")
	raw = msgp.AppendString(raw, "f")
	raw = msgp.AppendUint8(raw, FormatVersion+1)
	var f Frame
	if _, err := f.UnmarshalMsg(raw); err != nil || f.ID != 9 || f.Kind != "" {
		t.Errorf("frame with an unknown field: got %+v and error %v, want ID 9 and no kind", f, err)
	}
}

// For any input, readFrame returns a frame within the limits or an error.
func FuzzReadFrame(f *testing.F) {
	var b bytes.Buffer
	if err := writeFrame(&b, &Frame{Format: FormatVersion, ID: 1, Kind: "a.b", Body: []byte("c")}); err != nil {
		f.Fatal(err)
	}
	f.Add(b.Bytes())
	f.Add([]byte{0, 0, 0, 2, 0x81, 0xa1})
	f.Add([]byte{0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, raw []byte) {
		var out Frame
		if err := readFrame(bytes.NewReader(raw), &out); err == nil && len(out.Body) > MaxBodyBytes+1024 {
			t.Errorf("got a body of %d bytes, want at most %d", len(out.Body), MaxBodyBytes+1024)
		}
	})
}
