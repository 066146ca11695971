package operator

import (
	"context"
	"net/http"
	"time"

	"yarrowridge/internal/controlplane/coreapi"
	"yarrowridge/internal/lib/web"
	"yarrowridge/internal/transport/dissemination"
)

// readFleetTimeout bounds the core call that reads the fleet's state.
const readFleetTimeout = 2 * time.Second

// getFleet responds with the fleet's state from the core, and with the dissemination tree that results from it.
func (api *API) getFleet(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), readFleetTimeout)
	defer cancel()
	var state coreapi.State
	if err := api.Core.Call(ctx, "core.peek", &coreapi.StateRequest{}, &state, true); err != nil {
		rejection := errorResponse{status: http.StatusServiceUnavailable, code: CodeNoCore, retryable: true,
			message: "The core did not answer in time. GET /v1/standing tells what this process knows."}
		rejection.write(w)
		return
	}
	web.WriteJSON(w, http.StatusOK, FleetResponse{State: state, Neighbours: neighboursByName(state.Nodes)})
}

// neighboursByName maps each router's name to the names of its neighbours in the dissemination tree.
func neighboursByName(nodes []coreapi.Node) map[string][]string {
	routers := make([]dissemination.Node, len(nodes))
	for i, node := range nodes {
		routers[i] = dissemination.Node{Name: node.Name, Zone: node.Zone, Addr: node.Addr}
	}
	neighbours := map[string][]string{}
	for _, router := range routers {
		names := []string{} // not nil, which JSON would encode as null
		for _, neighbour := range dissemination.Neighbours(router.Name, routers) {
			names = append(names, neighbour.Name)
		}
		neighbours[router.Name] = names
	}
	return neighbours
}
