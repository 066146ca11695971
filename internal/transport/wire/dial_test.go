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

// startingNet is a net to a machine that is dark until a moment: what was dialled before is lost, as the opening
// packet to a machine without power is.
type startingNetwork struct {
	upAt     time.Time
	refuses  bool // there is no process yet
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
	near, far := net.Pipe()
	go func() {
		far.Read(make([]byte, 1)) // until the near end is closed
		n.open.Add(-1)
	}()
	return near, nil
}

// A machine that starts while it is dialled is reached, or refuses, soon after it is up, and a machine that stays
// dark takes no longer than before. No connection is left over.
func TestDialReachesAStartingMachine(t *testing.T) {
	for _, c := range []struct {
		name    string
		upAfter time.Duration
		refuses bool
		most    time.Duration
		reached bool
	}{
		{"up", 0, false, 5 * time.Millisecond, true},
		{"starts", 70 * time.Millisecond, false, 110 * time.Millisecond, true},
		{"starts without a process", 70 * time.Millisecond, true, 110 * time.Millisecond, false},
		{"dark", time.Hour, false, dialTimeout + 5*time.Millisecond, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := &startingNetwork{upAt: time.Now().Add(c.upAfter), refuses: c.refuses}
				caller := NewCaller(n)
				begun := time.Now()
				_, err := caller.connection(t.Context(), "10.0.0.1:1")
				if took := time.Since(begun); took > c.most || (err == nil) != c.reached {
					t.Errorf("after %s (%s at most): %v", took, c.most, err)
				}
				time.Sleep(time.Second)
				if left := n.open.Load(); left > 1 || !c.reached && left > 0 {
					t.Errorf("%d connections are open after %d tries", left, n.attempts.Load())
				}
				caller.Close()
				synctest.Wait()
			})
		})
	}
}
