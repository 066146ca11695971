package scale

import (
	"fmt"
	"testing"

	"github.com/klauspost/compress/s2"
	"github.com/tinylib/msgp/msgp"

	"yarrowridge/internal/core"
	"yarrowridge/internal/routing"
)

// BenchmarkSizes tells how large the messages and records are that grow with the fleet, at 360 routers, 610 runners
// and 640 tenants: as they are kept, and compressed as they go over the wire. A quota pool's is told by the core's
// BenchmarkPoolSize.
//
//	go test ./internal/scale -run XXX -bench Sizes -benchtime 1x
func BenchmarkSizes(b *testing.B) {
	var roll, runners core.HeartbeatResponse
	for i := range 360 {
		node := core.Node{Name: fmt.Sprintf("router%04d", i), Zone: zone(i % 11), Addr: fmt.Sprintf("10.%d.%d.7:7501", i%11, i/11),
			ClientAddr: fmt.Sprintf("10.%d.%d.7:8501", i%11, i/11), Run: uint64(i+1) * 0x9e3779b97f4a7c15, ConfigVersion: 2600, Ready: true}
		roll.Nodes = append(roll.Nodes, node)
	}
	for i := range 610 {
		runners.Runners = append(runners.Runners, routing.Runner{ID: fmt.Sprintf("runner-%016x", uint64(i+1)*0x9e3779b97f4a7c15), Service: "models",
			Address: fmt.Sprintf("10.%d.%d.9:8000", i%11, i/11), Zone: zone(i % 11), State: routing.RunnerReady, Slots: 64, Phase: "serving",
			Models: []routing.RunnerModel{{Name: fmt.Sprintf("model-%02d", i%33), Revision: 3}}, Sequence: uint64(100_000 + i)})
	}
	raw, err := configuration(640, 33)
	if err != nil {
		b.Fatal(err)
	}
	sheet := core.StoredConfig{Version: 2600, Raw: raw}
	for _, one := range []struct {
		name string
		what msgp.Marshaler
	}{{"roll", &roll}, {"runners", &runners}, {"configuration", &sheet}} {
		b.Run(one.name, func(b *testing.B) {
			for b.Loop() {
				body, err := one.what.MarshalMsg(nil)
				if err != nil {
					b.Fatal(err)
				}
				b.ReportMetric(float64(len(body)), "B")
				b.ReportMetric(float64(len(s2.Encode(nil, body))), "B-compressed")
			}
		})
	}
}
