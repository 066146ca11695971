package tracing

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/tidwall/gjson"

	"yarrowridge/internal/dataplane/request"
)

// A request's states stand in the file as events of one span, in order.
func TestExport(t *testing.T) {
	path := filepath.Join(t.TempDir(), "traces.json")
	tr, err := Open(path, "north1")
	if err != nil {
		t.Fatal(err)
	}
	rejected := request.New()
	rejected.Tenant, rejected.Lane = "casual", "checks"
	for _, s := range []request.State{request.Known, request.Routed, request.Rejected} {
		if err := rejected.Advance(s, "note"); err != nil {
			t.Fatal(err)
		}
	}
	tr.Export(rejected, "lane-closed")
	tr.Close()
	raw, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	doc := gjson.ParseBytes(raw)
	if got := doc.Get("Events.#.Name").String(); got != `["read","known","mapped","bounced"]` {
		t.Errorf("events %s", got)
	}
	if got := doc.Get(`Attributes.#(Key=="yarrowridge.code").Value.Value`).Str; got != "lane-closed" {
		t.Errorf("code %q in %s", got, raw)
	}
	var off *Tracer
	off.Export(rejected, "")
	off.Close()
}
