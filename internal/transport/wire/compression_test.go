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

// countingConn counts the bytes written to a connection.
type countingConn struct {
	net.Conn
	written *atomic.Int64
}

func (c countingConn) Write(b []byte) (int, error) {
	c.written.Add(int64(len(b)))
	return c.Conn.Write(b)
}

// countingNetwork counts the bytes written to its connections.
type countingNetwork struct {
	TCP
	written *atomic.Int64
}

func (c countingNetwork) Dial(ctx context.Context, addr string) (net.Conn, error) {
	conn, err := c.TCP.Dial(ctx, addr)
	return countingConn{conn, c.written}, err
}

// Large bodies are compressed both ways once the peer has said that it accepts it, and arrive unchanged, up to 4 MB.
func TestLargeBodiesAreCompressed(t *testing.T) {
	listener := listen(t)
	go Serve(t.Context(), listener, func(_ context.Context, _ string, body []byte) (msgp.Marshaler, error) {
		var in text
		_, err := in.UnmarshalMsg(body)
		return in, err
	})
	var sent atomic.Int64
	caller := newCaller(t, countingNetwork{written: &sent})
	for i, size := range []int{150_000, 150_000, 4 << 20, 100, compressAboveBytes} {
		in, out := text(strings.Repeat("a configuration. ", size/17+1)), text("")
		before := sent.Load()
		if err := caller.Call(t.Context(), listener.Addr().String(), "a.echo", in, &out); err != nil || in != out {
			t.Fatalf("echo of %d bytes: got error %v, same %v; want it back unchanged", size, err, in == out)
		}
		wrote := sent.Load() - before
		t.Logf("%d bytes: %d on the wire", len(in), wrote)
		if i == 0 && wrote < int64(size) {
			t.Errorf("first call: got %d bytes on the wire, want %d at least: the peer has not said that it accepts compressed bodies", wrote, size)
		}
		if i > 0 && size > compressAboveBytes && wrote > int64(size)/5 {
			t.Errorf("body of %d bytes: got %d on the wire, want at most %d", size, wrote, size/5)
		}
	}
}

// A caller that does not say that it accepts compressed bodies gets none.
func TestPeersWithoutCompressionGetPlainBodies(t *testing.T) {
	near, far := net.Pipe()
	go serveConnection(t.Context(), far, func(context.Context, string, []byte) (msgp.Marshaler, error) {
		return text(strings.Repeat("x", 50_000)), nil
	})
	go func() {
		if err := writeFrame(near, &Frame{Format: FormatVersion, ID: 1, Kind: "a.b"}); err != nil {
			t.Errorf("write a call: %v", err)
		}
	}()
	var head [4]byte
	if _, err := near.Read(head[:]); err != nil {
		t.Fatal(err)
	}
	if n := binary.BigEndian.Uint32(head[:]); n < 50_000 {
		t.Errorf("got a response of %d bytes, want 50000 at least: uncompressed", n)
	}
	closeQuietly(near)
}

// A body that claims to be larger than a frame may be, or that is not compressed at all, is rejected.
func TestInvalidCompressedBodiesAreRejected(t *testing.T) {
	noise := make([]byte, 5000)
	for i := range noise {
		noise[i] = byte(rand.Uint32())
	}
	f := Frame{Body: noise}
	if f.compress(); f.Compressed {
		t.Error("got noise compressed, want it left alone: it does not get smaller")
	}
	for _, body := range [][]byte{nil, {0xff}, s2.Encode(nil, make([]byte, MaxBodyBytes+1)), s2.Encode(nil, bytes.Repeat([]byte("x"), 9000))[:9]} {
		f := Frame{Format: FormatVersion, Body: body, Compressed: true}
		var b bytes.Buffer
		if err := writeFrame(&b, &f); err != nil {
			t.Fatal(err)
		}
		var got Frame
		if readFrame(&b, &got) == nil {
			t.Errorf("body of %d bytes: read without an error, want it rejected", len(body))
		}
	}
}
