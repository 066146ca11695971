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

// rawMessage is a msgp-encoded body, which the echo handler returns unchanged.
type rawMessage = msgp.Raw

// Many calls share a connection, their responses arrive in any order, and some calls are abandoned before that. No call may
// receive the response of another.
func TestLateResponsesReachNoOtherCall(t *testing.T) {
	listener := listen(t)
	echo := func(_ context.Context, _ string, body []byte) (msgp.Marshaler, error) {
		time.Sleep(rand.N(6 * time.Millisecond))
		return rawMessage(body), nil
	}
	go Serve(t.Context(), listener, echo)
	caller := newCaller(t, TCP{})
	var mu sync.Mutex
	var all sync.WaitGroup
	answered, abandoned := 0, 0
	for i := range 2000 {
		all.Go(func() {
			time.Sleep(rand.N(200 * time.Millisecond))
			ctx, cancel := context.WithTimeout(t.Context(), rand.N(8*time.Millisecond)+time.Millisecond)
			defer cancel()
			var got rawMessage
			err := caller.Call(ctx, listener.Addr().String(), "test.echo", rawMessage(msgp.AppendInt(nil, i)), &got)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				abandoned++
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
	if answered == 0 || abandoned == 0 {
		t.Errorf("got %d calls answered and %d abandoned, want some of both", answered, abandoned)
	}
}

// If the connection is reset after a call was sent, the call's outcome is unknown. It is not sent again: the server receives
// each call at most once.
func TestResetCallIsNotRetransmitted(t *testing.T) {
	listener := listen(t)
	var mu sync.Mutex
	received := map[int]int{}
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				var call Frame
				for range 3 { // reads up to three calls and then resets the connection without a response
					if readFrame(connection, &call) != nil {
						break
					}
					number, _, _ := msgp.ReadIntBytes(call.Body)
					mu.Lock()
					received[number]++
					mu.Unlock()
				}
				_ = connection.(*net.TCPConn).SetLinger(0) // makes Close reset the connection
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
			err := caller.Call(ctx, listener.Addr().String(), "test.once", rawMessage(msgp.AppendInt(nil, i)), nil)
			mu.Lock()
			defer mu.Unlock()
			if err == nil || received[i] > 1 || received[i] == 1 && !errors.Is(err, ErrOutcomeUnknown) {
				t.Errorf("call %d: got error %v, received %d times; want an error, which is ErrOutcomeUnknown if it was received, and at most one receipt", i, err, received[i])
			}
		})
	}
	all.Wait()
}
