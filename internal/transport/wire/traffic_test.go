package wire

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/tinylib/msgp/msgp"
)

// Calls and responses are counted by kind on both ends, with their sizes on the wire.
func TestTrafficByKind(t *testing.T) {
	listener := listen(t)
	go Serve(t.Context(), listener, func(context.Context, string, []byte) (msgp.Marshaler, error) { return message("an answer"), nil })
	caller := newCaller(t, TCP{})
	before := TrafficByKind()["traffic.test"]
	for range 3 {
		if err := caller.Call(t.Context(), listener.Addr().String(), "traffic.test", message("a question"), nil); err != nil {
			t.Fatal(err)
		}
	}
	var got Traffic
	for end := time.Now().Add(5 * time.Second); got.ResponsesSent.Frames < 3 && time.Now().Before(end); time.Sleep(time.Millisecond) {
		got = TrafficByKind()["traffic.test"].Minus(before) // a response is counted only after it was sent
	}
	if got.CallsSent != got.CallsReceived || got.ResponsesSent != got.ResponsesReceived {
		t.Errorf("got %+v, want the same counts sent and received", got)
	}
	if got.CallsSent.Frames != 3 || got.ResponsesSent.Frames != 3 || got.CallsSent.Bytes < 30 || got.CallsSent.Bytes > 300 {
		t.Errorf("got %+v, want three calls of 30 to 300 bytes in total, and three responses", got)
	}
	if sent := got.Sent(); sent.Frames != 6 || sent != got.Received() {
		t.Errorf("got sent %+v and received %+v, want six frames and the same number of bytes in both", sent, got.Received())
	}
}

// A faulty peer that sends many different kinds does not grow the counters without bound.
func TestKindsAreBounded(t *testing.T) {
	counters := &trafficCounters{kinds: map[string]*kindCounters{}}
	for i := range 5 * maxKinds {
		counters.forKind(fmt.Sprint("kind", i)).callsReceived.add(1)
	}
	got := counters.read()
	if len(got) != maxKinds+1 || got[otherKinds].CallsReceived.Frames != 4*maxKinds {
		t.Errorf("got %d kinds and %+v under %q, want %d kinds and %d frames", len(got), got[otherKinds], otherKinds, maxKinds+1, 4*maxKinds)
	}
}

// An idle connection is closed when others are opened. A connection in regular use or with a pending call stays open.
func TestIdleConnectionsAreClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		slow := make(chan struct{})
		caller := NewCaller(pipeNetwork{func(_ context.Context, kind string, _ []byte) (msgp.Marshaler, error) {
			if kind == "a.slow" {
				<-slow
			}
			return message(""), nil
		}})
		call := func(addr, kind string) {
			if err := caller.Call(t.Context(), addr, kind, nil, nil); err != nil {
				t.Errorf("%s at %s: %v", kind, addr, err)
			}
		}
		ended := make(chan struct{})
		go func() {
			call("slow:1", "a.slow")
			close(ended)
		}()
		call("used:1", "a.quick")
		for i := range 50 {
			call(fmt.Sprint("once:", i), "a.quick")
			time.Sleep(time.Second)
			call("used:1", "a.quick")
		}
		caller.mu.Lock()
		open, used, pending := len(caller.connections), caller.connections["used:1"] != nil, caller.connections["slow:1"] != nil
		caller.mu.Unlock()
		if open > 14 || !used || !pending {
			t.Errorf("got %d connections, the used one open %v, the one with a pending call open %v; want at most 14, with both open", open, used, pending)
		}
		close(slow)
		<-ended
		caller.Close()
		synctest.Wait()
	})
}
