package wire

import (
	"bytes"
	"context"
	"encoding/binary"
	"math/rand/v2"
	"net"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/klauspost/compress/s2"
	"github.com/tinylib/msgp/msgp"
)

// text is a message of one string.
type text string

func (t text) MarshalMsg(b []byte) ([]byte, error) { return msgp.AppendString(b, string(t)), nil }

func (t *text) UnmarshalMsg(b []byte) ([]byte, error) {
	s, rest, err := msgp.ReadStringBytes(b)
	*t = text(s)
	return rest, err
}

// counted counts the bytes written to a connection.
type countingConn struct {
	net.Conn
	written *atomic.Int64
}

func (c countingConn) Write(b []byte) (int, error) {
	c.written.Add(int64(len(b)))
	return c.Conn.Write(b)
}

type countingNetwork struct {
	TCP
	written *atomic.Int64
}

func (c countingNetwork) Dial(ctx context.Context, addr string) (net.Conn, error) {
	con, err := c.TCP.Dial(ctx, addr)
	return countingConn{con, c.written}, err
}

// Large bodies shrink both ways once both sides are known to read it, and arrive whole, up to 4 MB.
func TestLargeBodiesAreCompressed(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go Serve(t.Context(), l, func(_ context.Context, _ string, body []byte) (msgp.Marshaler, error) {
		var in text
		_, err := in.UnmarshalMsg(body)
		return in, err
	})
	var sent atomic.Int64
	cal := NewCaller(countingNetwork{written: &sent})
	defer cal.Close()
	for i, size := range []int{150_000, 150_000, 4 << 20, 100, compressAboveBytes} {
		in, out := text(strings.Repeat("a configuration. ", size/17+1)), text("")
		before := sent.Load()
		if err := cal.Call(t.Context(), l.Addr().String(), "a.echo", in, &out); err != nil || in != out {
			t.Fatalf("%d bytes: %v, same %v", size, err, in == out)
		}
		wrote := sent.Load() - before
		t.Logf("%d bytes: %d on the wire", len(in), wrote)
		if i == 0 && wrote < int64(size) {
			t.Error("the first call was compressed before the far side had said that it reads it")
		}
		if i > 0 && size > compressAboveBytes && wrote > int64(size)/5 {
			t.Errorf("%d bytes took %d on the wire", size, wrote)
		}
	}
}

// A caller that does not say it reads compressed bodies gets none, and one that did not hear so sends none.
func TestPeersWithoutCompressionGetPlainBodies(t *testing.T) {
	near, far := net.Pipe()
	go serveConnection(t.Context(), far, func(context.Context, string, []byte) (msgp.Marshaler, error) {
		return text(strings.Repeat("x", 50_000)), nil
	})
	go writeFrame(near, &Frame{Format: FormatVersion, ID: 1, Kind: "a.b"})
	var head [4]byte
	if _, err := near.Read(head[:]); err != nil {
		t.Fatal(err)
	}
	if n := binary.BigEndian.Uint32(head[:]); n < 50_000 {
		t.Errorf("an older caller got a frame of %d bytes", n)
	}
	near.Close()
}

// A body that claims to be larger than a frame may be, or is no compressed one, is refused.
func TestInvalidCompressedBodiesAreRejected(t *testing.T) {
	noise := make([]byte, 5000)
	for i := range noise {
		noise[i] = byte(rand.Uint32())
	}
	f := Frame{Body: noise}
	if f.compress(); f.Compressed {
		t.Error("noise was compressed")
	}
	for _, body := range [][]byte{nil, {0xff}, s2.Encode(nil, make([]byte, MaxFrameBytes+1)), s2.Encode(nil, bytes.Repeat([]byte("x"), 9000))[:9]} {
		f := Frame{Format: FormatVersion, Body: body, Compressed: true}
		var b bytes.Buffer
		if err := writeFrame(&b, &f); err != nil {
			t.Fatal(err)
		}
		var got Frame
		if readFrame(&b, &got) == nil {
			t.Errorf("%d bytes were taken as a compressed body", len(body))
		}
	}
}
