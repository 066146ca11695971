// Package view is the agreement on who is primary: a majority of members decides one small
// record an epoch. Voters keep their vows on disk and sync them before they answer.
package view

import (
	"crypto/rand"
	"encoding/hex"
	"log/slog"
	"slices"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"yarrowridge/internal/env"
	"yarrowridge/internal/store"
)

// Less orders ballots.
//
//	view.Ballot{N: 1}.Less(view.Ballot{N: 2}) // true
func (b Ballot) Less(o Ballot) bool {
	return b.N < o.N || b.N == o.N && b.Who < o.Who
}

// Addr finds where a member listens; an unknown identity has "".
//
//	to := v.Addr(v.Prime)
func (v View) Addr(id string) string {
	for _, m := range v.Members {
		if m.Id == id {
			return m.Addr
		}
	}
	return ""
}

// ZoneOf finds the zone a member stands in.
//
//	if v.ZoneOf(v.Back) == v.ZoneOf(v.Prime) { ... }
func (v View) ZoneOf(id string) string {
	for _, m := range v.Members {
		if m.Id == id {
			return m.Zone
		}
	}
	return ""
}

// Has tells whether an identity is a member.
//
//	if v.Has(me) { ... }
func (v View) Has(id string) bool { return id != "" && v.Addr(id) != "" }

// Backups are the identities that hold every acknowledged write beside the primary.
//
//	for _, id := range v.Backups() { ... }
func (v View) Backups() []string {
	if len(v.Backs) == 0 && v.Back != "" {
		return []string{v.Back}
	}
	return v.Backs
}

// IsBackup tells whether an identity is one of the backups.
//
//	if v.IsBackup(me) { ... }
func (v View) IsBackup(id string) bool { return id != "" && slices.Contains(v.Backups(), id) }

// WithBackups is the view with other backups.
//
//	next := v.WithBackups([]string{"a1", "b2"})
func (v View) WithBackups(ids []string) View {
	v.Back, v.Backs = "", slices.Clone(ids)
	if len(ids) > 0 {
		v.Back = ids[0]
	}
	return v
}

// WithoutBackup is the view without one of its backups.
//
//	next := v.WithoutBackup("a1")
func (v View) WithoutBackup(id string) View {
	return v.WithBackups(slices.DeleteFunc(slices.Clone(v.Backups()), func(b string) bool { return b == id }))
}

// Without is the view without a member, which then is no backup either.
//
//	next := v.Without("a1")
func (v View) Without(id string) View {
	v = v.WithoutBackup(id)
	v.Members = slices.DeleteFunc(slices.Clone(v.Members), func(m Member) bool { return m.Id == id })
	return v
}

// With is the view with one member more.
//
//	next := v.With(view.Member{Id: "a1", Addr: "10.0.0.7:7401"})
func (v View) With(m Member) View {
	v.Members = append(slices.Clone(v.Members), m)
	return v
}

// Most tells whether the identities marked in got are a majority of the members.
//
//	if v.Most(got) { ... }
func (v View) Most(got map[string]bool) bool {
	n := 0
	for _, m := range v.Members {
		if got[m.Id] {
			n++
		}
	}
	return n > len(v.Members)/2
}

// Voter is one member's vote, its state on disk.
type Voter struct {
	disk  store.Disk
	term  time.Duration
	mu    env.Gate // held over a write; readers of what is decided never wait for the disk
	book  Book
	seen  atomic.Pointer[Book]
	until time.Time // the primary's lease as granted here
	run   uint64    // of the primary's process that the lease was last granted to
	turn  uint64    // of the last grant
	born  time.Time
}

const file = "ballot"

// NewId makes a random identity.
//
//	id := view.NewId() // "9f86d081884c7d65"
func NewId() string {
	var b [8]byte
	rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// Open reads the voter's book, or founds a blank one with a new identity. term is the longest
// lease that any run of this voter may have granted: after a restart no vow is given before it
// has passed, since the former run's grants are not on disk.
//
//	v, err := view.Open(disk, 2*time.Second, log)
func Open(d store.Disk, term time.Duration, log *slog.Logger) (*Voter, error) {
	v := &Voter{mu: env.NewGate(), disk: d, term: term, born: time.Now()}
	raw, err := d.Read(file)
	if err != nil {
		return nil, err
	}
	if raw != nil {
		body, ok := store.Unseal(raw)
		if ok {
			_, err = v.book.UnmarshalMsg(body)
		}
		if ok && err == nil && v.book.Id != "" {
			b := v.book
			v.seen.Store(&b)
			v.until = v.born.Add(term)
			return v, nil
		}
		log.Error("Ballot file is damaged; set aside. This disk counts as blank.", "file", "bad-"+file)
		if err := d.Rename(file, "bad-"+file); err != nil {
			return nil, err
		}
	}
	return v, v.blank()
}

func (v *Voter) blank() error {
	return v.write(Book{Id: NewId()})
}

// Blank forgets all and takes a new identity: the state that stood beside this book is lost.
//
//	err := v.Blank()
func (v *Voter) Blank() error {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.blank()
}

// write syncs the book before it counts.
func (v *Voter) write(b Book) error {
	raw, err := b.MarshalMsg(nil)
	if err != nil {
		return err
	}
	if err := v.disk.Write(file, store.Seal(raw)); err != nil {
		return eris.Wrap(err, "view: ballot not kept")
	}
	v.book = b
	v.seen.Store(&b)
	return nil
}

// Id is this voter's identity.
//
//	me := v.Id()
func (v *Voter) Id() string { return v.seen.Load().Id }

// View is the newest decided view known here.
//
//	cur := v.View()
func (v *Voter) View() View { return v.seen.Load().View }

// Told answers an Ask.
//
//	t := v.Told("127.0.0.1:7401", "north")
func (v *Voter) Told(addr, zone string) *Told {
	b := v.seen.Load()
	return &Told{Id: b.Id, Addr: addr, Zone: zone, View: b.View}
}

// Learn takes a decided view if it is newer.
//
//	err := v.Learn(next)
func (v *Voter) Learn(next View) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.learn(next)
}

func (v *Voter) learn(next View) error {
	if next.Epoch <= v.book.View.Epoch {
		return nil
	}
	return v.write(Book{Id: v.book.Id, View: next})
}

// Prep answers a proposer's first step.
//
//	vow, err := v.Prep(&view.Prep{Cur: cur, Ballot: b})
func (v *Voter) Prep(p *Prep) (*Vow, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if err := v.learn(p.Cur); err != nil {
		return nil, err
	}
	out := &Vow{View: v.book.View, Seen: v.book.Vow, Id: v.book.Id}
	if p.Cur.Epoch < v.book.View.Epoch {
		return out, nil
	}
	if p.Cur.Epoch > 0 && p.Ballot.Who != v.book.View.Prime && time.Now().Before(v.until) {
		out.Leased = true
		return out, nil
	}
	if !v.book.Vow.Less(p.Ballot) {
		return out, nil
	}
	b := v.book
	b.Vow = p.Ballot
	if err := v.write(b); err != nil {
		return nil, err
	}
	out.Ok, out.Acc, out.Next = true, b.Acc, b.Next
	return out, nil
}

// Pick answers a proposer's second step.
//
//	vow, err := v.Pick(&view.Pick{Cur: cur, Ballot: b, Next: next})
func (v *Voter) Pick(p *Pick) (*Vow, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if err := v.learn(p.Cur); err != nil {
		return nil, err
	}
	out := &Vow{View: v.book.View, Seen: v.book.Vow, Id: v.book.Id}
	if p.Cur.Epoch < v.book.View.Epoch || p.Ballot.Less(v.book.Vow) {
		return out, nil
	}
	b := v.book
	b.Vow, b.Acc, b.Next = p.Ballot, p.Ballot, p.Next
	if err := v.write(b); err != nil {
		return nil, err
	}
	out.Ok = true
	return out, nil
}

// Renew leases the primacy to a view's primary for the term, counted from now on this clock.
//
//	g, err := v.Renew(&view.Renew{View: cur})
func (v *Voter) Renew(r *Renew) (*Grant, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if err := v.learn(r.View); err != nil {
		return nil, err
	}
	out := &Grant{View: v.book.View, Id: v.book.Id}
	switch {
	case r.View.Epoch < v.book.View.Epoch:
	case v.book.Vow.N > 0 && v.book.Vow.Who != v.book.View.Prime:
		out.Vow = true
	default:
		out.Ok = true
		v.until = time.Now().Add(v.term)
		if r.Run != v.run {
			v.run, v.turn = r.Run, 0
		}
		v.turn = max(v.turn, r.Turn)
	}
	return out, nil
}

// Release ends the primary's lease where it asks so. One that was long under way, so that a newer
// grant or another run's stands here, ends nothing.
//
//	v.Release(&view.Release{Epoch: cur.Epoch, Run: run, Turn: turn})
func (v *Voter) Release(r *Release) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if r.Run != 0 && r.Run == v.run && r.Turn > v.turn && r.Epoch == v.book.View.Epoch {
		v.until = time.Now()
	}
}

// Leased tells whether the primary's lease still runs here.
//
//	if !v.Leased() { ... }
func (v *Voter) Leased() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return time.Now().Before(v.until)
}
