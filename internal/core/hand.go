package core

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/tinylib/msgp/msgp"

	"yarrowridge/internal/layout"
	"yarrowridge/internal/relay"
	"yarrowridge/internal/share"
	"yarrowridge/internal/store"
	"yarrowridge/internal/strike"
	"yarrowridge/internal/view"
	"yarrowridge/internal/wire"
)

// past is how many older layouts are kept for reading back.
const past = 16

// marks is how many write ids are remembered.
const marks = 1000

func (s *Server) viewHand(_ context.Context, kind string, body []byte) (msgp.Marshaler, error) {
	ans, err := s.vote(kind, body)
	if err != nil && !isFault(err) {
		s.trouble(err)
		return nil, wire.Fault{Code: DiskBad}
	}
	return ans, err
}

func isFault(err error) bool {
	_, ok := err.(wire.Fault)
	return ok
}

func (s *Server) vote(kind string, body []byte) (msgp.Marshaler, error) {
	switch kind {
	case "view.ask":
		return s.vot.Told(s.set.Addr, s.ctx.Hall), nil
	case "view.prep":
		return wire.On(body, s.vot.Prep)
	case "view.pick":
		return wire.On(body, s.vot.Pick)
	case "view.learn":
		return wire.On(body, func(in *view.Learn) (*Done, error) { return &Done{}, s.vot.Learn(in.View) })
	case "view.renew":
		return wire.On(body, s.vot.Renew)
	case "view.release":
		return wire.On(body, func(in *view.Release) (*Done, error) { s.vot.Release(in); return &Done{}, nil })
	}
	return nil, wire.Fault{Code: "unknown-kind"}
}

func (s *Server) coreHand(ctx context.Context, kind string, body []byte) (msgp.Marshaler, error) {
	ctx, end := context.WithTimeout(ctx, 4*time.Second)
	defer end()
	switch kind {
	case "core.hold":
		return wire.On(body, s.hold)
	case "core.copy":
		return wire.On(body, s.copy)
	case "core.join":
		return wire.On(body, func(in *Join) (*Done, error) { return s.takeJoin(ctx, in) })
	case "core.beat":
		return wire.On(body, func(in *Beat) (*Told, error) { return s.takeBeat(ctx, in) })
	case "core.layout":
		return wire.On(body, s.giveLayout)
	case "core.write":
		return wire.On(body, func(in *Write) (*Wrote, error) { return s.write(ctx, in) })
	case "core.take":
		return wire.On(body, func(in *Take) (*Took, error) { return s.take(ctx, in) })
	case "core.settle":
		return wire.On(body, func(in *Settle) (*Done, error) { return s.settle(ctx, in) })
	case "core.move":
		return wire.On(body, func(in *Move) (*Moved, error) { return s.move(ctx, in) })
	case "core.peek":
		return wire.On(body, func(*Peek) (*State, error) { return s.Peek(), nil })
	}
	return nil, wire.Fault{Code: "unknown-kind"}
}

// backs tells whether we may hold state for this view's primary; anything older is bounced.
func (s *Server) backs(v view.View, from string, seat bool) error {
	if s.isSick() {
		return wire.Fault{Code: DiskBad}
	}
	if err := s.vot.Learn(v); err != nil {
		s.trouble(err)
		return wire.Fault{Code: DiskBad}
	}
	cur := s.vot.View()
	if cur.Epoch != v.Epoch || cur.Prime != from {
		return wire.Fault{Code: OldEpoch}
	}
	me := s.vot.Id()
	if !cur.IsBackup(me) && (seat || !cur.Has(me)) {
		return wire.Fault{Code: "not-backup"}
	}
	return nil
}

func (s *Server) hold(in *Hold) (*Held, error) {
	s.keep.Lock()
	defer s.keep.Unlock()
	if err := s.backs(in.View, in.From, true); err != nil {
		return nil, err
	}
	st := s.st.Load()
	if in.Batch.Base || in.Batch.Seq != st.Seq()+1 {
		return nil, wire.Fault{Code: "behind"}
	}
	if err := st.Add(in.Batch); err != nil {
		s.trouble(err)
		return nil, wire.Fault{Code: DiskBad}
	}
	go func() { // the primary need not wait for it
		s.keep.Lock()
		defer s.keep.Unlock()
		if err := st.Tidy(); err != nil {
			s.trouble(err)
		}
	}()
	return &Held{Id: s.vot.Id()}, nil
}

func (s *Server) copy(in *Copy) (*Held, error) {
	s.keep.Lock()
	defer s.keep.Unlock()
	if err := s.backs(in.View, in.From, false); err != nil {
		return nil, err
	}
	s.mu.Lock()
	c := s.copied
	if in.Part == 0 {
		c = &copying{epoch: in.View.Epoch, turn: in.Turn}
		s.copied = c
	}
	s.mu.Unlock()
	if c == nil || c.epoch != in.View.Epoch || c.turn != in.Turn || c.part != in.Part {
		return nil, wire.Fault{Code: "copy-out-of-step"}
	}
	c.part++
	c.puts = append(c.puts, in.Puts...)
	if in.Last {
		s.mu.Lock()
		s.copied = nil
		s.mu.Unlock()
		if err := s.st.Load().Add(store.Batch{Seq: in.Seq, Base: true, Puts: c.puts}); err != nil {
			s.trouble(err)
			return nil, wire.Fault{Code: DiskBad}
		}
	}
	return &Held{Id: s.vot.Id()}, nil
}

// prime bounces what only a ready primary may answer.
func (s *Server) prime() error {
	v := s.vot.View()
	if v.Prime != s.vot.Id() {
		return wire.Fault{Code: NotPrimary}
	}
	s.mu.Lock()
	ready := s.ready
	s.mu.Unlock()
	if !ready || !s.stands(v) {
		return wire.Fault{Code: NotReady}
	}
	return nil
}

func (s *Server) takeBeat(ctx context.Context, in *Beat) (*Told, error) {
	if err := s.prime(); err != nil {
		return nil, err
	}
	n := in.Node
	s.mu.Lock()
	old := s.nodes[n.Name]
	if old != nil && old.node.Addr != n.Addr && time.Since(old.at) <= nodeTerm {
		s.mu.Unlock()
		return nil, wire.Fault{Code: NameTaken} // a router that moved gets its name once the lease is over
	}
	switch {
	case in.Leave:
		if old != nil && old.node.Born == n.Born {
			delete(s.nodes, n.Name)
			s.roll++
		}
	case old == nil || old.node != n:
		if old == nil || !alike(old.node, n) {
			s.roll++
		}
		s.nodes[n.Name] = &seat{n, time.Now()}
	default:
		old.at = time.Now()
	}
	if !in.Leave {
		defer s.remember(n)
	}
	s.prune()
	out := &Told{View: s.vot.View(), Seq: s.sheet.Seq, Roll: s.roll}
	// A primary that has just begun does not know all nodes yet, so it names none.
	if in.Roll != s.roll && time.Since(s.since) > nodeTerm {
		out.Whole = true
		out.Nodes = s.live()
	}
	for t, at := range s.short {
		if time.Since(at) < 5*time.Second {
			out.Short = append(out.Short, t)
		} else {
			delete(s.short, t)
		}
	}
	sort.Strings(out.Short)
	s.mu.Unlock()
	if in.Leave {
		if err := s.retire(ctx, Holder(n)); err != nil {
			return nil, err
		}
	}
	return out, nil
}

// alike tells whether two words of a node say the same to its peers.
func alike(a, b Node) bool {
	a.Seq, b.Seq = 0, 0
	return a == b
}

// prune drops nodes whose lease ran out; the caller holds the lock.
func (s *Server) prune() {
	for k, seat := range s.nodes {
		if time.Since(seat.at) > nodeTerm {
			delete(s.nodes, k)
			s.roll++
		}
	}
}

func (s *Server) live() []Node {
	var out []Node
	for _, seat := range s.nodes {
		out = append(out, seat.node)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// Holder names one run of a node as the holder of units. The address is part of it: a newer run
// at the same address proves the older one gone, since only one process can listen there.
//
//	who := core.Holder(node)
func Holder(n Node) string {
	return n.Name + "@" + n.Addr + "/" + strconv.FormatUint(n.Born, 16)
}

func (s *Server) giveLayout(in *Want) (*Sheet, error) {
	if err := s.prime(); err != nil {
		return nil, err
	}
	s.mu.Lock()
	sheet := s.sheet
	s.mu.Unlock()
	if in.Seq == 0 || in.Seq == sheet.Seq {
		return &sheet, nil
	}
	raw, ok := s.st.Load().Get(pastKey(in.Seq))
	if !ok || in.Seq > sheet.Seq {
		return nil, wire.Fault{Code: "no-such-sequence"}
	}
	var old Sheet
	if _, err := old.UnmarshalMsg(raw); err != nil {
		return nil, err
	}
	return &old, nil
}

func pastKey(seq uint64) string { return "past/" + strconv.FormatUint(seq, 10) }

func (t *Tx) sheet() (Sheet, error) {
	var s Sheet
	raw, ok := t.Get("layout")
	if !ok {
		return s, nil
	}
	_, err := s.UnmarshalMsg(raw)
	return s, err
}

// write checks and takes an operator's change. It is answered once both disks hold it and each
// hall's first relays have it, or a short time for that has passed.
func (s *Server) write(ctx context.Context, in *Write) (*Wrote, error) {
	out := &Wrote{Code: 200}
	if len(in.Raw) > layout.Most {
		return &Wrote{Code: 413}, nil
	}
	sum := sha256.Sum256(in.Raw)
	hash := hex.EncodeToString(sum[:])
	var sheet Sheet
	err := s.Submit(ctx, func(tx *Tx) error {
		cur, err := tx.sheet()
		if err != nil {
			return err
		}
		if in.Id != "" {
			if raw, ok := tx.Get("mark/" + in.Id); ok {
				var m Mark
				if _, err := m.UnmarshalMsg(raw); err != nil {
					return err
				}
				out.Seq, out.Again = m.Seq, true
				if m.Sum != hash {
					out.Code = 422
				}
				return nil
			}
		}
		out.Seq = cur.Seq
		if !in.Any && in.Match != cur.Seq {
			out.Code = 412
			if !strike.Out("race") {
				return nil
			}
		}
		raw := in.Raw
		if in.Patch {
			if raw, err = layout.Merge(cur.Raw, in.Raw); err != nil {
				out.Code, out.Flaws = 400, []Flaw{{Text: "valid JSON expected"}}
				return nil
			}
			if len(raw) > layout.Most {
				out.Code = 413
				return nil
			}
		}
		if _, bad := layout.Parse(raw); len(bad) > 0 {
			out.Code = 400
			for _, t := range bad {
				out.Flaws = append(out.Flaws, Flaw{t.Path, t.Text})
			}
			return nil
		}
		sheet = Sheet{Seq: cur.Seq + 1, Raw: raw}
		out.Seq = sheet.Seq
		if err := tx.Put("layout", &sheet); err != nil {
			return err
		}
		if err := tx.Put(pastKey(sheet.Seq), &sheet); err != nil {
			return err
		}
		if sheet.Seq > past {
			tx.Drop(pastKey(sheet.Seq - past))
		}
		if in.Id != "" {
			if err := tx.Put("mark/"+in.Id, &Mark{sheet.Seq, hash}); err != nil {
				return err
			}
			if err := tx.Put("marked/"+strconv.FormatUint(sheet.Seq, 10), &Claim{Id: in.Id}); err != nil {
				return err
			}
		}
		if sheet.Seq > marks {
			key := "marked/" + strconv.FormatUint(sheet.Seq-marks, 10)
			if raw, ok := tx.Get(key); ok {
				var c Claim
				if _, err := c.UnmarshalMsg(raw); err == nil {
					tx.Drop("mark/" + c.Id)
				}
				tx.Drop(key)
			}
		}
		return nil
	})
	if err != nil {
		return nil, err
	}
	if sheet.Seq > 0 {
		s.ctx.Log.Info("Layout taken.", "sequence", sheet.Seq)
		s.push(sheet)
		if !s.stands(s.vot.View()) {
			return nil, wire.Fault{Code: InDoubt}
		}
	}
	return out, nil
}

// push hands a layout to the first nodes of every hall and waits a quarter second at most, so
// that the news outlives us once we have answered.
func (s *Server) push(sheet Sheet) {
	ctx, end := context.WithTimeout(s.ctx, 250*time.Millisecond)
	s.mu.Lock()
	all := s.live()
	s.mu.Unlock()
	tell := relay.Tell{Recs: []relay.Rec{relay.LayoutRec(sheet.Seq, sheet.Raw)}}
	halls := map[string]int{}
	done := make(chan bool, len(all))
	sent := 0
	for _, n := range all {
		if halls[n.Hall]++; halls[n.Hall] > 2 {
			continue
		}
		sent++
		go func() {
			done <- s.cal.Call(ctx, n.Addr, "node.tell", &tell, nil) == nil
		}()
	}
	defer end()
	for range sent {
		select {
		case <-done:
		case <-ctx.Done():
			return
		}
	}
}

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
		if lay := s.parsed(cur); lay != nil {
			for _, t := range lay.Tenants {
				if t.Name == in.Tenant {
					units = t.Quota.Units
				}
			}
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
			out.Have, changed = p.Draw(who, in.Turn, in.Units, units)
			if out.Have-was < in.Units {
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

// parsed keeps the last layout read, since shares ask for it often. Only the run loop calls it.
func (s *Server) parsed(sheet Sheet) *layout.Layout {
	if s.lay == nil || s.lay.Seq != sheet.Seq {
		lay, bad := layout.Parse(sheet.Raw)
		if len(bad) > 0 {
			return nil
		}
		lay.Seq = sheet.Seq
		s.lay = lay
	}
	return s.lay
}

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

// sweep ends what has had its time: cooled units and old claims. Time is counted from when this
// run of this process first saw them, so a restart only makes them last longer.
func (s *Server) sweep() {
	if time.Since(s.swept) < time.Second {
		return
	}
	s.swept = time.Now()
	s.mu.Lock()
	ready, sheet := s.ready, s.sheet
	live, here, at := map[string]bool{}, map[string]bool{}, map[string]bool{}
	s.prune()
	for _, n := range s.nodes {
		live[Holder(n.node)] = true
		here[n.node.Name+"@"+n.node.Addr] = true
		at[n.node.Addr] = true
	}
	s.mu.Unlock()
	if !ready {
		return
	}
	s.greet(at)
	lay := s.parsed(sheet)
	if lay == nil {
		return
	}
	win := map[string]time.Duration{}
	for _, t := range lay.Tenants {
		win[t.Name] = t.Quota.Window
	}
	old := func(key string, d time.Duration) bool {
		at, ok := s.aged[key]
		if !ok {
			s.aged[key] = time.Now()
			return false
		}
		return time.Since(at) > d
	}
	now := map[string]bool{}
	st := s.st.Load()
	// There may be very many claims, and none is kept by the second.
	if time.Since(s.swept10) > 10*time.Second {
		s.swept10 = time.Now()
		s.sweepClaims(lay.Limits)
	}
	var thaw, out [][2]string
	st.Each("share/", func(k string, raw []byte) {
		var p share.Pot
		if _, err := p.UnmarshalMsg(raw); err != nil {
			return
		}
		ten := strings.TrimPrefix(k, "share/")
		for who := range p.Cool {
			c := "cool/" + ten + "/" + who
			now[c] = true
			if old(c, win[ten]+2*share.Margin) {
				thaw = append(thaw, [2]string{ten, who})
			}
		}
		for who := range p.Held {
			c := "mute/" + ten + "/" + who
			if live[who] {
				continue
			}
			now[c] = true
			// A holder silent for the whole term has stopped spending on its own.
			place, _, _ := strings.Cut(who, "/")
			if here[place] || old(c, share.Term+share.Term/10) {
				out = append(out, [2]string{ten, who})
			}
		}
	})
	for k := range s.aged {
		if !now[k] {
			delete(s.aged, k)
		}
	}
	if len(thaw)+len(out) == 0 {
		return
	}
	s.later(func(tx *Tx) error {
		return s.pots(tx, func(ten string, p *share.Pot) bool {
			hit := false
			for _, t := range thaw {
				hit = t[0] == ten && p.Thaw(t[1]) || hit
			}
			for _, t := range out {
				hit = t[0] == ten && p.Retire(t[1]) || hit
			}
			return hit
		})
	})
}

// dropLater has the run loop remove keys.
func (s *Server) dropLater(keys []string) {
	if len(keys) == 0 {
		return
	}
	s.later(func(tx *Tx) error {
		for _, k := range keys {
			tx.Drop(k)
		}
		return nil
	})
}

// later puts an operation of our own into the run loop, if there is room.
func (s *Server) later(do func(tx *Tx) error) {
	select {
	case s.box <- &job{done: make(chan error, 1), do: do}:
	default:
	}
}

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
		var p share.Pot
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
