package operator

import (
	"context"
	"net/http"
	"time"

	"yarrowridge/internal/controlplane/coreapi"
	"yarrowridge/internal/lib/web"
	"yarrowridge/internal/transport/dissemination"
)

// getFleet answers with what the core knows of the fleet.
func (api *API) getFleet(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), 2*time.Second)
	defer cancel()
	var state coreapi.State
	if err := api.Core.Call(ctx, "core.peek", &coreapi.StateRequest{}, &state, true); err != nil {
		writeRetryable(w, http.StatusServiceUnavailable, "no-core", "The core did not answer in time. GET /v1/standing tells what this process knows.")
		return
	}
	routers := make([]dissemination.Node, len(state.Nodes))
	for i, node := range state.Nodes {
		routers[i] = dissemination.Node{Name: node.Name, Zone: node.Zone, Addr: node.Addr}
	}
	neighbours := map[string][]string{}
	for _, router := range routers {
		neighbours[router.Name] = []string{}
		for _, neighbour := range dissemination.Neighbours(router.Name, routers) {
			neighbours[router.Name] = append(neighbours[router.Name], neighbour.Name)
		}
	}
	web.WriteJSON(w, http.StatusOK, Fleet{State: state, Relays: neighbours})
}
