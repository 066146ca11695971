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

// message is a message that consists of one string.
type message string

func (t message) MarshalMsg(b []byte) ([]byte, error) { return msgp.AppendString(b, string(t)), nil }

func (t *message) UnmarshalMsg(b []byte) ([]byte, error) {
	s, rest, err := msgp.ReadStringBytes(b)
	*t = message(s)
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

// Large bodies, here up to 4 MiB, are compressed in both directions once the peer has announced that it accepts compressed
// bodies, and arrive unchanged.
func TestLargeBodiesAreCompressed(t *testing.T) {
	listener := listen(t)
	go Serve(t.Context(), listener, func(_ context.Context, _ string, body []byte) (msgp.Marshaler, error) {
		var in message
		_, err := in.UnmarshalMsg(body)
		return in, err
	})
	var sent atomic.Int64
	caller := newCaller(t, countingNetwork{written: &sent})
	for i, size := range []int{150_000, 150_000, 4 << 20, 100, compressAboveBytes} {
		in, out := message(strings.Repeat("a configuration. ", size/17+1)), message("")
		before := sent.Load()
		if err := caller.Call(t.Context(), listener.Addr().String(), "a.echo", in, &out); err != nil || in != out {
			t.Fatalf("echo of %d bytes: got error %v, unchanged %v; want the same body back", size, err, in == out)
		}
		written := sent.Load() - before
		t.Logf("%d bytes: %d on the wire", len(in), written)
		if i == 0 && written < int64(size) {
			t.Errorf("first call: got %d bytes on the wire, want at least %d: the peer has not announced yet that it accepts compressed bodies", written, size)
		}
		if i > 0 && size > compressAboveBytes && written > int64(size)/5 {
			t.Errorf("body of %d bytes: got %d on the wire, want at most %d", size, written, size/5)
		}
	}
}

// A caller that does not announce that it accepts compressed bodies receives uncompressed ones.
func TestPeersWithoutCompressionGetUncompressedBodies(t *testing.T) {
	client, server := net.Pipe()
	go serveConnection(t.Context(), server, func(context.Context, string, []byte) (msgp.Marshaler, error) {
		return message(strings.Repeat("x", 50_000)), nil
	})
	go func() {
		if err := writeFrame(client, &Frame{Format: FormatVersion, ID: 1, Kind: "a.b"}); err != nil {
			t.Errorf("write the call: %v", err)
		}
	}()
	var prefix [4]byte
	if _, err := client.Read(prefix[:]); err != nil {
		t.Fatal(err)
	}
	if n := binary.BigEndian.Uint32(prefix[:]); n < 50_000 {
		t.Errorf("got a response of %d bytes, want at least 50000, uncompressed", n)
	}
	closeQuietly(client)
}

// A body that declares a decompressed size above MaxBodyBytes, or that is not validly compressed, is rejected.
func TestInvalidCompressedBodiesAreRejected(t *testing.T) {
	random := make([]byte, 5000)
	for i := range random {
		random[i] = byte(rand.Uint32())
	}
	f := Frame{Body: random}
	if f.compress(); f.Compressed {
		t.Error("got random bytes compressed, want them unchanged: compression does not make them smaller")
	}
	for _, body := range [][]byte{nil, {0xff}, s2.Encode(nil, make([]byte, MaxBodyBytes+1)), s2.Encode(nil, bytes.Repeat([]byte("x"), 9000))[:9]} {
		f := Frame{Format: FormatVersion, Body: body, Compressed: true}
		var b bytes.Buffer
		if err := writeFrame(&b, &f); err != nil {
			t.Fatal(err)
		}
		var got Frame
		if readFrame(&b, &got) == nil {
			t.Errorf("body of %d bytes: got no error, want it rejected", len(body))
		}
	}
}
