package gateway

import (
	"context"

	"yarrowridge/internal/dataplane/balance"
	"yarrowridge/internal/dataplane/upstream"
)

// send sends the request to the runner with headers in the runner's dialect. It only reads the request's state.
func (r *request) send(ctx context.Context, attempt *balance.Attempt, lastEventID string, urgency int) (*upstream.Exchange, error) {
	info := attempt.Runner().Info()
	meta := RunnerMeta{RunnerID: info.ID, Deadline: r.remaining(), LastEventID: lastEventID, Urgency: urgency}
	if r.tenant != nil {
		meta.Tenant = r.tenant.Name
	}
	header := r.httpRequest.Header.Clone()
	upstream.RemoveConnectionOptions(header) // before the system sets its own headers, which a client must not remove
	r.gateway.Dialect.WriteRequest(header, meta)
	r.gateway.Pool.SetMaxConnections(info.Address, r.maxConnections())
	return r.gateway.Pool.Send(ctx, info.Address, upstream.Request{Method: r.httpRequest.Method, Target: r.httpRequest.RequestURI,
		Host: r.httpRequest.Host, Header: header, Body: r.body})
}

// maxConnections returns this router's share of the connections that a runner accepts; 0 means unlimited. A tenth of the
// connections is reserved for routers that have just started.
func (r *request) maxConnections() int {
	if r.service.MaxConnections <= 0 {
		return 0
	}
	return max(1, r.gateway.LocalShare(r.service.MaxConnections*9/10))
}

// markSent records that bytes may have been sent to a runner. From here on the request may be sent again only if it is
// idempotent or the runner promises that it did not run it.
func (r *request) markSent() error {
	r.sentAttempts++
	r.spendQuota()
	return r.chart.advance(Sent)
}
