package drill

import (
	"time"
)

// leavingGrace is how long routers may go on sending to a runner after it has announced that it leaves.
const leavingGrace = 2 * time.Second

// checkTimes checks the promises that have a time limit: after a runner announces that it leaves, while a zone is
// partitioned, and after a hard fault.
func (ev Evidence) checkTimes(report reportFunc) {
	for _, request := range ev.RunnerRequests {
		for _, departure := range ev.Departures {
			if delay := request.ReceivedAt.Sub(departure.At); request.RunID == departure.RunID && delay > leavingGrace+ev.Slack {
				report("leaving", "runner %s got a query %s after its word that it leaves", request.Runner, delay.Round(time.Millisecond))
			}
		}
	}
	for _, partition := range ev.Partitions {
		// Runners that stop sending heartbeats are detected after 5 s. From then on both sides of the partition have
		// to serve requests that need no core, and the majority side has to serve all requests.
		succeeded, attempted := map[[2]string]int{}, map[[2]string]int{}
		for _, o := range ev.Outcomes {
			side := "out"
			if ev.RouterZones[o.Router] == partition.Zone {
				side = "in"
			}
			if o.StartedAt.Sub(partition.From) > 6*time.Second && o.StartedAt.Add(o.Duration).Before(partition.To) {
				attempted[[2]string{side, o.Kind}]++
				if o.succeeded() {
					succeeded[[2]string{side, o.Kind}]++
				}
			}
		}
		for _, k := range ev.Mix.Kinds {
			if succeeded[[2]string{"out", k.Name}] == 0 && attempted[[2]string{"out", k.Name}] > 5 {
				report("cut-hall", "no %s was served outside hall %s while its link was cut", k.Name, partition.Zone)
			}
			if !k.Once && succeeded[[2]string{"in", k.Name}] == 0 && attempted[[2]string{"in", k.Name}] > 5 {
				report("cut-hall", "no %s was served in hall %s while its link was cut", k.Name, partition.Zone)
			}
			if k.Once && succeeded[[2]string{"in", k.Name}] > 0 {
				report("cut-hall", "%d %s ran in hall %s, which could not ask the core", succeeded[[2]string{"in", k.Name}], k.Name, partition.Zone)
			}
		}
	}
	for _, fault := range ev.HardFaults {
		for _, k := range ev.Mix.Kinds {
			recovery := time.Duration(-1)
			for _, o := range ev.Outcomes {
				if delay := o.StartedAt.Add(o.Duration).Sub(fault.At); o.Kind == k.Name && o.succeeded() && o.StartedAt.After(fault.At) && (recovery < 0 || delay < recovery) {
					recovery = delay
				}
			}
			if limit := 12*time.Second + ev.Slack; recovery > limit || recovery < 0 && ev.TrafficEnd.Sub(fault.At) > limit {
				report("service-back", "no %s was served within %s of this fault: %s", k.Name, limit, fault.Name)
			}
		}
	}
}
