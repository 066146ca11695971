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

// echoed is a call's body that comes back as its answer.
type echoed = msgp.Raw

// Many calls share a connection, are answered in any order, and some are given up on before their answer comes: none is
// ever given the answer of another one.
func TestLateResponsesReachNoOtherCall(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	answer := func(_ context.Context, _ string, body []byte) (msgp.Marshaler, error) {
		time.Sleep(rand.N(6 * time.Millisecond))
		return echoed(body), nil
	}
	go Serve(t.Context(), listener, answer)
	caller := NewCaller(TCP{})
	defer caller.Close()
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
					t.Errorf("call %d ended with %v", i, err)
				}
				return
			}
			answered++
			if number, _, err := msgp.ReadIntBytes(got); err != nil || number != i {
				t.Errorf("call %d was given the answer of call %d (%v)", i, number, err)
			}
		})
	}
	all.Wait()
	if answered == 0 || givenUp == 0 {
		t.Errorf("%d answered, %d given up", answered, givenUp)
	}
}

// A call whose connection is reset after it was sent is in doubt, and is not sent again: the server sees each once.
func TestResetCallIsNotRetransmitted(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	var mu sync.Mutex
	seen := map[int]int{}
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				var f Frame
				for range 3 { // three calls, then a reset without an answer
					if readFrame(connection, &f) != nil {
						break
					}
					number, _, _ := msgp.ReadIntBytes(f.Body)
					mu.Lock()
					seen[number]++
					mu.Unlock()
				}
				connection.(*net.TCPConn).SetLinger(0)
				connection.Close()
			}()
		}
	}()
	caller := NewCaller(TCP{})
	defer caller.Close()
	var all sync.WaitGroup
	for i := range 200 {
		all.Go(func() {
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			err := caller.Call(ctx, listener.Addr().String(), "test.once", echoed(msgp.AppendInt(nil, i)), nil)
			mu.Lock()
			defer mu.Unlock()
			if err == nil || seen[i] > 1 || seen[i] == 1 && !errors.Is(err, ErrOutcomeUnknown) {
				t.Errorf("call %d was seen %d times and ended with %v", i, seen[i], err)
			}
		})
	}
	all.Wait()
}
