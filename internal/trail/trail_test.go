package trail

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/tidwall/gjson"

	"yarrowridge/internal/query"
)

// A query's states stand in the file as events of one span, in order.
func TestTrail(t *testing.T) {
	path := filepath.Join(t.TempDir(), "traces.json")
	tr, err := Open(path, "north1")
	if err != nil {
		t.Fatal(err)
	}
	q := query.New()
	q.Tenant, q.Lane = "casual", "checks"
	for _, s := range []query.State{query.Known, query.Mapped, query.Bounced} {
		if err := q.Go(s, "note"); err != nil {
			t.Fatal(err)
		}
	}
	tr.Add(q, "lane-closed")
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
	var off *Trail
	off.Add(q, "")
	off.Close()
}
