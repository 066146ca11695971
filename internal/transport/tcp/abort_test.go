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
	// receiveBufferBytes is small, so that most of what is sent waits at the sender while nobody reads.
	receiveBufferBytes = 4 << 10
	// sendBufferBytes holds all of what is sent.
	sendBufferBytes = 1 << 20
	payloadBytes    = 256 << 10
)

// connectedPair returns both ends of a loopback connection whose receiver has a small buffer.
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

// A receiver does not read while a sender writes and gives up. After an orderly close it reads all that was written; after
// an abort what had not reached it is gone.
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
				t.Errorf("got %d of %d bytes and error %v, want all: %v, error %v", len(received), payloadBytes, err, test.wantAll, test.wantErr)
			}
		})
	}
}

// A connection without the option closes as it always does.
func TestAbortOnCloseOfAPipe(t *testing.T) {
	near, far := net.Pipe()
	t.Cleanup(func() { _ = far.Close() })
	if err := AbortOnClose(near); err != nil {
		t.Errorf("got error %v, want none", err)
	}
	if err := near.Close(); err != nil {
		t.Errorf("Close: got error %v, want none", err)
	}
}
