package core

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/tinylib/msgp/msgp"

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
		return s.vot.Told(s.set.Addr, s.ctx.Zone), nil
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
	case "core.runner":
		return wire.On(body, func(in *RunnerBeat) (*Done, error) { return s.takeRunner(ctx, in) })
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
	case "core.moves":
		return wire.On(body, func(in *Moves) (*MovedAll, error) { return s.moveAll(ctx, in) })
	case "core.sessions":
		return wire.On(body, func(*Want) (*Sessions, error) { return s.giveSessions() })
	case "core.sessions.keep":
		return wire.On(body, func(in *Sessions) (*Done, error) { return s.keepSessions(ctx, in) })
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
	newRun := old == nil || old.node.Born != n.Born
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
	if newRun && !in.Leave {
		defer s.replaceHolder(n, time.Duration(in.AgeMs)*time.Millisecond)
	}
	s.prune()
	out := &Told{Seq: s.sheet.Seq, Roll: s.roll}
	if v := s.vot.View(); v.Epoch != in.ViewEpoch {
		out.View = v
	}
	// A primary that has just begun does not know all nodes yet, so it names none.
	if in.Roll != s.roll && time.Since(s.since) > nodeTerm {
		out.Whole = true
		out.Nodes = s.live()
	}
	s.runners.Tell(in, out, time.Now())
	s.health.note(in.Tallies, time.Now())
	out.Failing = s.health.failing(time.Now())
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
	if len(in.Raw) > s.set.Codec.MaxBytes() {
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
			if raw, err = s.set.Codec.Merge(cur.Raw, in.Raw); err != nil {
				out.Code, out.Flaws = 400, []Flaw{{Text: "valid JSON expected"}}
				return nil
			}
			if len(raw) > s.set.Codec.MaxBytes() {
				out.Code = 413
				return nil
			}
		}
		next, numbered, flaws := s.check(cur, raw)
		if len(flaws) > 0 {
			out.Code, out.Flaws = 400, flaws
			return nil
		}
		sheet = next
		out.Seq = sheet.Seq
		return tx.record(cur, sheet, numbered, in.Id, hash)
	})
	if err != nil {
		return nil, err
	}
	if sheet.Seq > 0 {
		s.ctx.Log.Info("Layout taken.", "sequence", sheet.Seq)
		s.push(relay.LayoutRec(sheet.Seq, sheet.Raw))
		if !s.stands(s.vot.View()) {
			return nil, wire.Fault{Code: InDoubt}
		}
	}
	return out, nil
}

// check reads a new configuration and gives it its sequence. numbered: the document numbers itself.
func (s *Server) check(cur Sheet, raw []byte) (next Sheet, numbered bool, flaws []Flaw) {
	doc, flaws := s.set.Codec.Check(raw)
	if len(flaws) > 0 {
		return Sheet{}, false, flaws
	}
	if doc.Sequence == 0 {
		return Sheet{Seq: cur.Seq + 1, Raw: raw}, false, nil
	}
	if doc.Sequence <= cur.Seq {
		text := fmt.Sprintf("a sequence above %d, the current one, is expected; the document has %d", cur.Seq, doc.Sequence)
		return Sheet{}, true, []Flaw{{Path: "sequence", Text: text}}
	}
	return Sheet{Seq: doc.Sequence, Raw: raw}, true, nil
}

// record puts the new sheet, a copy for reading back and the write's id.
func (t *Tx) record(cur, sheet Sheet, numbered bool, id, hash string) error {
	h, known, err := t.history(cur.Seq)
	if err != nil {
		return err
	}
	h.Count++
	if err := t.Put("layout", &sheet); err != nil {
		return err
	}
	if err := t.keepPast(&h, &sheet, numbered); err != nil {
		return err
	}
	if err := t.keepMark(h.Count, id, Mark{sheet.Seq, hash}); err != nil {
		return err
	}
	if known || numbered {
		return t.Put(historyKey, &h)
	}
	return nil
}

// push hands records to the first nodes of every hall and waits a quarter second at most, so
// that the news outlives us once we have answered.
func (s *Server) push(recs ...relay.Rec) { s.pushTo(2, recs) }

// pushRunners is push for runners. A primary that has just begun has named no roll yet: routers that have
// none from before can't hand news on, so all are told.
func (s *Server) pushRunners(recs ...relay.Rec) {
	perHall := 2
	s.mu.Lock()
	if time.Since(s.since) <= nodeTerm+time.Second {
		perHall = len(s.nodes)
	}
	s.mu.Unlock()
	s.pushTo(perHall, recs)
}

// pushTo hands records to so many nodes of every hall.
func (s *Server) pushTo(perHall int, recs []relay.Rec) {
	ctx, end := context.WithTimeout(s.ctx, 250*time.Millisecond)
	s.mu.Lock()
	all := s.live()
	s.mu.Unlock()
	tell := relay.Tell{Recs: recs}
	halls := map[string]int{}
	done := make(chan bool, len(all))
	sent := 0
	for _, n := range all {
		if halls[n.Hall]++; halls[n.Hall] > perHall {
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

// parsed keeps the last document read, since shares ask for it often. Only the run loop calls it.
func (s *Server) parsed(sheet Sheet) *Document {
	if sheet.Seq == 0 {
		return nil // none was put yet
	}
	if s.doc == nil || s.docSeq != sheet.Seq {
		doc, flaws := s.set.Codec.Check(sheet.Raw)
		if len(flaws) > 0 {
			return nil
		}
		doc.Claims = doc.Claims.withDefaults()
		s.doc, s.docSeq = &doc, sheet.Seq
	}
	return s.doc
}

// sweep ends what has had its time: cooled units and old claims. Time is counted from when this
// run of this process first saw them, so a restart only makes them last longer.
func (s *Server) sweep() {
	if since := time.Since(s.swept); since < sweepEvery && !(s.cooling && since >= sweepCooling) {
		return
	}
	s.swept = time.Now()
	s.mu.Lock()
	ready, sheet := s.ready, s.sheet
	live, here, at := map[string]bool{}, map[string]bool{}, map[string]bool{}
	s.prune()
	for _, n := range s.nodes {
		live[Holder(n.node)] = true
		here[holderPlace(n.node)] = true
		at[n.node.Addr] = true
	}
	s.mu.Unlock()
	if !ready {
		return
	}
	doc := s.parsed(sheet)
	if time.Since(s.greeted) > time.Second {
		s.greeted = time.Now()
		s.greet(at)
		s.keepSilent(s.runners.List(time.Now()))
	}
	if doc == nil {
		return
	}
	// There may be very many claims, and none is kept by the second.
	if time.Since(s.swept10) > 10*time.Second {
		s.swept10 = time.Now()
		s.sweepClaims(doc.Claims)
		s.sweepRunners(s.runners.List(time.Now()))
	}
	s.sweepQuotas(doc.Windows, live, here)
}

// How often the run loop looks for what has had its time: in general, and while units of quotas cool.
const (
	sweepEvery   = 500 * time.Millisecond
	sweepCooling = 100 * time.Millisecond
)

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
