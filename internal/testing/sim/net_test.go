package sim

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"yarrowridge/internal/transport/tcp"
)

// connect opens a connection between two machines and returns both ends, the dialling one first.
func connect(t *testing.T, world *World) (near, far net.Conn) {
	t.Helper()
	server, crashServer := world.Net("10.0.0.1:1")
	client, crashClient := world.Net("10.0.0.2:1")
	t.Cleanup(crashServer)
	t.Cleanup(crashClient)
	listener, err := server.Listen("10.0.0.1:1")
	if err != nil {
		t.Fatal(err)
	}
	near, err = client.Dial(context.Background(), "10.0.0.1:1")
	if err != nil {
		t.Fatal(err)
	}
	far, err = listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	return near, far
}

// As with TCP, data that is delayed by a cut waits at its sender: an orderly close still delivers it, an abort discards it.
// Data that arrived before the cut is read in any case.
func TestAbortDiscardsDataDelayedByCut(t *testing.T) {
	tests := []struct {
		name       string
		abort, cut bool
		want       string
		wantErr    error
	}{
		{"orderly close", false, false, "early late", nil},
		{"abort", true, false, "early late", syscall.ECONNRESET},
		{"orderly close in a cut", false, true, "early late", nil},
		{"abort in a cut", true, true, "early ", os.ErrDeadlineExceeded}, // the reset is lost as well
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				world := NewWorld(1)
				near, far := connect(t, world)
				send := func(text string) {
					if _, err := io.WriteString(near, text); err != nil {
						t.Fatal(err)
					}
				}
				send("early ")
				time.Sleep(time.Second)
				if test.cut {
					world.Cut("10.0.0.2:1", "10.0.0.1:1")
				}
				send("late")
				if test.abort {
					if err := tcp.AbortOnClose(near); err != nil {
						t.Fatal(err)
					}
				}
				if err := near.Close(); err != nil {
					t.Fatal(err)
				}
				time.Sleep(time.Second)
				world.Heal()
				if err := far.SetReadDeadline(time.Now().Add(time.Minute)); err != nil {
					t.Fatal(err)
				}
				got, err := io.ReadAll(far)
				if string(got) != test.want || !errors.Is(err, test.wantErr) {
					t.Errorf("got %q and error %v, want %q and %v", got, err, test.want, test.wantErr)
				}
			})
		})
	}
}
