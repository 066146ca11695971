package router

import (
	"yarrowridge/internal/controlplane/coreapi"
	"yarrowridge/internal/dataplane/cluster"
)

// runnerStats returns the outcomes of the attempts at each runner since the last heartbeat, which reports them to the core.
func (g *Gateway) runnerStats() []coreapi.RunnerStats {
	var stats []coreapi.RunnerStats
	for id, tally := range g.Balancer.DrainTally() {
		stats = append(stats, coreapi.RunnerStats{ID: id, Attempts: tally.Attempts, Failures: tally.Failures,
			TokenGaps: tally.Gaps, TokenGapsMs: int(tally.GapTotal.Milliseconds())})
	}
	return stats
}

// applyFindings passes the core's findings about runners on to the balancer.
func (g *Gateway) applyFindings(findings cluster.RunnerFindings) {
	failureRates := make(map[string]float64, len(findings.Failing))
	for _, runner := range findings.Failing {
		failureRates[runner.ID] = runner.FailureRatio
	}
	g.Balancer.SetFailureRates(failureRates)
	g.Balancer.SetLowLatency(findings.LowLatency)
}
