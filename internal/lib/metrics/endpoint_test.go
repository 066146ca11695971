package metrics

import (
	"bytes"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"

	"yarrowridge/internal/lib/daemon"
)

func TestParseEndpoint(t *testing.T) {
	for text, want := range map[string]Endpoint{
		"9464/metrics":   {Address: "192.0.2.7:9464", Path: "/metrics"},
		"1/a/b":          {Address: "192.0.2.7:1", Path: "/a/b"},
		"":               {},
		"9464":           {},
		"9464/":          {},
		"/metrics":       {},
		"0/metrics":      {},
		"65536/metrics":  {},
		"-1/metrics":     {},
		"9464/a b":       {},
		"9464/a?b":       {},
		"9464/:name":     {},
		"9464/metrics/":  {},
		"metrics/9464":   {},
		"host:1/metrics": {},
	} {
		got, err := ParseEndpoint("192.0.2.7", text)
		if got != want || (err == nil) != (want != Endpoint{}) {
			t.Errorf("ParseEndpoint(%q): got %v and error %v, want %v", text, got, err, want)
		}
		if err != nil && !strings.Contains(err.Error(), "PORT/PATH") {
			t.Errorf("ParseEndpoint(%q): got error %q, want one that names the form PORT/PATH", text, err)
		}
	}
}

// Metrics are served at their address and path only. If the port is in use, that is only logged.
func TestEndpointServes(t *testing.T) {
	blocker, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	endpoint := Endpoint{Address: blocker.Addr().String(), Path: "/metrics"}
	var logged bytes.Buffer
	ctx := daemon.Context{Context: t.Context(), Log: slog.New(slog.NewTextHandler(&logged, nil))}
	handler := NewHandler(Gauges{"yarrowridge_ready": func() float64 { return FlagValue(true) }})

	endpoint.Start(ctx, handler)
	if !strings.Contains(logged.String(), "Metrics are not served.") {
		t.Errorf("port in use: got log %q, want \"Metrics are not served.\"", logged.String())
	}
	if err := blocker.Close(); err != nil {
		t.Fatal(err)
	}
	endpoint.Start(ctx, handler)
	if status, text := get(t, "http://"+endpoint.Address+"/metrics"); status != http.StatusOK || !strings.Contains(text, "yarrowridge_ready 1\n") {
		t.Errorf("port free again: got status %d and %q, want 200 with yarrowridge_ready 1", status, text)
	}
	if status, _ := get(t, "http://"+endpoint.Address+"/other"); status != http.StatusNotFound {
		t.Errorf("another path: got status %d, want 404", status)
	}
}

// get sends a GET request and returns the status and the body of the response.
func get(t *testing.T, url string) (status int, text string) {
	t.Helper()
	response, err := http.Get(url)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	raw, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response.StatusCode, string(raw)
}
