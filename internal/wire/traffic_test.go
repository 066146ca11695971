package wire

import (
	"context"
	"fmt"
	"net"
	"testing"
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
	for end := time.Now().Add(5 * time.Second); got.AnswersSent.Frames < 3 && time.Now().Before(end); time.Sleep(time.Millisecond) {
		got = TrafficByKind()["traffic.test"].Minus(before) // an answer is counted right after it was sent
	}
	if got.CallsSent != got.CallsReceived || got.AnswersSent != got.AnswersReceived {
		t.Errorf("what one side sent is not what the other received: %+v", got)
	}
	if got.CallsSent.Frames != 3 || got.AnswersSent.Frames != 3 || got.CallsSent.Bytes < 30 || got.CallsSent.Bytes > 300 {
		t.Errorf("three calls of some 40 bytes: %+v", got)
	}
	if sent := got.Sent(); sent.Frames != 6 || sent != got.Received() {
		t.Errorf("sent %+v, received %+v", sent, got.Received())
	}
}

// A faulty peer that makes kinds up does not fill the memory.
func TestKindsAreBounded(t *testing.T) {
	counters := &trafficCounters{kinds: map[string]*kindCounters{}}
	for i := range 5 * mostKinds {
		counters.of(fmt.Sprint("kind", i)).callsReceived.add(1)
	}
	got := counters.read()
	if len(got) != mostKinds+1 || got[otherKinds].CallsReceived.Frames != 4*mostKinds {
		t.Errorf("%d kinds, %+v others", len(got), got[otherKinds])
	}
}
