package wire

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/tinylib/msgp/msgp"
)

// echoed is a call's body that comes back as its response.
type echoed = msgp.Raw

// Many calls share a connection, are answered in any order, and some are given up before their response comes: none ever
// gets the response of another one.
func TestLateResponsesReachNoOtherCall(t *testing.T) {
	listener := listen(t)
	echo := func(_ context.Context, _ string, body []byte) (msgp.Marshaler, error) {
		time.Sleep(rand.N(6 * time.Millisecond))
		return echoed(body), nil
	}
	go Serve(t.Context(), listener, echo)
	caller := newCaller(t, TCP{})
	var mu sync.Mutex
	var all sync.WaitGroup
	answered, givenUp := 0, 0
	for i := range 2000 {
		all.Go(func() {
			time.Sleep(rand.N(200 * time.Millisecond))
			ctx, cancel := context.WithTimeout(t.Context(), rand.N(8*time.Millisecond)+time.Millisecond)
			defer cancel()
			var got echoed
			err := caller.Call(ctx, listener.Addr().String(), "test.echo", echoed(msgp.AppendInt(nil, i)), &got)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				givenUp++
				if !errors.Is(err, ErrOutcomeUnknown) && !errors.Is(err, ErrUnsent) {
					t.Errorf("call %d: got error %v, want ErrOutcomeUnknown or ErrUnsent", i, err)
				}
				return
			}
			answered++
			if number, _, err := msgp.ReadIntBytes(got); err != nil || number != i {
				t.Errorf("call %d: got the response of call %d (%v), want its own", i, number, err)
			}
		})
	}
	all.Wait()
	if answered == 0 || givenUp == 0 {
		t.Errorf("got %d calls answered and %d given up, want some of both", answered, givenUp)
	}
}

// The outcome of a call whose connection is reset after it was sent is unknown, and it is not sent again: the server sees
// each call once at most.
func TestResetCallIsNotRetransmitted(t *testing.T) {
	listener := listen(t)
	var mu sync.Mutex
	seen := map[int]int{}
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				var call Frame
				for range 3 { // three calls, then a reset without a response
					if readFrame(connection, &call) != nil {
						break
					}
					number, _, _ := msgp.ReadIntBytes(call.Body)
					mu.Lock()
					seen[number]++
					mu.Unlock()
				}
				_ = connection.(*net.TCPConn).SetLinger(0) // without it the connection is closed and not reset
				closeQuietly(connection)
			}()
		}
	}()
	caller := newCaller(t, TCP{})
	var all sync.WaitGroup
	for i := range 200 {
		all.Go(func() {
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			err := caller.Call(ctx, listener.Addr().String(), "test.once", echoed(msgp.AppendInt(nil, i)), nil)
			mu.Lock()
			defer mu.Unlock()
			if err == nil || seen[i] > 1 || seen[i] == 1 && !errors.Is(err, ErrOutcomeUnknown) {
				t.Errorf("call %d: got error %v, seen %d times; want an error, ErrOutcomeUnknown where seen, and seen once at most", i, err, seen[i])
			}
		})
	}
	all.Wait()
}
