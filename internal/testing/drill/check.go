package drill

import (
	"fmt"
	"sort"
	"time"
)

// Breach is one broken promise.
type Breach struct {
	Promise string
	What    string
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

type reporter func(promise, f string, a ...any)

// checkQuotas holds each tenant's requests, as runners saw them, against its quota in every rolling window.
func (ev Evidence) checkQuotas(report reporter) {
	for tenant, v := range ev.Mix.Config["tenants"].(object) {
		q, ok := v.(object)["quota"].(object)
		if !ok {
			continue
		}
		units, window := q["units"].(int), time.Duration(q["window_s"].(int))*time.Second
		var at []time.Time
		for _, s := range ev.Seen {
			if s.Header.Get("X-Yarrowridge-Tenant") == tenant {
				at = append(at, s.At)
			}
		}
		sort.Slice(at, func(i, j int) bool { return at[i].Before(at[j]) })
		for i, j := 0, 0; i < len(at); i++ {
			for at[i].Sub(at[j]) >= window {
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
func (ev Evidence) checkTries(report reporter) {
	for service, v := range ev.Mix.Config["services"].(object) {
		spare := float64(v.(object)["second_spare"].(int))
		for i, j := 0, 0; j < len(ev.TryCounts); j++ {
			for ev.TryCounts[j].At.Sub(ev.TryCounts[i].At) > 10*time.Second {
				i++
			}
			a, b := ev.TryCounts[i], ev.TryCounts[j]
			if first, again := b.First[service]-a.First[service], b.Again[service]-a.Again[service]; again > 0.2*first+spare {
				report("second-tries", "%g second tries to %s beside %g first ones within %s", again, service, first, b.At.Sub(a.At).Round(time.Millisecond))
				break
			}
		}
	}
}
