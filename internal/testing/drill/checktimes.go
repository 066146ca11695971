package drill

import (
	"time"
)

// leavingTime is how long after a runner's word that it leaves routers may still send to it.
const leavingTime = 2 * time.Second

// checkTimes holds leaving runners and hard faults against the time that the promises give.
func (ev Evidence) checkTimes(report reporter) {
	for _, s := range ev.Seen {
		for _, w := range ev.Departures {
			if d := s.At.Sub(w.At); s.RunID == w.RunID && d > leavingTime+ev.Slack {
				report("leaving", "runner %s got a query %s after its word that it leaves", s.Runner, d.Round(time.Millisecond))
			}
		}
	}
	for _, c := range ev.LinkCuts {
		// Silent runners are found out after 5 s; from then on both sides serve what needs no core, and
		// the greater part everything.
		got, asked := map[[2]string]int{}, map[[2]string]int{}
		for _, o := range ev.Outcomes {
			side := "out"
			if ev.Zones[o.Router] == c.Zone {
				side = "in"
			}
			if o.Begun.Sub(c.From) > 6*time.Second && o.Begun.Add(o.Took).Before(c.To) {
				asked[[2]string{side, o.Kind}]++
				if o.served() {
					got[[2]string{side, o.Kind}]++
				}
			}
		}
		for _, k := range ev.Mix.Kinds {
			if got[[2]string{"out", k.Name}] == 0 && asked[[2]string{"out", k.Name}] > 5 {
				report("cut-hall", "no %s was served outside hall %s while its link was cut", k.Name, c.Zone)
			}
			if !k.Once && got[[2]string{"in", k.Name}] == 0 && asked[[2]string{"in", k.Name}] > 5 {
				report("cut-hall", "no %s was served in hall %s while its link was cut", k.Name, c.Zone)
			}
			if k.Once && got[[2]string{"in", k.Name}] > 0 {
				report("cut-hall", "%d %s ran in hall %s, which could not ask the core", got[[2]string{"in", k.Name}], k.Name, c.Zone)
			}
		}
	}
	for _, h := range ev.HardFaults {
		for _, k := range ev.Mix.Kinds {
			back := time.Duration(-1)
			for _, o := range ev.Outcomes {
				if d := o.Begun.Add(o.Took).Sub(h.At); o.Kind == k.Name && o.served() && o.Begun.After(h.At) && (back < 0 || d < back) {
					back = d
				}
			}
			if limit := 12*time.Second + ev.Slack; back > limit || back < 0 && ev.End.Sub(h.At) > limit {
				report("service-back", "no %s was served within %s of this fault: %s", k.Name, limit, h.Name)
			}
		}
	}
}
