package tcp

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"
)

const (
	// receiveBufferBytes is small, so that most of the payload stays in the sender's buffer until the receiver reads.
	receiveBufferBytes = 4 << 10
	// sendBufferBytes is large enough for the whole payload.
	sendBufferBytes = 1 << 20
	payloadBytes    = 256 << 10
)

// connectedPair returns both ends of a loopback connection whose receiver has a small receive buffer.
func connectedPair(t *testing.T) (sender, receiver *net.TCPConn) {
	t.Helper()
	listener, err := net.ListenTCP("tcp4", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	raw, err := listener.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	if err := raw.Control(func(descriptor uintptr) { // accepted connections inherit it
		err = syscall.SetsockoptInt(int(descriptor), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBufferBytes)
	}); err != nil {
		t.Fatal(err)
	}
	if err != nil {
		t.Fatal(err)
	}
	sender, err = net.DialTCP("tcp4", nil, listener.Addr().(*net.TCPAddr))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = sender.Close() })
	if err := sender.SetWriteBuffer(sendBufferBytes); err != nil {
		t.Fatal(err)
	}
	receiver, err = listener.AcceptTCP()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = receiver.Close() })
	return sender, receiver
}

// The receiver starts to read only after the sender has written and closed. After an orderly close it reads all bytes;
// after an abort it gets a reset, and the bytes that it had not received yet are lost.
func TestAbortOnCloseDiscardsUnsentBytes(t *testing.T) {
	tests := []struct {
		name    string
		abort   bool
		wantAll bool
		wantErr error
	}{
		{"orderly close", false, true, nil},
		{"abort", true, false, syscall.ECONNRESET},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			sender, receiver := connectedPair(t)
			if _, err := sender.Write(make([]byte, payloadBytes)); err != nil {
				t.Fatal(err)
			}
			if test.abort {
				if err := AbortOnClose(sender); err != nil {
					t.Fatal(err)
				}
			}
			if err := sender.Close(); err != nil {
				t.Fatal(err)
			}
			if err := receiver.SetReadDeadline(time.Now().Add(10 * time.Second)); err != nil {
				t.Fatal(err)
			}
			received, err := io.ReadAll(receiver)
			if gotAll := len(received) == payloadBytes; gotAll != test.wantAll || !errors.Is(err, test.wantErr) {
				t.Errorf("got %d of %d bytes and error %v, want all bytes: %v, error %v", len(received), payloadBytes, err, test.wantAll, test.wantErr)
			}
		})
	}
}

// AbortOnClose does not change how a connection without SO_LINGER closes.
func TestAbortOnCloseWithoutLinger(t *testing.T) {
	client, server := net.Pipe()
	t.Cleanup(func() { _ = server.Close() })
	if err := AbortOnClose(client); err != nil {
		t.Errorf("got error %v, want none", err)
	}
	if err := client.Close(); err != nil {
		t.Errorf("Close: got error %v, want none", err)
	}
}
