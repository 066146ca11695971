package clientapi

import (
	"strings"
	"time"

	"yarrowridge/internal/dataplane/request"
	"yarrowridge/internal/model/fleetconfig"
)

// authenticate finds the tenant by the API key in the Authorization header. The body is not read yet.
func (e *exchange) authenticate() error {
	if reason := e.server.Cluster.UnavailableReason(); reason != "" {
		return &Rejection{Status: 503, Code: CodeNotReady, Message: "This router is not ready: " + reason + ".", RetryAfter: time.Second}
	}
	e.config = e.server.Cluster.Config()
	key, ok := strings.CutPrefix(e.incoming.Header.Get("Authorization"), "Bearer ")
	if ok {
		e.keyHash = fleetconfig.HashKey(strings.TrimSpace(key))
		e.tenantIndex, ok = e.config.TenantByHash(e.keyHash)
	}
	if !ok {
		return &Rejection{Status: 401, Code: CodeUnknownKey, Message: "A known key is expected, as Authorization: Bearer KEY."}
	}
	e.tenant = &e.config.Tenants[e.tenantIndex]
	e.request.Tenant = e.tenant.Name
	return e.request.Advance(request.Identified, "")
}

// route finds the traffic class and the pool of the request, and reads and parses its body.
func (e *exchange) route() error {
	route, known := e.config.FindRoute(e.incoming.Method, e.incoming.URL.Path, e.incoming.Header.Get)
	switch {
	case route == nil && known:
		return &Rejection{Status: 405, Code: CodeNoRoute, Message: "The path is known, but not with this method and these headers."}
	case route == nil:
		return &Rejection{Status: 404, Code: CodeUnknownPath, Message: "Nothing is mapped to this path."}
	}
	e.class, e.pool = &e.config.TrafficClasses[route.TrafficClass], &e.config.Pools[route.Pool]
	e.request.Lane = e.class.Name
	if !e.class.Admits(e.tenantIndex) {
		return &Rejection{Status: 403, Code: CodeClassNotAllowed, Message: "The lane " + e.class.Name + " is not open to this tenant."}
	}
	if !e.bodyRead {
		if err := e.readBody(); err != nil {
			return err
		}
	}
	e.queueKind = e.pool.Name
	if !e.class.WithoutPrompt {
		if err := e.parseBody(); err != nil {
			return err
		}
		e.queueKind += "/" + e.model
	}
	return e.request.Advance(request.Routed, route.Path)
}

// checkConfig checks a queued request against the current config, if that has changed since the request came in: its key, its
// route, and whether the traffic class still admits the tenant. The pool's selector is taken from the current config.
func (e *exchange) checkConfig() error {
	config := e.server.Cluster.Config()
	if config.Version == e.config.Version {
		return nil
	}
	previousPool := e.pool.Name
	switch rejection := e.applyConfig(config); {
	case rejection == errKeyWithdrawnRejection:
		return &Rejection{Status: 401, Code: CodeUnknownKey, Message: "The key was withdrawn while the query waited."}
	case rejection != nil:
		return rejection
	case e.pool.Name != previousPool:
		return errConfigChanged
	}
	return nil
}

var errConfigChanged = &Rejection{Status: 503, Code: CodeConfigChanged, Message: "The layout leads this query elsewhere by now. Ask again.", RetryAfter: time.Second}

// applyConfig sets tenant, traffic class and pool from a config, by the key's hash and the route. If the request already has a
// traffic class, the config must give it the same one.
func (e *exchange) applyConfig(config *fleetconfig.Config) *Rejection {
	tenant, ok := e.findTenant(config)
	if !ok {
		return errKeyWithdrawnRejection
	}
	route, _ := config.FindRoute(e.incoming.Method, e.incoming.URL.Path, e.incoming.Header.Get)
	if route == nil || !config.TrafficClasses[route.TrafficClass].Admits(tenant) || e.class != nil && config.TrafficClasses[route.TrafficClass].Name != e.class.Name {
		return errConfigChanged
	}
	e.config, e.tenantIndex, e.tenant = config, tenant, &config.Tenants[tenant]
	e.class, e.pool = &config.TrafficClasses[route.TrafficClass], &config.Pools[route.Pool]
	return nil
}

// findTenant finds the request's tenant in a config by its key. ok is false if the key now belongs to another tenant or to
// none.
func (e *exchange) findTenant(config *fleetconfig.Config) (tenant int, ok bool) {
	tenant, ok = config.TenantByHash(e.keyHash)
	return tenant, ok && config.Tenants[tenant].Name == e.request.Tenant
}
