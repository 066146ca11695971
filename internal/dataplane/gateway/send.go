package gateway

import (
	"context"

	"yarrowridge/internal/dataplane/balance"
	"yarrowridge/internal/dataplane/upstream"
)

// send hands the request to the runner.
func (r *request) send(ctx context.Context, chosen *balance.Attempt, stream *streamResponse) (*upstream.Exchange, error) {
	info := chosen.Runner().Info()
	meta := RunnerMeta{RunnerID: info.ID, Deadline: r.remaining(), Urgency: r.urgency()}
	if r.tenant != nil {
		meta.Tenant = r.tenant.Name
	}
	if stream != nil {
		meta.LastEventID = stream.lastID
	}
	header := r.client.Header.Clone()
	r.gateway.Dialect.WriteRunner(header, meta)
	r.gateway.Pool.SetMaxConnections(info.Address, r.maxConnections())
	return r.gateway.Pool.Send(ctx, info.Address, upstream.Request{Method: r.client.Method, Target: r.client.RequestURI,
		Host: r.client.Host, Header: header, Body: r.body})
}

// maxConnections is this router's share of the connections that a runner takes, with a tenth of them kept free for
// routers that have just started. 0: not bounded.
func (r *request) maxConnections() int {
	if r.service.MaxConnections <= 0 {
		return 0
	}
	return max(1, r.gateway.LocalShare(r.service.MaxConnections*9/10))
}

// markSent records that bytes may have left for a runner. From here on only an idempotent request may be sent again,
// unless the runner promises not to have run it.
func (r *request) markSent() error {
	r.sentAttempts++
	r.spendQuota()
	return r.chart.advance(Sent)
}
