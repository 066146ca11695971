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

// volatileFileSystem is a file system that loses power after a number of steps. afterPowerLoss returns what may be left of it.
type volatileFileSystem struct {
	steps, lastStep int // steps taken; the last one before the power loss
	names           map[string]*inode
	unsyncedChanges []func(map[string]*inode) // changes of names since the last sync of the folder
	syncedNames     map[string]*inode         // names as of the last sync of the folder
}

// inode is the content of a file, and that content as of the last sync of the file.
type inode struct{ data, synced []byte }

var errPowerLost = errors.New("power lost")

// step counts a step, and fails if the power is lost before it.
func (v *volatileFileSystem) step() error {
	if v.steps++; v.steps > v.lastStep {
		return errPowerLost
	}
	return nil
}

func (v *volatileFileSystem) changeNames(change func(map[string]*inode)) {
	change(v.names)
	v.unsyncedChanges = append(v.unsyncedChanges, change)
}

// handle is a file open for writing.
type handle struct {
	v *volatileFileSystem
	n *inode
}

func (h handle) Write(b []byte) (int, error) {
	for half := range 2 { // the power loss may come between the halves of a write
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

func (v *volatileFileSystem) create(path string) (file, error) {
	n := &inode{}
	if err := v.step(); err != nil {
		return nil, err
	}
	v.changeNames(func(m map[string]*inode) { m[path] = n })
	return handle{v, n}, nil
}

func (v *volatileFileSystem) rename(from, to string) error {
	if err := v.step(); err != nil {
		return err
	}
	v.changeNames(func(m map[string]*inode) {
		if n := m[from]; n != nil {
			m[to] = n
			delete(m, from)
		}
	})
	return nil
}

func (v *volatileFileSystem) remove(path string) error {
	if v.names[path] == nil {
		return os.ErrNotExist
	}
	if err := v.step(); err != nil {
		return err
	}
	v.changeNames(func(m map[string]*inode) { delete(m, path) })
	return nil
}

func (v *volatileFileSystem) syncDir(string) error {
	if err := v.step(); err != nil {
		return err
	}
	v.syncedNames, v.unsyncedChanges = maps.Clone(v.names), nil
	return nil
}

func (v *volatileFileSystem) read(path string) ([]byte, error) {
	if n := v.names[path]; n != nil {
		return slices.Clone(n.data), nil
	}
	return nil, os.ErrNotExist
}

func (v *volatileFileSystem) list(string) (out []string, err error) {
	for name := range v.names {
		out = append(out, strings.TrimPrefix(name, "d/"))
	}
	slices.Sort(out)
	return out, nil
}

// subsets returns sets of unsynced changes of names that may survive a power loss, as bit masks: each change survives or is
// lost independently of the others. With more than seven changes it returns the subsets of the first seven, all prefixes, all
// suffixes, the sets without one change and the sets of one change.
func (v *volatileFileSystem) subsets() []uint64 {
	n := len(v.unsyncedChanges)
	var masks []uint64
	for mask := range uint64(1) << min(n, 7) {
		masks = append(masks, mask)
	}
	if n <= 7 {
		return masks
	}
	all := uint64(1)<<n - 1
	for k := range n {
		masks = append(masks, all>>k, all>>k<<k, all&^(1<<k), 1<<k)
	}
	return masks
}

// afterPowerLoss returns the file system after a restart: with those unsynced changes of names that are in the mask, and with
// the given number of halves (0 to 2) of the unsynced bytes of each file.
func (v *volatileFileSystem) afterPowerLoss(mask uint64, halves int) *volatileFileSystem {
	out := &volatileFileSystem{lastStep: 1 << 30, names: map[string]*inode{}}
	m := maps.Clone(v.syncedNames)
	if m == nil {
		m = map[string]*inode{}
	}
	for i, change := range v.unsyncedChanges {
		if mask&(1<<i) != 0 {
			change(m)
		}
	}
	for k, n := range m {
		unsynced := n.data[min(len(n.synced), len(n.data)):]
		data := append(slices.Clone(n.synced), unsynced[:len(unsynced)*halves/2]...)
		out.names[k] = &inode{data, slices.Clone(data)}
	}
	out.syncedNames = maps.Clone(out.names)
	return out
}

// Power is lost at each step of writes, syncs, renames, removals and folder syncs, and recovery is tried for each combination
// of unsynced changes that may survive. Recovery must succeed with all acknowledged batches and at most the batch in progress;
// the ballot file must have the last content written or the one in progress.
func TestPowerLoss(t *testing.T) {
	if faultinjection.Disabled("") {
		t.Fatal("built with a mechanism disabled")
	}
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	outcomes := 0
	for lastStep := 1; ; lastStep++ {
		v := &volatileFileSystem{lastStep: lastStep, names: map[string]*inode{}, syncedNames: map[string]*inode{}}
		d := Folder{"d", v}
		acknowledged, lastBallot, attempt := 0, 0, 0
		var discarded []int
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
				case 14: // a snapshot of another primary without the last three versions, which thus do not count as acknowledged
					batch := s.Snapshot()
					batch.Version -= 3
					discarded = []int{12, 13, 14}
					batch.Mutations = slices.DeleteFunc(batch.Mutations, func(mutation Mutation) bool {
						return mutation.Key == "k12" || mutation.Key == "k13" || mutation.Key == "k14"
					})
					err = s.Append(batch)
				}
				if err != nil {
					return err
				}
			}
			return nil
		}()
		for _, mask := range v.subsets() {
			for halves := range 3 {
				outcomes++
				restarted := Folder{"d", v.afterPowerLoss(mask, halves)}
				if err := RemoveIncompleteWrites(restarted, log); err != nil {
					t.Fatal(err)
				}
				s, err := Open(restarted, log)
				if err != nil {
					t.Fatalf("power lost after step %d, names %b and %d halves survive: %v", lastStep, mask, halves, err)
				}
				for n := 1; n <= acknowledged; n++ {
					if raw, ok := s.Get(fmt.Sprint("k", n)); (!ok || len(raw) != n) && !slices.Contains(discarded, n) {
						t.Fatalf("power lost after step %d, names %b and %d halves survive: acknowledged batch %d is lost", lastStep, mask, halves, n)
					}
				}
				if _, ok := s.Get(fmt.Sprint("k", attempt+1)); ok {
					t.Fatalf("power lost after step %d: got key k%d, which was never written", lastStep, attempt+1)
				}
				raw, _ := restarted.Read("ballot")
				ballot, ok := VerifyChecksum(raw)
				if (lastBallot > 0 || raw != nil) && !(ok && (string(ballot) == fmt.Sprint(lastBallot) || string(ballot) == fmt.Sprint(attempt))) {
					t.Fatalf("power lost after step %d, names %b and %d halves survive: got ballot %q, want %d or %d", lastStep, mask, halves, ballot, lastBallot, attempt)
				}
				if err := s.Append(Batch{Version: s.Version() + 1, Mutations: put(99)}); err != nil {
					t.Fatal(err)
				}
			}
		}
		if err == nil {
			t.Logf("power lost at each of %d steps, %d outcomes", lastStep-1, outcomes)
			return
		}
		if !errors.Is(err, errPowerLost) {
			t.Fatal(err)
		}
	}
}
