package wire

import (
	"bytes"
	"testing"

	"github.com/tinylib/msgp/msgp"
)

// Frames of the formats one below and above are read; one further off is rejected.
func TestAdjacentFormatsInteroperate(t *testing.T) {
	for _, c := range []struct {
		format   uint8
		readable bool
	}{{FormatVersion - 1, true}, {FormatVersion, true}, {FormatVersion + 1, true}, {FormatVersion + 2, false}} {
		var b bytes.Buffer
		if err := writeFrame(&b, &Frame{Format: c.format, ID: 7, Kind: "core.beat", Body: []byte("x")}); err != nil {
			t.Fatal(err)
		}
		var f Frame
		if err := readFrame(&b, &f); (err == nil) != c.readable || c.readable && (f.ID != 7 || string(f.Body) != "x") {
			t.Errorf("format %d: got frame %+v and error %v, want it read: %v", c.format, f, err, c.readable)
		}
	}
	// A field that a later format added is skipped, one that it dropped reads as zero.
	m := msgp.AppendMapHeader(nil, 3)
	m = msgp.AppendString(m, "i")
	m = msgp.AppendUint64(m, 9)
	m = msgp.AppendString(m, "later")
	m = msgp.AppendString(m, "news")
	m = msgp.AppendString(m, "f")
	m = msgp.AppendUint8(m, FormatVersion+1)
	var f Frame
	if _, err := f.UnmarshalMsg(m); err != nil || f.ID != 9 || f.Kind != "" {
		t.Errorf("frame with an unknown field: got %+v and error %v, want ID 9 and no kind", f, err)
	}
}

// Whatever bytes come, readFrame returns a frame within the limits or an error.
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
