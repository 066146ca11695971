package cluster

import (
	"context"
	"time"

	"yarrowridge/internal/controlplane/coreapi"
	"yarrowridge/internal/lib/runloop"
	"yarrowridge/internal/transport/dissemination"
	"yarrowridge/internal/transport/wire"
)

// heartbeatTimeout bounds one heartbeat, including the search for a primary and the fetch of a configuration.
const heartbeatTimeout = 1500 * time.Millisecond

// timedHeartbeat is a heartbeat request that is encoded with this process's age at each attempt: the search for a primary
// may take long, and the older this process is, the sooner the core frees the quota units of earlier processes at its
// address.
type timedHeartbeat struct {
	coreapi.HeartbeatRequest
	startedAt time.Time
	sentAt    time.Time // at the last attempt
}

// MarshalMsg implements msgp.Marshaler.
func (t *timedHeartbeat) MarshalMsg(raw []byte) ([]byte, error) {
	t.sentAt = time.Now()
	t.AgeMs = int(t.sentAt.Sub(t.startedAt).Milliseconds())
	return t.HeartbeatRequest.MarshalMsg(raw)
}

// sendHeartbeats sends one heartbeat after the other until the context ends. The first one is sent without a random delay,
// since a router serves no requests before it has asked the core.
func (m *Member) sendHeartbeats() {
	for !m.sendHeartbeat() {
		if !runloop.Sleep(m.ctx, firstHeartbeatRetry) {
			return
		}
	}
	m.runEvery(heartbeatInterval, func() { m.sendHeartbeat() })
}

// sendHeartbeat renews the lease at the core and applies the changes in the response. It returns false if the core has not
// answered.
func (m *Member) sendHeartbeat() bool {
	if m.lease.isReleased() {
		return true
	}
	ctx, cancel := context.WithTimeout(m.ctx, heartbeatTimeout)
	defer cancel()
	request := timedHeartbeat{HeartbeatRequest: m.makeHeartbeat(), startedAt: m.startedAt}
	var response coreapi.HeartbeatResponse
	if err := m.Core.Call(ctx, "core.beat", &request, &response, true); err != nil {
		if wire.HasCode(err, coreapi.CodeNameTaken) {
			m.ctx.Log.Error("Another router has our name. Each needs its own.", "name", m.ctx.Name)
			return true
		}
		m.ctx.Log.Debug("Heartbeat failed.", "error", err.Error())
		m.bootstrapFromZone()
		return false
	}
	m.applyHeartbeatResponse(&response)
	m.fetchConfig(ctx, response.ConfigVersion)
	m.recordConfirmed(response.ConfigVersion, request.sentAt)
	if !m.config.isLoaded() || m.ConfigVersion() < response.ConfigVersion {
		return true // the core has answered, but its configuration is not active yet
	}
	m.readiness.setSynced()
	return true
}

// makeHeartbeat returns a request with this router's description, the versions of the state that it already has, and its
// runner statistics.
func (m *Member) makeHeartbeat() coreapi.HeartbeatRequest {
	request := coreapi.HeartbeatRequest{Node: m.Self(), ViewEpoch: m.Core.View().Epoch, ScarceVersion: m.lease.currentScarceVersion()}
	m.peers.fillRequest(&request)
	if m.runners != nil {
		request.RunnersWanted = true
		request.RunnersEpoch, request.RunnersVersion = m.runners.Position()
		if request.RunnersVersion == 0 {
			request.RunnersDigest = m.runners.Digest()
		}
	}
	if m.runnerStats != nil {
		request.RunnerStats = m.runnerStats()
	}
	return request
}

// applyHeartbeatResponse applies the view, the peers, the lease and the runners of the core's response. The peers are
// applied before the lease, so that a caller for which the core is responsive also sees the peers of that response.
func (m *Member) applyHeartbeatResponse(response *coreapi.HeartbeatResponse) {
	m.Core.Learn(response.View)
	m.peers.apply(response)
	if hadTimedOut := m.lease.renew(response); hadTimedOut {
		m.ctx.Log.Info("The core is heard again.")
	}
	if m.runners != nil {
		m.runners.Apply(response)
	}
	if m.onFindings != nil {
		m.onFindings(RunnerFindings{Failing: response.Failing, LowLatency: response.LowLatencyRunners})
	}
}

// fetchConfig fetches the configuration from the core if its version is newer than the active one. A configuration that has
// arrived but could not be parsed is not fetched again. A new configuration usually arrives by dissemination. It is fetched
// at once only if no configuration is active, otherwise only if it is still missing at the next heartbeat: a large part of
// the fleet would ask the primary at the same time.
func (m *Member) fetchConfig(ctx context.Context, version uint64) {
	record, _, _ := m.Records.Get(dissemination.ConfigKey)
	overdue := m.ConfigVersion() == 0 || record.Version < m.announcedVersion
	m.announcedVersion = version
	if m.ConfigVersion() >= version || record.Version >= version || !overdue {
		return
	}
	var config coreapi.StoredConfig
	if m.Core.Call(ctx, "core.layout", &coreapi.ConfigRequest{}, &config, true) == nil && config.Version > 0 {
		m.Broadcast(dissemination.Update{Records: []dissemination.Record{dissemination.ConfigRecord(config.Version, config.Raw)}})
	}
}
