package control

import (
	"net/http/httptest"
	"strings"
	"testing"

	"yarrowridge/internal/controlplane/core"
)

// The metrics contain the core's values at the time of the scrape.
func TestMetrics(t *testing.T) {
	values := core.Metrics{}
	handler := metricsHandler(func() core.Metrics { return values })
	values = core.Metrics{Epoch: 7, Members: 5, Primary: true, Ready: true, DiskFailed: true, StoreVersion: 900, ConfigVersion: 41, Nodes: 8, Runners: 12}
	page := httptest.NewRecorder()
	handler.ServeHTTP(page, httptest.NewRequest("GET", "/metrics", nil))
	for _, want := range []string{"core_epoch 7", "core_members 5", "core_primary 1", "core_ready 1", "core_disk_failed 1",
		"core_store_version 900", "config_version 41", "core_nodes 8", "runners 12"} {
		if !strings.Contains(page.Body.String(), "\nyarrowridge_"+want+"\n") {
			t.Errorf("got metrics\n%s\nwant them to contain %q", page.Body, want)
		}
	}
}
