package drill

import (
	"time"
)

// checkConfigs holds what routers obeyed against what operators were told.
func (ev Evidence) checkConfigs(report reporter) {
	acked, doubt := map[uint64]ConfigWrite{}, map[string]bool{}
	var newest ConfigWrite
	for _, e := range ev.ConfigWrites {
		switch {
		case e.Code == 200:
			if was, twice := acked[e.Version]; twice && was.Hash != e.Hash {
				report("layout", "sequence %d was acknowledged for two layouts", e.Version)
			}
			acked[e.Version] = e
			if e.Version > newest.Version {
				newest = e
			}
		case e.Code == 0 || e.Code == 504:
			doubt[e.Hash] = true
		}
	}
	type high struct {
		seq uint64
		at  time.Time
	}
	best := map[string]high{}
	late := 2*time.Second + ev.Slack
	for _, s := range ev.ConfigReadings {
		if e, ok := acked[s.Version]; ok && e.Hash != s.Hash || !ok && !doubt[s.Hash] {
			report("losing-layout", "%s obeys a layout at sequence %d that no operator was told to have won", s.Router, s.Version)
		}
		if b := best[s.Router]; s.Version < b.seq && s.AskedAt.Sub(b.at) > 250*time.Millisecond {
			report("slipped-back", "%s obeys sequence %d, %s after it had obeyed %d", s.Router, s.Version, s.AskedAt.Sub(b.at).Round(time.Millisecond), b.seq)
		}
		if s.Version > best[s.Router].seq {
			best[s.Router] = high{s.Version, s.AnsweredAt}
		}
		for _, e := range acked {
			if e.Version > s.Version && !s.Stale && s.AskedAt.Sub(e.AnsweredAt) > late {
				report("layout-late", "%s obeys sequence %d, %s after %d was acknowledged", s.Router, s.Version, s.AskedAt.Sub(e.AnsweredAt).Round(time.Millisecond), e.Version)
				break
			}
		}
	}
	if f := ev.Final; f != nil {
		if e, ok := acked[f.Version]; f.Version < newest.Version || ok && e.Hash != f.Hash || !ok && !doubt[f.Hash] {
			report("read-back", "sequence %d was read back at the end, %d is the newest acknowledged", f.Version, newest.Version)
		}
	}
	for _, g := range ev.KeyWithdrawals {
		for _, o := range ev.Outcomes {
			if o.Tenant != g.Tenant {
				continue
			}
			end := o.Begun.Add(o.Took)
			if fresh := o.Begun.Sub(g.From) > late && o.Begun.Before(g.To) && o.Status == 200; fresh ||
				o.Whole && o.Begun.Before(g.From) && end.Sub(g.From) > late && end.Before(g.To) {
				report("withdrawn", "query %d of %s was answered %s after its key was withdrawn", o.Number, g.Tenant, end.Sub(g.From).Round(time.Millisecond))
			}
		}
	}
}
