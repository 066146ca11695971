package runner

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/zeromicro/go-zero/rest"

	"yarrowridge/internal/dataplane/cluster"
	"yarrowridge/internal/lib/web"
	"yarrowridge/internal/model/fleetconfig"
	"yarrowridge/internal/transport/dissemination"
)

// API is the runners' listener: where they send heartbeats.
type API struct {
	Cluster *cluster.Member
	KeyHash func() string // hex SHA-256 of the runners' key; "" takes heartbeats without one
}

// HeartbeatAck acknowledges a runner's heartbeat.
type HeartbeatAck struct {
	Taken bool `json:"taken"`
}

// Handler makes the API's routes.
func (api *API) Handler() (http.Handler, error) {
	return web.Handler([]rest.Route{{Method: "POST", Path: "/v1/runners/beat", Handler: api.Heartbeat}}, nil)
}

// Heartbeat takes one heartbeat.
func (api *API) Heartbeat(w http.ResponseWriter, r *http.Request) {
	if hash := api.KeyHash(); hash != "" {
		key, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		if fleetconfig.HashKey(key) != hash {
			web.WriteError(w, http.StatusUnauthorized, "unknown-key", "The runners' key is expected.")
			return
		}
	}
	raw, err := io.ReadAll(io.LimitReader(r.Body, 64<<10))
	if err != nil {
		web.WriteError(w, http.StatusBadRequest, "body-unread", "The beat broke off.")
		return
	}
	report, turn, bad := ParseHeartbeat(raw)
	if len(bad) > 0 {
		web.WriteError(w, http.StatusBadRequest, "bad-beat", strings.Join(bad, "; "))
		return
	}
	if report.Zone == "" {
		report.Zone = api.Cluster.Self().Zone
	}
	record, fresh := NextRecord(api.Cluster.Records, report, turn)
	recs := []dissemination.Record{record}
	api.Cluster.Broadcast(dissemination.Update{Records: recs})
	// A word of leaving, or any change of state, must outlive this router before we say it is taken.
	if fresh {
		ctx, end := context.WithTimeout(r.Context(), time.Second)
		defer end()
		if !api.Cluster.BroadcastToAll(ctx, recs) && report.State == "leaving" {
			w.Header().Set("Retry-After", "1")
			web.WriteError(w, http.StatusServiceUnavailable, "not-spread", "No other router could be told yet. Beat again.")
			return
		}
	}
	web.WriteJSON(w, http.StatusOK, HeartbeatAck{Taken: true})
}
