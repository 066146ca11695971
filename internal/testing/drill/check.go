package drill

import (
	"fmt"
	"sort"
	"time"
)

// Breach is one violation of a promise of the fleet.
type Breach struct {
	Promise string
	Detail  string
}

// Check compares the evidence with the promises and returns every breach.
func Check(ev Evidence) []Breach {
	var breaches []Breach
	report := func(promise, format string, args ...any) {
		breaches = append(breaches, Breach{promise, fmt.Sprintf(format, args...)})
	}
	ev.checkRequests(report)
	ev.checkConfigs(report)
	ev.checkQuotas(report)
	ev.checkTries(report)
	ev.checkTimes(report)
	return breaches
}

// reportFunc records a breach of a promise.
type reportFunc func(promise, format string, args ...any)

// checkQuotas checks that in no rolling window the runners received more requests of a tenant than its quota allows.
func (ev Evidence) checkQuotas(report reportFunc) {
	for tenant, config := range ev.Mix.Config["tenants"].(object) {
		quota, ok := config.(object)["quota"].(object)
		if !ok {
			continue
		}
		units, window := quota["units"].(int), time.Duration(quota["window_s"].(int))*time.Second
		var times []time.Time
		for _, request := range ev.RunnerRequests {
			if request.Header.Get("X-Yarrowridge-Tenant") == tenant {
				times = append(times, request.ReceivedAt)
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

// checkTries checks that in every 10 s, over the whole fleet, the second tries to a service stay within 20 % of its
// first tries plus the configured allowance.
func (ev Evidence) checkTries(report reportFunc) {
	for service, config := range ev.Mix.Config["services"].(object) {
		allowance := float64(config.(object)["second_spare"].(int))
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
