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

// API is the HTTP API for runners, which send their heartbeats to it.
type API struct {
	Cluster *cluster.Member
	KeyHash func() string // hex SHA-256 of the runners' key; "": heartbeats need no key
}

// HeartbeatAck is the response to an accepted heartbeat.
type HeartbeatAck struct {
	Taken bool `json:"taken"`
}

// Handler returns the handler of the API's routes.
func (api *API) Handler() (http.Handler, error) {
	return web.Handler([]rest.Route{{Method: "POST", Path: "/v1/runners/beat", Handler: api.Heartbeat}}, nil)
}

// Heartbeat serves one heartbeat: it checks the key and broadcasts the runner's record to the other routers.
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
	report, sequence, problems := ParseHeartbeat(raw)
	if len(problems) > 0 {
		web.WriteError(w, http.StatusBadRequest, "bad-beat", strings.Join(problems, "; "))
		return
	}
	if report.Zone == "" {
		report.Zone = api.Cluster.Self().Zone
	}
	record, changed := NextRecord(api.Cluster.Records, report, sequence)
	records := []dissemination.Record{record}
	api.Cluster.Broadcast(dissemination.Update{Records: records})
	// A change of state must be replicated to another router before it is acknowledged, so that it survives the loss of
	// this router. Only for the state "leaving" is failing to do so an error.
	if changed {
		ctx, cancel := context.WithTimeout(r.Context(), time.Second)
		defer cancel()
		if !api.Cluster.BroadcastToAll(ctx, records) && report.State == "leaving" {
			w.Header().Set("Retry-After", "1")
			web.WriteError(w, http.StatusServiceUnavailable, "not-spread", "No other router could be told yet. Beat again.")
			return
		}
	}
	web.WriteJSON(w, http.StatusOK, HeartbeatAck{Taken: true})
}
