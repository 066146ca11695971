package clientapi

import (
	"strings"
	"time"

	"yarrowridge/internal/dataplane/request"
	"yarrowridge/internal/model/fleetconfig"
)

// authenticate finds the tenant by the headers alone.
func (x *exchange) authenticate() error {
	if why := x.server.Cluster.UnavailableReason(); why != "" {
		return &Rejection{Status: 503, Code: "not-ready", Message: "This router is not ready: " + why + ".", RetryAfter: time.Second}
	}
	x.config = x.server.Cluster.Config()
	key, ok := strings.CutPrefix(x.incoming.Header.Get("Authorization"), "Bearer ")
	if ok {
		x.keyHash = fleetconfig.HashKey(strings.TrimSpace(key))
		x.tenantIndex, ok = x.config.TenantByHash(x.keyHash)
	}
	if !ok {
		return &Rejection{Status: 401, Code: "unknown-key", Message: "A known key is expected, as Authorization: Bearer KEY."}
	}
	x.tenant = &x.config.Tenants[x.tenantIndex]
	x.request.Tenant = x.tenant.Name
	return x.request.Advance(request.Known, "")
}

// route finds the lane and the pool that the request belongs to, and reads its body.
func (x *exchange) route() error {
	route, known := x.config.FindRoute(x.incoming.Method, x.incoming.URL.Path, x.incoming.Header.Get)
	switch {
	case route == nil && known:
		return &Rejection{Status: 405, Code: "no-mapping", Message: "The path is known, but not with this method and these headers."}
	case route == nil:
		return &Rejection{Status: 404, Code: "unknown-path", Message: "Nothing is mapped to this path."}
	}
	x.lane, x.pool = &x.config.TrafficClasses[route.TrafficClass], &x.config.Pools[route.Pool]
	x.request.Lane = x.lane.Name
	if !x.lane.Admits(x.tenantIndex) {
		return &Rejection{Status: 403, Code: "lane-closed", Message: "The lane " + x.lane.Name + " is not open to this tenant."}
	}
	if !x.bodyRead {
		if err := x.readBody(); err != nil {
			return err
		}
	}
	x.queueKind = x.pool.Name
	if !x.lane.WithoutPrompt {
		if err := x.parseBody(); err != nil {
			return err
		}
		x.queueKind += "/" + x.model
	}
	return x.request.Advance(request.Routed, route.Path)
}

// checkConfig holds a waiting request against the config in force, if that is no longer the one it came
// under: its key, its route, its lane's doors. The pool's selector counts as it is now.
func (x *exchange) checkConfig() error {
	config := x.server.Cluster.Config()
	if config.Version == x.config.Version {
		return nil
	}
	pool := x.pool.Name
	switch rejection := x.applyConfig(config); {
	case rejection == rejectKey:
		return &Rejection{Status: 401, Code: "unknown-key", Message: "The key was withdrawn while the query waited."}
	case rejection != nil:
		return rejection
	case x.pool.Name != pool:
		return rejectConfigChanged
	}
	return nil
}

var rejectConfigChanged = &Rejection{Status: 503, Code: "layout-changed", Message: "The layout leads this query elsewhere by now. Ask again.", RetryAfter: time.Second}

// applyConfig takes tenant, lane and pool anew from a config, by the key's hash and the route. The lane has
// to stay the one it was, if there was one.
func (x *exchange) applyConfig(config *fleetconfig.Config) *Rejection {
	tenant, ok := x.findTenant(config)
	if !ok {
		return rejectKey
	}
	route, _ := config.FindRoute(x.incoming.Method, x.incoming.URL.Path, x.incoming.Header.Get)
	if route == nil || !config.TrafficClasses[route.TrafficClass].Admits(tenant) || x.lane != nil && config.TrafficClasses[route.TrafficClass].Name != x.lane.Name {
		return rejectConfigChanged
	}
	x.config, x.tenantIndex, x.tenant = config, tenant, &config.Tenants[tenant]
	x.lane, x.pool = &config.TrafficClasses[route.TrafficClass], &config.Pools[route.Pool]
	return nil
}

// findTenant finds the request's tenant in a config by its key. ok is false where the key is another's by now,
// or nobody's.
func (x *exchange) findTenant(config *fleetconfig.Config) (tenant int, ok bool) {
	tenant, ok = config.TenantByHash(x.keyHash)
	return tenant, ok && config.Tenants[tenant].Name == x.request.Tenant
}
