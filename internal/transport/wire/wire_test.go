package wire

import (
	"bytes"
	"context"
	"errors"
	"net"
	"testing"

	"github.com/tinylib/msgp/msgp"
)

// Neighbours of two adjacent formats talk; one further off is not understood.
func TestAdjacentFormatsInteroperate(t *testing.T) {
	for _, c := range []struct {
		fmt  uint8
		good bool
	}{{FormatVersion - 1, true}, {FormatVersion, true}, {FormatVersion + 1, true}, {FormatVersion + 2, false}} {
		var b bytes.Buffer
		if err := writeFrame(&b, &Frame{Format: c.fmt, ID: 7, Kind: "core.beat", Body: []byte("x")}); err != nil {
			t.Fatal(err)
		}
		var f Frame
		if err := readFrame(&b, &f); (err == nil) != c.good || c.good && (f.ID != 7 || string(f.Body) != "x") {
			t.Errorf("format %d: %v %+v", c.fmt, err, f)
		}
	}
	// A field that a later format added is passed over, one that it dropped reads as nothing.
	m := msgp.AppendMapHeader(nil, 3)
	m = msgp.AppendString(m, "i")
	m = msgp.AppendUint64(m, 9)
	m = msgp.AppendString(m, "later")
	m = msgp.AppendString(m, "news")
	m = msgp.AppendString(m, "f")
	m = msgp.AppendUint8(m, FormatVersion+1)
	var f Frame
	if _, err := f.UnmarshalMsg(m); err != nil || f.ID != 9 || f.Kind != "" {
		t.Errorf("a frame with a later field: %v %+v", err, f)
	}
}

// What the caller is told of a call that failed: surely not carried out, perhaps, or a plain no.
func TestCallErrorsTellOutcome(t *testing.T) {
	ctx, end := context.WithCancel(t.Context())
	defer end()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	at := l.Addr().String()
	served := make(chan struct{})
	go func() {
		defer close(served)
		Serve(ctx, l, func(ctx context.Context, kind string, _ []byte) (msgp.Marshaler, error) {
			if kind == "a.no" {
				return nil, StatusError{"not-primary"}
			}
			<-ctx.Done()
			return nil, ctx.Err()
		})
	}()
	cal := NewCaller(TCP{})
	defer cal.Close()
	if err := cal.Call(ctx, at, "a.no", nil, nil); !HasCode(err, "not-primary") || errors.Is(err, ErrOutcomeUnknown) {
		t.Errorf("a no came as %v", err)
	}
	one, stop := context.WithCancel(ctx)
	go stop()
	if err := cal.Call(one, at, "a.wait", nil, nil); !errors.Is(err, ErrOutcomeUnknown) && !errors.Is(err, ErrUnsent) {
		t.Errorf("a call given up on came as %v", err)
	}
	done := make(chan error, 1)
	go func() { done <- cal.Call(ctx, at, "a.wait", nil, nil) }()
	end()
	if err := <-done; !errors.Is(err, ErrOutcomeUnknown) && !errors.Is(err, ErrUnsent) {
		t.Errorf("a broken call came as %v", err)
	}
	l.Close()
	<-served // until then the system takes connections
	if err := NewCaller(TCP{}).Call(t.Context(), at, "a.no", nil, nil); !errors.Is(err, ErrUnsent) {
		t.Errorf("a call to nobody came as %v", err)
	}
}

// Whatever bytes come, reading a frame ends in a frame or a plain error.
func FuzzReadFrame(f *testing.F) {
	var b bytes.Buffer
	writeFrame(&b, &Frame{Format: FormatVersion, ID: 1, Kind: "a.b", Body: []byte("c")})
	f.Add(b.Bytes())
	f.Add([]byte{0, 0, 0, 2, 0x81, 0xa1})
	f.Add([]byte{0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, raw []byte) {
		var out Frame
		if err := readFrame(bytes.NewReader(raw), &out); err == nil && len(out.Body) > MaxFrameBytes+1024 {
			t.Error("a frame over the bound was read")
		}
	})
}
