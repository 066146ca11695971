package core

import (
	"sort"
	"strings"

	"yarrowridge/internal/share"
)

// Peek tells the core's own state.
//
//	st := srv.Peek()
func (s *Server) Peek() *State {
	st := s.st.Load()
	out := &State{View: s.vot.View(), Me: s.vot.Id(), Stored: st.Seq()}
	s.mu.Lock()
	s.prune()
	out.Ready, out.Seq, out.Sick = s.ready, s.sheet.Seq, s.sick
	out.Nodes = s.live()
	for _, sp := range s.spare {
		out.Spares = append(out.Spares, sp.who)
	}
	s.mu.Unlock()
	st.Each("claim/", func(string, []byte) { out.Claims++ })
	st.Each(ranHead, func(_ string, v []byte) { out.Parts, out.Ran = out.Parts+1, out.Ran+len(v)/8 })
	st.Each("share/", func(k string, raw []byte) {
		var p share.QuotaPool
		if _, err := p.UnmarshalMsg(raw); err != nil {
			return
		}
		ten := strings.TrimPrefix(k, "share/")
		for who, h := range p.Held {
			out.Shares = append(out.Shares, Share{Tenant: ten, Holder: who, Units: h.Units})
		}
		for who, n := range p.Cool {
			out.Shares = append(out.Shares, Share{Tenant: ten, Holder: who, Units: n, Cool: true})
		}
	})
	sort.Slice(out.Shares, func(i, j int) bool {
		a, b := out.Shares[i], out.Shares[j]
		return a.Tenant < b.Tenant || a.Tenant == b.Tenant && a.Holder < b.Holder
	})
	return out
}
