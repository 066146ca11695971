package core

import (
	"context"
	"strings"
	"time"

	"yarrowridge/internal/share"
)

func (t *Tx) pot(ten string) (share.Pot, error) {
	var p share.Pot
	raw, ok := t.Get("share/" + ten)
	if !ok {
		return p, nil
	}
	_, err := p.UnmarshalMsg(raw)
	return p, err
}

func (s *Server) move(ctx context.Context, in *Move) (*Moved, error) {
	out := &Moved{}
	err := s.Submit(ctx, func(tx *Tx) error {
		cur, err := tx.sheet()
		if err != nil {
			return err
		}
		units := 0
		if doc := s.parsed(cur); doc != nil {
			units = doc.Quotas[in.Tenant]
		}
		p, err := tx.pot(in.Tenant)
		if err != nil {
			return err
		}
		who := in.Holder
		var changed bool
		if in.Give {
			out.Have, changed = p.Give(who, in.Turn, in.Units)
		} else {
			was := p.Held[who].Units
			out.Have, changed = p.Draw(who, in.Turn, min(in.Units, drawMost(units-p.Out())), units)
			if in.Units > 0 && out.Have == was {
				s.mu.Lock()
				s.short[in.Tenant] = time.Now()
				s.mu.Unlock()
			}
		}
		out.Under = max(units, p.Out())
		if changed {
			return tx.Put("share/"+in.Tenant, &p)
		}
		return nil
	})
	if err != nil {
		return nil, err
	}
	return out, nil
}

// drawPart is the part of the free units that one draw may take: after a restart all routers draw at once, and
// the first must not leave the others without any.
const drawPart = 8

// drawMost is the most that one draw gets of what is free.
func drawMost(free int) int { return (free + drawPart - 1) / drawPart }

// retire sets a holder's units cooling: its process is surely gone.
func (s *Server) retire(ctx context.Context, who string) error {
	return s.Submit(ctx, func(tx *Tx) error {
		return s.pots(tx, func(_ string, p *share.Pot) bool { return p.Retire(who) })
	})
}

func (s *Server) pots(tx *Tx, do func(ten string, p *share.Pot) bool) error {
	var tens []string
	tx.st.Each("share/", func(k string, _ []byte) { tens = append(tens, strings.TrimPrefix(k, "share/")) })
	for _, t := range tens {
		p, err := tx.pot(t)
		if err != nil {
			return err
		}
		if do(t, &p) {
			if err := tx.Put("share/"+t, &p); err != nil {
				return err
			}
		}
	}
	return nil
}

// holderPlace is the part of a holder's name that all runs of a node at one address share.
func holderPlace(n Node) string { return n.Name + "@" + n.Addr }

// flightTime covers the way of the last requests that a process sent before its end.
const flightTime = 50 * time.Millisecond

// replaceHolder sets the units of earlier runs at a node's address cooling. They ended before the new run
// began, so their last spends are at least as old as the new run.
func (s *Server) replaceHolder(n Node, age time.Duration) {
	place, me := holderPlace(n), Holder(n)
	ended := time.Now().Add(flightTime - share.Margin - age)
	s.later(func(tx *Tx) error {
		return s.pots(tx, func(ten string, p *share.Pot) bool {
			changed := false
			for who := range p.Held {
				if at, _, _ := strings.Cut(who, "/"); at == place && who != me {
					changed = p.Retire(who) || changed
				}
			}
			for who := range p.Cool {
				if at, _, _ := strings.Cut(who, "/"); at == place && who != me {
					s.coolSince(ten, who, ended)
				}
			}
			return changed
		})
	})
}

// coolSince notes since when a holder's units cool at the latest. Only the run loop calls it.
func (s *Server) coolSince(tenant, who string, at time.Time) {
	key := coolKey(tenant, who)
	if known, ok := s.aged[key]; !ok || at.Before(known) {
		s.aged[key] = at
	}
}

func coolKey(tenant, who string) string { return "cool/" + tenant + "/" + who }

// holding names one holder's units of one tenant.
type holding struct{ tenant, who string }

// sweepQuotas frees units that have cooled, and sets those of holders that are gone cooling.
func (s *Server) sweepQuotas(windows map[string]time.Duration, live, here map[string]bool) {
	now := time.Now()
	seen := map[string]bool{}
	aged := func(key string, span time.Duration) bool {
		seen[key] = true
		at, ok := s.aged[key]
		if !ok {
			s.aged[key] = now
			return false
		}
		return now.Sub(at) > span
	}
	var thaw, out []holding
	s.cooling = false
	s.st.Load().Each("share/", func(k string, raw []byte) {
		var p share.Pot
		if _, err := p.UnmarshalMsg(raw); err != nil {
			return
		}
		tenant := strings.TrimPrefix(k, "share/")
		for who := range p.Cool {
			s.cooling = true
			if aged(coolKey(tenant, who), windows[tenant]+share.Margin) {
				thaw = append(thaw, holding{tenant, who})
			}
		}
		for who := range p.Held {
			if live[who] {
				continue
			}
			// A holder silent for the whole term has stopped spending on its own.
			place, _, _ := strings.Cut(who, "/")
			if silent := aged("mute/"+tenant+"/"+who, share.Term+share.Term/10); silent || here[place] {
				out = append(out, holding{tenant, who})
			}
		}
	})
	for key := range s.aged {
		if !seen[key] {
			delete(s.aged, key)
		}
	}
	if len(thaw)+len(out) == 0 {
		return
	}
	s.later(func(tx *Tx) error {
		return s.pots(tx, func(tenant string, p *share.Pot) bool {
			changed := false
			for _, h := range thaw {
				changed = h.tenant == tenant && p.Thaw(h.who) || changed
			}
			for _, h := range out {
				changed = h.tenant == tenant && p.Retire(h.who) || changed
			}
			return changed
		})
	})
}
