package core

import (
	"sort"
	"strings"

	"yarrowridge/internal/share"
)

// State tells the core's own state.
//
//	st := srv.State()
func (s *Server) State() *State {
	st := s.st.Load()
	out := &State{View: s.vot.View(), Id: s.vot.Id(), StoreVersion: st.Seq()}
	s.mu.Lock()
	s.prune()
	out.Ready, out.ConfigVersion, out.DiskFailed = s.ready, s.sheet.Version, s.sick
	out.Nodes = s.live()
	for _, sp := range s.spare {
		out.Candidates = append(out.Candidates, sp.who)
	}
	s.mu.Unlock()
	st.Each("claim/", func(string, []byte) { out.Claims++ })
	st.Each(ranHead, func(_ string, v []byte) {
		out.FinishedKeyParts, out.FinishedKeys = out.FinishedKeyParts+1, out.FinishedKeys+len(v)/8
	})
	st.Each("share/", func(k string, raw []byte) {
		var p share.QuotaPool
		if _, err := p.UnmarshalMsg(raw); err != nil {
			return
		}
		ten := strings.TrimPrefix(k, "share/")
		for who, h := range p.Held {
			out.Shares = append(out.Shares, QuotaShare{Tenant: ten, Holder: who, Units: h.Units})
		}
		for who, n := range p.Cool {
			out.Shares = append(out.Shares, QuotaShare{Tenant: ten, Holder: who, Units: n, Cool: true})
		}
	})
	sort.Slice(out.Shares, func(i, j int) bool {
		a, b := out.Shares[i], out.Shares[j]
		return a.Tenant < b.Tenant || a.Tenant == b.Tenant && a.Holder < b.Holder
	})
	return out
}
