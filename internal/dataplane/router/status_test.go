package router

import (
	"fmt"
	"log/slog"
	"sync"
	"testing"

	"yarrowridge/internal/dataplane/cluster"
	"yarrowridge/internal/lib/daemon"
	"yarrowridge/internal/model/fleetconfig"
	"yarrowridge/internal/transport/dissemination"
)

// While new configurations arrive, the version and the hash in the status must belong to the same one. Otherwise operators
// who compare them with the acknowledged configuration would see one that never existed.
func TestStatusShowsMatchingVersionAndHash(t *testing.T) {
	text := func(version uint64) string { return fmt.Sprint("configuration ", version) }
	ctx := daemon.Context{Context: t.Context(), Name: "north1", Log: slog.New(slog.DiscardHandler)}
	member := cluster.NewMember(ctx, "10.0.0.1:1", "10.0.0.1:2", nil, func(dissemination.Record) {}, cluster.WithConfigHandler(func(uint64, []byte) error { return nil }))
	r := &Router{Cluster: member}
	var writer sync.WaitGroup
	writer.Go(func() {
		for version := uint64(1); version <= 3000; version++ {
			member.Records.Merge([]dissemination.Record{dissemination.ConfigRecord(version, []byte(text(version)))})
		}
	})
	for seen := uint64(0); seen < 3000; {
		status := r.statusView()
		if seen = status.Node.ConfigVersion; seen > 0 && status.ConfigHash != fleetconfig.HashKey(text(seen)) {
			t.Fatalf("version %d: got the hash of another configuration", seen)
		}
	}
	writer.Wait()
}
