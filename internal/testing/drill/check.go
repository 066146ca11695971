package drill

import (
	"fmt"
	"sort"
	"time"
)

// Breach is one broken promise.
type Breach struct {
	Promise string
	Detail  string
}

// Check holds all that was seen against the promises and names every broken one.
func Check(ev Evidence) []Breach {
	var bad []Breach
	report := func(promise, f string, a ...any) { bad = append(bad, Breach{promise, fmt.Sprintf(f, a...)}) }
	ev.checkRequests(report)
	ev.checkConfigs(report)
	ev.checkQuotas(report)
	ev.checkTries(report)
	ev.checkTimes(report)
	return bad
}

type reportFunc func(promise, f string, a ...any)

// checkQuotas holds each tenant's requests, as runners saw them, against its quota in every rolling window.
func (ev Evidence) checkQuotas(report reportFunc) {
	for tenant, v := range ev.Mix.Config["tenants"].(object) {
		quota, ok := v.(object)["quota"].(object)
		if !ok {
			continue
		}
		units, window := quota["units"].(int), time.Duration(quota["window_s"].(int))*time.Second
		var times []time.Time
		for _, s := range ev.RunnerRequests {
			if s.Header.Get("X-Yarrowridge-Tenant") == tenant {
				times = append(times, s.ReceivedAt)
			}
		}
		sort.Slice(times, func(i, j int) bool { return times[i].Before(times[j]) })
		for i, j := 0, 0; i < len(times); i++ {
			for times[i].Sub(times[j]) >= window {
				j++
			}
			if i-j+1 > units {
				report("quota", "%d queries of %s ran within %s, its quota is %d", i-j+1, tenant, window, units)
				break
			}
		}
	}
}

// checkTries holds second tries against first ones in every ten seconds, over the whole fleet.
func (ev Evidence) checkTries(report reportFunc) {
	for service, v := range ev.Mix.Config["services"].(object) {
		allowance := float64(v.(object)["second_spare"].(int))
		for i, j := 0, 0; j < len(ev.TryCounts); j++ {
			for ev.TryCounts[j].At.Sub(ev.TryCounts[i].At) > 10*time.Second {
				i++
			}
			from, to := ev.TryCounts[i], ev.TryCounts[j]
			if first, second := to.First[service]-from.First[service], to.Second[service]-from.Second[service]; second > 0.2*first+allowance {
				report("second-tries", "%g second tries to %s beside %g first ones within %s", second, service, first, to.At.Sub(from.At).Round(time.Millisecond))
				break
			}
		}
	}
}
