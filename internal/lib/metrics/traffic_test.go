package metrics

import (
	"context"
	"net"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/tinylib/msgp/msgp"

	"yarrowridge/internal/transport/wire"
)

// The metrics count the frames between processes by kind and direction.
func TestWireTrafficIsExported(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go wire.Serve(t.Context(), listener, func(context.Context, string, []byte) (msgp.Marshaler, error) { return nil, nil })
	caller := wire.NewCaller(wire.TCP{})
	defer caller.Close()
	if err := caller.Call(t.Context(), listener.Addr().String(), "meter.test", nil, nil); err != nil {
		t.Fatal(err)
	}
	page := httptest.NewRecorder()
	New(nil).Handler().ServeHTTP(page, httptest.NewRequest("GET", "/metrics", nil))
	for _, want := range []string{`yarrowridge_wire_frames_total{direction="received",kind="meter.test"}`, `yarrowridge_wire_bytes_total{direction="sent",kind="meter.test"}`} {
		if !strings.Contains(page.Body.String(), want) {
			t.Errorf("metrics: %s is missing", want)
		}
	}
}
