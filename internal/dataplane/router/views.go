package router

import (
	"yarrowridge/internal/controlplane/coreapi"
	"yarrowridge/internal/controlplane/view"
	"yarrowridge/internal/dataplane/runner"
	"yarrowridge/internal/transport/dissemination"
)

// statusView is the body of /v1/standing.
type statusView struct {
	ConfigHash  string       `json:"layout_sha256"`
	Node        coreapi.Node `json:"node"`
	Stale       bool         `json:"stale"`
	View        view.View    `json:"view"`
	WhyNotReady string       `json:"why_not_ready"`
}

// relaysView is the body of /v1/relays.
type relaysView struct {
	Near  []dissemination.Node `json:"near"`
	Nodes []coreapi.Node       `json:"nodes"`
}

// runnerView is one runner in the body of /v1/runners.
type runnerView struct {
	Load         int           `json:"load"`
	QueuedTokens int           `json:"queued_tokens"`
	Rate         float64       `json:"rate"`
	Capacity     int           `json:"room"`
	Report       runner.Report `json:"runner"`
	Health       string        `json:"standing"`
}

// shareView is this router's share of one tenant's quota in the body of /v1/shares.
type shareView struct {
	Free          int `json:"free"`
	Allocated     int `json:"held"`
	SpentInWindow int `json:"spent_in_window"`
}

// views returns the views that operators can read, by path.
func (r *Router) views() map[string]func() any {
	return map[string]func() any{
		"/v1/standing": func() any { return r.statusView() },
		"/v1/relays":   func() any { return relaysView{Near: r.Cluster.Neighbours(), Nodes: r.Cluster.Nodes()} },
		"/v1/runners":  func() any { return r.runnerViews() },
		"/v1/shares":   func() any { return r.shareViews() },
		"/v1/queries":  func() any { return r.RequestLog.All() },
		"/v1/streams":  func() any { return r.Streams.List() },
	}
}

// statusView returns the status. Its configuration version and hash always belong together, even while new configurations
// arrive.
func (r *Router) statusView() statusView {
	version, hash := r.Cluster.ConfigVersionAndHash()
	own := r.Cluster.Self()
	own.ConfigVersion = version
	return statusView{ConfigHash: hash, Node: own, Stale: r.Cluster.CoreTimedOut(), View: r.Cluster.Core.View(), WhyNotReady: r.Cluster.NotReadyReason()}
}

func (r *Router) runnerViews() []runnerView {
	views := []runnerView{}
	for _, instance := range r.Runners.List() {
		load, capacity := instance.Load()
		queued, excess := instance.QueuedTokens()
		_, rate := instance.Estimate(false)
		health := instance.Health()
		if health == "" {
			health = "ready"
		}
		views = append(views, runnerView{Report: instance.Report(), Health: health, Load: load, Capacity: capacity, QueuedTokens: int(queued + excess), Rate: rate})
	}
	return views
}

func (r *Router) shareViews() map[string]shareView {
	views := map[string]shareView{}
	for _, tenant := range r.QuotaShares.Tenants() {
		allocated, free, spent := r.QuotaShares.For(tenant).Stats()
		views[tenant] = shareView{Allocated: allocated, Free: free, SpentInWindow: spent}
	}
	return views
}
