package router

import (
	"context"
	"net"
	"net/http"
	"time"

	"yarrowridge/internal/dataplane/gateway"
	"yarrowridge/internal/lib/metrics"
	"yarrowridge/internal/model/routing"
)

// GatewaySettings are the settings of a router in the platform's router role.
type GatewaySettings struct {
	InternalAddr     string            // ip:port for other processes of the fleet
	ClientAddr       string            // ip:port of the clients' listener
	ReadinessAddr    string            // ip:port of the readiness listener; "": none
	Seeds            []string          // ip:port of some cores
	SeedUpdates      <-chan []string   // the new seeds after each change of the settings
	Quota            routing.QuotaRule // converts tenants' rates to quotas
	Retries          gateway.RetryBounds
	RevocationTerm   time.Duration // within which all routers reject a revoked key; 0: only routers that learn of the revocation do
	DrainNotice      time.Duration // for which a shutdown still accepts requests after the router stops being ready
	GracePeriod      time.Duration // from the stop signal until the process is killed
	MemoryLimit      int64         // bytes; 0: none
	Dialect          gateway.Dialect
	ParseTable       func(raw []byte) (*routing.Table, []routing.FieldError)
	ReadinessHandler func(notReadyReason func() string) (http.Handler, error) // for readiness probes
	Metrics          metrics.Endpoint                                         // where the router's metrics are served

	Dial   func(ctx context.Context, address string) (net.Conn, error) // opens connections to runners; nil: over TCP
	Listen func(address string) (net.Listener, error)                  // for clients and probes; nil: over TCP
}

// listen binds an address for clients or probes.
func (s GatewaySettings) listen(address string) (net.Listener, error) {
	if s.Listen != nil {
		return s.Listen(address)
	}
	return net.Listen("tcp", address)
}
