package wire

import (
	"context"
	"fmt"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/tinylib/msgp/msgp"
)

// Each call is counted by its kind, on both sides, with the bytes that went over the wire.
func TestTrafficByKind(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go Serve(t.Context(), l, func(_ context.Context, _ string, body []byte) (msgp.Marshaler, error) { return text("an answer"), nil })
	cal := NewCaller(TCP{})
	defer cal.Close()
	before := TrafficByKind()["traffic.test"]
	for range 3 {
		if err := cal.Call(t.Context(), l.Addr().String(), "traffic.test", text("a question"), nil); err != nil {
			t.Fatal(err)
		}
	}
	var got Traffic
	for end := time.Now().Add(5 * time.Second); got.ResponsesSent.Frames < 3 && time.Now().Before(end); time.Sleep(time.Millisecond) {
		got = TrafficByKind()["traffic.test"].Minus(before) // an answer is counted right after it was sent
	}
	if got.CallsSent != got.CallsReceived || got.ResponsesSent != got.ResponsesReceived {
		t.Errorf("what one side sent is not what the other received: %+v", got)
	}
	if got.CallsSent.Frames != 3 || got.ResponsesSent.Frames != 3 || got.CallsSent.Bytes < 30 || got.CallsSent.Bytes > 300 {
		t.Errorf("three calls of some 40 bytes: %+v", got)
	}
	if sent := got.Sent(); sent.Frames != 6 || sent != got.Received() {
		t.Errorf("sent %+v, received %+v", sent, got.Received())
	}
}

// A faulty peer that makes kinds up does not fill the memory.
func TestKindsAreBounded(t *testing.T) {
	counters := &trafficCounters{kinds: map[string]*kindCounters{}}
	for i := range 5 * maxKinds {
		counters.forKind(fmt.Sprint("kind", i)).callsReceived.add(1)
	}
	got := counters.read()
	if len(got) != maxKinds+1 || got[otherKinds].CallsReceived.Frames != 4*maxKinds {
		t.Errorf("%d kinds, %+v others", len(got), got[otherKinds])
	}
}

// pipeNet opens connections that are served in memory.
type pipeNetwork struct{ handler Handler }

func (p pipeNetwork) Dial(ctx context.Context, _ string) (net.Conn, error) {
	near, far := net.Pipe()
	go serveConnection(context.WithoutCancel(ctx), far, p.handler)
	return near, nil
}

func (pipeNetwork) Listen(string) (net.Listener, error) { return nil, net.ErrClosed }

// A connection that is not used goes once others are opened; one in use or with a call under way stays.
func TestIdleConnectionsAreClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		slow := make(chan struct{})
		cal := NewCaller(pipeNetwork{func(_ context.Context, kind string, _ []byte) (msgp.Marshaler, error) {
			if kind == "a.slow" {
				<-slow
			}
			return text(""), nil
		}})
		call := func(addr, kind string) {
			if err := cal.Call(t.Context(), addr, kind, nil, nil); err != nil {
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
		cal.mu.Lock()
		open, used, waiting := len(cal.connections), cal.connections["used:1"] != nil, cal.connections["slow:1"] != nil
		cal.mu.Unlock()
		if open > 14 || !used || !waiting {
			t.Errorf("%d connections open, the used one %v, the one with a call under way %v", open, used, waiting)
		}
		close(slow)
		<-ended
		cal.Close()
		synctest.Wait()
	})
}
