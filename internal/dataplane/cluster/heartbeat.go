package cluster

import (
	"context"
	"time"

	"yarrowridge/internal/controlplane/coreapi"
	"yarrowridge/internal/lib/runloop"
	"yarrowridge/internal/transport/dissemination"
	"yarrowridge/internal/transport/wire"
)

// heartbeatTimeout bounds one heartbeat, with the search for a primary and the fetch of a configuration.
const heartbeatTimeout = 1500 * time.Millisecond

// timedHeartbeat is a heartbeat that states this process's age as of each time that it is sent: the call may look for a
// primary for long, and the quota units of earlier processes at our address are free the sooner the older we are.
type timedHeartbeat struct {
	coreapi.HeartbeatRequest
	startedAt time.Time
	sentAt    time.Time // the last time
}

// MarshalMsg implements msgp.Marshaler.
func (t *timedHeartbeat) MarshalMsg(raw []byte) ([]byte, error) {
	t.sentAt = time.Now()
	t.AgeMs = int(t.sentAt.Sub(t.startedAt).Milliseconds())
	return t.HeartbeatRequest.MarshalMsg(raw)
}

// sendHeartbeats sends one heartbeat after the other until the context ends. Nothing is served before the core was asked,
// so a router that starts does not wait for its turn.
func (m *Member) sendHeartbeats() {
	for !m.sendHeartbeat() {
		if !runloop.Sleep(m.ctx, firstHeartbeatRetry) {
			return
		}
	}
	m.runEvery(heartbeatInterval, func() { m.sendHeartbeat() })
}

// sendHeartbeat renews our lease at the core and applies what has changed. It reports whether the core has answered.
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
		return true // answered, but the configuration is still missing
	}
	m.readiness.setSynced()
	return true
}

// makeHeartbeat states what this router is, what it has already, and how its attempts at runners ended.
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

// applyHeartbeatResponse applies the view, the peers and the runners of the core's answer. The peers come before the lease:
// who finds the core responsive finds the peers of that answer as well.
func (m *Member) applyHeartbeatResponse(response *coreapi.HeartbeatResponse) {
	m.Core.Learn(response.View)
	m.peers.apply(response)
	if wasSilent := m.lease.renew(response); wasSilent {
		m.ctx.Log.Info("The core is heard again.")
	}
	if m.runners != nil {
		m.runners.Apply(response)
	}
	if m.onFindings != nil {
		m.onFindings(RunnerFindings{Failing: response.Failing, LowLatency: response.LowLatencyRunners})
	}
}

// fetchConfig fetches the configuration of a version that the core has named, if it is not here yet. One that could not be
// parsed is not fetched again and again. A new one is on its way by dissemination: it is fetched only if it was missing for
// a whole heartbeat, else a large part of the fleet would ask the primary at once.
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
