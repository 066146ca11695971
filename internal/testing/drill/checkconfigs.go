package drill

import (
	"time"
)

// checkConfigs compares the configs that routers applied with the writes that operators saw acknowledged.
func (ev Evidence) checkConfigs(report reportFunc) {
	acked, uncertain := map[uint64]ConfigWrite{}, map[string]bool{}
	var newest ConfigWrite
	for _, write := range ev.ConfigWrites {
		switch {
		case write.Code == 200:
			if earlier, known := acked[write.Version]; known && earlier.Hash != write.Hash {
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
	type configAt struct {
		version uint64
		at      time.Time
	}
	latestByRouter := map[string]configAt{}
	limit := 2*time.Second + ev.Slack
	for _, reading := range ev.ConfigReadings {
		if write, ok := acked[reading.Version]; ok && write.Hash != reading.Hash || !ok && !uncertain[reading.Hash] {
			report("losing-layout", "%s obeys a layout at sequence %d that no operator was told to have won", reading.Router, reading.Version)
		}
		if latest := latestByRouter[reading.Router]; reading.Version < latest.version && reading.SentAt.Sub(latest.at) > 250*time.Millisecond {
			report("slipped-back", "%s obeys sequence %d, %s after it had obeyed %d", reading.Router, reading.Version, reading.SentAt.Sub(latest.at).Round(time.Millisecond), latest.version)
		}
		if reading.Version > latestByRouter[reading.Router].version {
			latestByRouter[reading.Router] = configAt{reading.Version, reading.AnsweredAt}
		}
		for _, write := range acked {
			if write.Version > reading.Version && !reading.Stale && reading.SentAt.Sub(write.AnsweredAt) > limit {
				report("layout-late", "%s obeys sequence %d, %s after %d was acknowledged", reading.Router, reading.Version, reading.SentAt.Sub(write.AnsweredAt).Round(time.Millisecond), write.Version)
				break
			}
		}
	}
	if final := ev.FinalConfig; final != nil {
		if write, ok := acked[final.Version]; final.Version < newest.Version || ok && write.Hash != final.Hash || !ok && !uncertain[final.Hash] {
			report("read-back", "sequence %d was read back at the end, %d is the newest acknowledged", final.Version, newest.Version)
		}
	}
	for _, revocation := range ev.KeyRevocations {
		for _, o := range ev.Outcomes {
			if o.Tenant != revocation.Tenant {
				continue
			}
			end := o.StartedAt.Add(o.Duration)
			if startedLate := o.StartedAt.Sub(revocation.From) > limit && o.StartedAt.Before(revocation.To) && o.Status == 200; startedLate ||
				o.Complete && o.StartedAt.Before(revocation.From) && end.Sub(revocation.From) > limit && end.Before(revocation.To) {
				report("withdrawn", "query %d of %s was answered %s after its key was withdrawn", o.Number, revocation.Tenant, end.Sub(revocation.From).Round(time.Millisecond))
			}
		}
	}
}
