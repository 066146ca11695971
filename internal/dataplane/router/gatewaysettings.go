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

// GatewaySettings are the settings of a router in the platform's role.
type GatewaySettings struct {
	InternalAddr     string            // ip:port where other processes reach it
	ClientAddr       string            // ip:port of the clients' listener
	ReadinessAddr    string            // ip:port of the readiness listener; "": none
	Seeds            []string          // ip:port of some cores
	SeedUpdates      <-chan []string   // the seeds after a change of the settings
	Quota            routing.QuotaRule // how tenants' rates are limited
	Retries          gateway.RetryBounds
	RevocationTerm   time.Duration // within which a revoked key is of no use at any router; 0: only at those that learn of it
	DrainNotice      time.Duration // how long a shutdown accepts requests after readiness has ended
	GracePeriod      time.Duration // from the stop signal to the kill
	MemoryLimit      int64         // bytes; 0: none
	Dialect          gateway.Dialect
	ParseTable       func(raw []byte) (*routing.Table, []routing.Flaw)
	ReadinessHandler func(why func() string) (http.Handler, error) // answers readiness probes
	Metrics          metrics.Endpoint                              // where the router's own figures are served

	Dial   func(ctx context.Context, address string) (net.Conn, error) // reaches runners; nil: TCP
	Listen func(address string) (net.Listener, error)                  // for clients and probes; nil: TCP
}

// listen binds an address for clients or probes.
func (s GatewaySettings) listen(address string) (net.Listener, error) {
	if s.Listen != nil {
		return s.Listen(address)
	}
	return net.Listen("tcp", address)
}
