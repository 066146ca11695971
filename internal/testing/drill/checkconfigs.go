package drill

import (
	"time"
)

// checkConfigs holds what routers obeyed against what operators were told.
func (ev Evidence) checkConfigs(report reportFunc) {
	acked, uncertain := map[uint64]ConfigWrite{}, map[string]bool{}
	var newest ConfigWrite
	for _, write := range ev.ConfigWrites {
		switch {
		case write.Code == 200:
			if was, twice := acked[write.Version]; twice && was.Hash != write.Hash {
				report("layout", "sequence %d was acknowledged for two layouts", write.Version)
			}
			acked[write.Version] = write
			if write.Version > newest.Version {
				newest = write
			}
		case write.Code == 0 || write.Code == 504:
			uncertain[write.Hash] = true
		}
	}
	type latest struct {
		seq uint64
		at  time.Time
	}
	latestByRouter := map[string]latest{}
	limit := 2*time.Second + ev.Slack
	for _, reading := range ev.ConfigReadings {
		if write, ok := acked[reading.Version]; ok && write.Hash != reading.Hash || !ok && !uncertain[reading.Hash] {
			report("losing-layout", "%s obeys a layout at sequence %d that no operator was told to have won", reading.Router, reading.Version)
		}
		if b := latestByRouter[reading.Router]; reading.Version < b.seq && reading.SentAt.Sub(b.at) > 250*time.Millisecond {
			report("slipped-back", "%s obeys sequence %d, %s after it had obeyed %d", reading.Router, reading.Version, reading.SentAt.Sub(b.at).Round(time.Millisecond), b.seq)
		}
		if reading.Version > latestByRouter[reading.Router].seq {
			latestByRouter[reading.Router] = latest{reading.Version, reading.AnsweredAt}
		}
		for _, write := range acked {
			if write.Version > reading.Version && !reading.Stale && reading.SentAt.Sub(write.AnsweredAt) > limit {
				report("layout-late", "%s obeys sequence %d, %s after %d was acknowledged", reading.Router, reading.Version, reading.SentAt.Sub(write.AnsweredAt).Round(time.Millisecond), write.Version)
				break
			}
		}
	}
	if f := ev.FinalConfig; f != nil {
		if write, ok := acked[f.Version]; f.Version < newest.Version || ok && write.Hash != f.Hash || !ok && !uncertain[f.Hash] {
			report("read-back", "sequence %d was read back at the end, %d is the newest acknowledged", f.Version, newest.Version)
		}
	}
	for _, revocation := range ev.KeyRevocations {
		for _, o := range ev.Outcomes {
			if o.Tenant != revocation.Tenant {
				continue
			}
			end := o.StartedAt.Add(o.Duration)
			if fresh := o.StartedAt.Sub(revocation.From) > limit && o.StartedAt.Before(revocation.To) && o.Status == 200; fresh ||
				o.Complete && o.StartedAt.Before(revocation.From) && end.Sub(revocation.From) > limit && end.Before(revocation.To) {
				report("withdrawn", "query %d of %s was answered %s after its key was withdrawn", o.Number, revocation.Tenant, end.Sub(revocation.From).Round(time.Millisecond))
			}
		}
	}
}
