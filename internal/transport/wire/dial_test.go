package wire

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// startingNetwork connects to a machine that is down until upAt. A dial before that blocks, because the SYN to a machine
// without power is lost.
type startingNetwork struct {
	upAt     time.Time
	refuses  bool // no process listens there
	attempts atomic.Int32
	open     atomic.Int32
}

func (n *startingNetwork) Listen(string) (net.Listener, error) { return nil, errors.ErrUnsupported }

func (n *startingNetwork) Dial(ctx context.Context, _ string) (net.Conn, error) {
	n.attempts.Add(1)
	if time.Now().Before(n.upAt) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	time.Sleep(2 * time.Millisecond)
	if n.refuses {
		return nil, errors.New("refused")
	}
	n.open.Add(1)
	client, server := net.Pipe()
	go func() {
		_, _ = server.Read(make([]byte, 1)) // blocks until the client end is closed
		n.open.Add(-1)
	}()
	return client, nil
}

// A dial to a machine that starts meanwhile connects, or is refused, soon after the machine is up. A dial to a machine that
// stays down fails after dialTimeout. Surplus attempts leave no connection open.
func TestDialReachesAStartingMachine(t *testing.T) {
	for _, c := range []struct {
		name    string
		upAfter time.Duration
		refuses bool
		maxWait time.Duration
		reached bool
	}{
		{"up", 0, false, 5 * time.Millisecond, true},
		{"starts", 70 * time.Millisecond, false, 110 * time.Millisecond, true},
		{"starts without a process", 70 * time.Millisecond, true, 110 * time.Millisecond, false},
		{"down", time.Hour, false, dialTimeout + 5*time.Millisecond, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := &startingNetwork{upAt: time.Now().Add(c.upAfter), refuses: c.refuses}
				caller := NewCaller(n)
				started := time.Now()
				_, err := caller.connection(t.Context(), "10.0.0.1:1")
				if took := time.Since(started); took > c.maxWait || (err == nil) != c.reached {
					t.Errorf("got error %v after %s, want reached %v within %s", err, took, c.reached, c.maxWait)
				}
				time.Sleep(time.Second)
				if left := n.open.Load(); left > 1 || !c.reached && left > 0 {
					t.Errorf("got %d open connections after %d attempts, want at most one, and none if the dial failed", left, n.attempts.Load())
				}
				caller.Close()
				synctest.Wait()
			})
		})
	}
}
