package store

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"os"
	"slices"
	"strings"
	"testing"

	"yarrowridge/internal/lib/faultinjection"
)

// volatile is a file system that loses its power after so many steps. What was not synced is lost, or
// kept in part: the enumeration decides.
type volatile struct {
	steps, last int // steps taken; the last one that still happens
	names       map[string]*inode
	pending     []func(map[string]*inode) // changes of names since the folder's sync
	solid       map[string]*inode         // names as of the folder's sync
}

type inode struct{ data, synced []byte }

var errPower = errors.New("no power")

func (v *volatile) step() error {
	if v.steps++; v.steps > v.last {
		return errPower
	}
	return nil
}

func (v *volatile) change(do func(map[string]*inode)) {
	do(v.names)
	v.pending = append(v.pending, do)
}

type handle struct {
	v *volatile
	n *inode
}

func (h handle) Write(b []byte) (int, error) {
	for half := range 2 { // a write may reach the cache in parts
		if err := h.v.step(); err != nil {
			return 0, err
		}
		h.n.data = append(h.n.data, b[half*(len(b)/2):][:len(b)/2+half*(len(b)%2)]...)
	}
	return len(b), nil
}

func (h handle) Sync() error {
	if err := h.v.step(); err != nil {
		return err
	}
	h.n.synced = slices.Clone(h.n.data)
	return nil
}

func (h handle) Close() error { return nil }

func (v *volatile) create(path string) (file, error) {
	n := &inode{}
	if err := v.step(); err != nil {
		return nil, err
	}
	v.change(func(m map[string]*inode) { m[path] = n })
	return handle{v, n}, nil
}

func (v *volatile) rename(from, to string) error {
	if err := v.step(); err != nil {
		return err
	}
	v.change(func(m map[string]*inode) {
		if n := m[from]; n != nil {
			m[to] = n
			delete(m, from)
		}
	})
	return nil
}

func (v *volatile) remove(path string) error {
	if v.names[path] == nil {
		return os.ErrNotExist
	}
	if err := v.step(); err != nil {
		return err
	}
	v.change(func(m map[string]*inode) { delete(m, path) })
	return nil
}

func (v *volatile) syncDir(string) error {
	if err := v.step(); err != nil {
		return err
	}
	v.solid, v.pending = maps.Clone(v.names), nil
	return nil
}

func (v *volatile) read(path string) ([]byte, error) {
	if n := v.names[path]; n != nil {
		return slices.Clone(n.data), nil
	}
	return nil, os.ErrNotExist
}

func (v *volatile) list(string) (out []string, err error) {
	for name := range v.names {
		out = append(out, strings.TrimPrefix(name, "d/"))
	}
	slices.Sort(out)
	return out, nil
}

// subsets are the sets of unsynced changes of names that may outlive a loss of power, as bit masks: each change is kept
// or lost by itself. Where there are too many, those are left out that keep more than one change but the latest ones.
func (v *volatile) subsets() []uint64 {
	n := len(v.pending)
	var masks []uint64
	for mask := range uint64(1) << min(n, 7) {
		masks = append(masks, mask)
	}
	if n <= 7 {
		return masks
	}
	whole := uint64(1)<<n - 1
	for k := range n {
		masks = append(masks, whole>>k, whole>>k<<k, whole&^(1<<k), 1<<k)
	}
	return masks
}

// after is what may be found once the power is back: the changes of names in the mask of those not synced, and of
// bytes not synced none, half or all.
func (v *volatile) after(names uint64, bytes int) *volatile {
	out := &volatile{last: 1 << 30, names: map[string]*inode{}}
	m := maps.Clone(v.solid)
	if m == nil {
		m = map[string]*inode{}
	}
	for i, do := range v.pending {
		if names&(1<<i) != 0 {
			do(m)
		}
	}
	for k, n := range m {
		rest := n.data[min(len(n.synced), len(n.data)):]
		data := append(slices.Clone(n.synced), rest[:len(rest)*bytes/2]...)
		out.names[k] = &inode{data, slices.Clone(data)}
	}
	out.solid = maps.Clone(out.names)
	return out
}

// The power goes at every single step of every write, sync, rename, removal and folder sync, and comes
// back with every mixture of what was not synced: the state opens, holds all that was acknowledged and at
// most the one batch that was under way, and the acceptor's state is the last one written or the one before.
func TestPowerLoss(t *testing.T) {
	if faultinjection.Disabled("") {
		t.Fatal("built with a mechanism disabled")
	}
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	mixtures := 0
	for last := 1; ; last++ {
		v := &volatile{last: last, names: map[string]*inode{}, solid: map[string]*inode{}}
		d := Folder{"d", v}
		acknowledged, lastBallot, attempt := 0, 0, 0
		var lost []int
		put := func(n int) []Mutation {
			return []Mutation{{Key: fmt.Sprint("k", n), Value: []byte(strings.Repeat("v", n))}}
		}
		err := func() error {
			s, err := Open(d, log)
			if err != nil {
				return err
			}
			for attempt = 1; attempt <= 16; attempt++ {
				if err := s.Append(Batch{Version: s.Version() + 1, Mutations: put(attempt)}); err != nil {
					return err
				}
				acknowledged = attempt
				if attempt%3 == 0 {
					if err := d.Write("ballot", AddChecksum([]byte(fmt.Sprint(attempt)))); err != nil {
						return err
					}
					lastBallot = attempt
				}
				switch attempt {
				case 5, 12, 15:
					err = s.Compact()
				case 9:
					err = s.WriteSnapshot()
				case 14: // from another primary, who never heard of the last three: they were not acknowledged
					batch := s.Snapshot()
					batch.Version -= 3
					lost = []int{12, 13, 14}
					batch.Mutations = slices.DeleteFunc(batch.Mutations, func(change Mutation) bool { return change.Key == "k12" || change.Key == "k13" || change.Key == "k14" })
					err = s.Append(batch)
				}
				if err != nil {
					return err
				}
			}
			return nil
		}()
		for _, names := range v.subsets() {
			for bytes := range 3 {
				mixtures++
				w := Folder{"d", v.after(names, bytes)}
				if err := RemoveIncompleteWrites(w, log); err != nil {
					t.Fatal(err)
				}
				s, err := Open(w, log)
				if err != nil {
					t.Fatalf("power lost after step %d, names %b and %d halves kept: %v", last, names, bytes, err)
				}
				for n := 1; n <= acknowledged; n++ {
					if raw, ok := s.Get(fmt.Sprint("k", n)); (!ok || len(raw) != n) && !slices.Contains(lost, n) {
						t.Fatalf("power lost after step %d, names %b and %d halves kept: acknowledged put %d is lost", last, names, bytes, n)
					}
				}
				if _, ok := s.Get(fmt.Sprint("k", attempt+1)); ok {
					t.Fatalf("power lost after step %d: a put that was never made", last)
				}
				raw, _ := w.Read("ballot")
				ballot, ok := VerifyChecksum(raw)
				if (lastBallot > 0 || raw != nil) && !(ok && (string(ballot) == fmt.Sprint(lastBallot) || string(ballot) == fmt.Sprint(attempt))) {
					t.Fatalf("power lost after step %d, names %b and %d halves kept: ballot %q, %d was the last", last, names, bytes, ballot, lastBallot)
				}
				if err := s.Append(Batch{Version: s.Version() + 1, Mutations: put(99)}); err != nil {
					t.Fatal(err)
				}
			}
		}
		if err == nil {
			t.Logf("power lost at each of %d steps, %d mixtures", last-1, mixtures)
			return
		}
		if !errors.Is(err, errPower) {
			t.Fatal(err)
		}
	}
}
