package tracing

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/tidwall/gjson"

	"yarrowridge/internal/dataplane/request"
)

// The states of a request are written to the file as events of one span, in order. A nil Tracer exports nothing.
func TestExport(t *testing.T) {
	path := filepath.Join(t.TempDir(), "traces.json")
	tracer, err := Open(path, "north1")
	if err != nil {
		t.Fatal(err)
	}
	rejected := request.New()
	rejected.Tenant, rejected.Lane = "casual", "checks"
	for _, state := range []request.State{request.Identified, request.Routed, request.Rejected} {
		if err := rejected.Advance(state, "note"); err != nil {
			t.Fatal(err)
		}
	}
	tracer.Export(rejected, "lane-closed")
	tracer.Close()
	raw, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	span := gjson.ParseBytes(raw)
	if got, want := span.Get("Events.#.Name").String(), `["read","known","mapped","bounced"]`; got != want {
		t.Errorf("got events %s, want %s", got, want)
	}
	if got := span.Get(`Attributes.#(Key=="yarrowridge.code").Value.Value`).Str; got != "lane-closed" {
		t.Errorf("got code %q in %s, want lane-closed", got, raw)
	}
	var disabled *Tracer
	disabled.Export(rejected, "")
	disabled.Close()
}
