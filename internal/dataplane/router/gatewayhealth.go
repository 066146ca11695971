package router

import (
	"yarrowridge/internal/controlplane/coreapi"
	"yarrowridge/internal/dataplane/cluster"
)

// runnerStats returns how attempts at runners ended since the last heartbeat, for the core.
func (g *Gateway) runnerStats() []coreapi.RunnerStats {
	var stats []coreapi.RunnerStats
	for id, tally := range g.Balancer.DrainTally() {
		stats = append(stats, coreapi.RunnerStats{ID: id, Attempts: tally.Attempts, Failures: tally.Failures,
			TokenGaps: tally.Gaps, TokenGapsMs: int(tally.GapTotal.Milliseconds())})
	}
	return stats
}

// applyFindings passes to the balancer what the core concludes of runners.
func (g *Gateway) applyFindings(findings cluster.RunnerFindings) {
	shares := make(map[string]float64, len(findings.Failing))
	for _, runner := range findings.Failing {
		shares[runner.ID] = runner.FailureRatio
	}
	g.Balancer.SetFailureRates(shares)
	g.Balancer.SetLowLatency(findings.LowLatency)
}
