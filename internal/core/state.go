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
	st := s.store.Load()
	out := &State{View: s.voter.View(), Id: s.voter.Id(), StoreVersion: st.Seq()}
	s.mu.Lock()
	s.dropExpiredNodes()
	out.Ready, out.ConfigVersion, out.DiskFailed = s.ready, s.config.Version, s.diskFailed
	out.Nodes = s.liveNodes()
	for _, sp := range s.candidates {
		out.Candidates = append(out.Candidates, sp.member)
	}
	s.mu.Unlock()
	st.Each("claim/", func(string, []byte) { out.Claims++ })
	st.Each(finishedPrefix, func(_ string, v []byte) {
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
