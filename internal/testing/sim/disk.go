package sim

import (
	"errors"
	"maps"
	"slices"
	"sort"
	"sync"
	"time"

	"yarrowridge/internal/controlplane/store"
)

// ErrFull is returned by a write to a full disk, ErrCrashed by the calls of a process that has crashed.
var (
	ErrFull    = errors.New("sim: disk is full")
	ErrCrashed = errors.New("sim: process has crashed")
)

// Disk is the disk of a simulated machine. Its files survive a crash of the process that uses it.
type Disk struct {
	mu           sync.Mutex
	files        map[string][]byte
	removed      map[string][]byte // files removed since the directory was last synced
	current      *Handle
	writeDelay   time.Duration
	full         bool
	failRemovals bool
	stalled      chan struct{} // writes wait until it is closed; nil: no stall
	Syncs        int           // completed writes
	Bytes        int           // total size of the completed writes
}

// NewDisk returns an empty disk.
func NewDisk() *Disk { return &Disk{files: map[string][]byte{}, removed: map[string][]byte{}} }

// Handle is the access of one run of a process to its disk.
type Handle struct{ d *Disk }

// Open opens the disk for a new run of a process. Handles of earlier runs stop working: a write in progress fails and
// leaves its partial temporary file behind.
func (d *Disk) Open() *Handle {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.current = &Handle{d}
	return d.current
}

// LosePower simulates a power loss, which may undo removals that were not synced: it restores the removed files for which
// undo returns true. The process of the machine must have ended. Writes are never undone, because Write syncs them.
func (d *Disk) LosePower(undo func() bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	names := slices.Sorted(maps.Keys(d.removed))
	for _, name := range names {
		if _, written := d.files[name]; !written && undo() {
			d.files[name] = d.removed[name]
		}
	}
	clear(d.removed)
}

// SetWriteDelay delays every write by a duration.
func (d *Disk) SetWriteDelay(by time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.writeDelay = by
}

// SetFull sets whether every write fails with ErrFull.
func (d *Disk) SetFull(on bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.full = on
}

// FailRemovals sets whether every removal fails. The disk then looks as after a crash just before the removal.
func (d *Disk) FailRemovals(on bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.failRemovals = on
}

// StallWrites blocks every write until ResumeWrites is called.
func (d *Disk) StallWrites() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.stalled == nil {
		d.stalled = make(chan struct{})
	}
}

// ResumeWrites ends a stall of the writes.
func (d *Disk) ResumeWrites() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.stalled != nil {
		close(d.stalled)
		d.stalled = nil
	}
}

// FlipBit corrupts a file as a bad sector would, and reports whether the file has any data. It flips a bit of the byte at
// offset at, modulo the file's size.
func (d *Disk) FlipBit(name string, at int) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	f := d.files[name]
	if len(f) == 0 {
		return false
	}
	next := append([]byte{}, f...)
	next[at%len(next)] ^= 1
	d.files[name] = next
	return true
}

// Names returns the sorted names of all files.
func (d *Disk) Names() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []string
	for n := range d.files {
		out = append(out, n)
	}
	sort.Strings(out)
	return out
}

// Write replaces a file atomically and syncs it. A run that ends during the write leaves the old file, and a partial
// temporary file beside it.
func (h *Handle) Write(name string, data []byte) error {
	d := h.d
	d.mu.Lock()
	if d.current == h {
		d.files[name+".aside"] = append([]byte{}, data[:len(data)/2]...)
	}
	delay, full, stalled := d.writeDelay, d.full, d.stalled
	d.mu.Unlock()
	if stalled != nil {
		<-stalled
	}
	if delay > 0 {
		time.Sleep(delay)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.current != h {
		return ErrCrashed
	}
	if full {
		return ErrFull
	}
	d.Syncs++
	d.Bytes += len(data)
	clear(d.removed) // the write syncs the directory as well
	delete(d.files, name+".aside")
	d.files[name] = append([]byte{}, data...)
	return nil
}

// Read returns a file's data, or nil if the file does not exist.
func (h *Handle) Read(name string) ([]byte, error) {
	h.d.mu.Lock()
	defer h.d.mu.Unlock()
	if h.d.current != h {
		return nil, ErrCrashed
	}
	return h.d.files[name], nil
}

// List returns the sorted names of all files.
func (h *Handle) List() ([]string, error) { return h.d.Names(), nil }

// Remove deletes a file. A power loss may undo the removal until the directory is synced.
func (h *Handle) Remove(name string) error {
	h.d.mu.Lock()
	defer h.d.mu.Unlock()
	if h.d.current != h {
		return ErrCrashed
	}
	if h.d.failRemovals {
		return ErrCrashed
	}
	if file, ok := h.d.files[name]; ok {
		h.d.removed[name] = file
	}
	delete(h.d.files, name)
	return nil
}

// Rename renames a file and syncs the directory, so that earlier removals are permanent.
func (h *Handle) Rename(from, to string) error {
	h.d.mu.Lock()
	defer h.d.mu.Unlock()
	if h.d.current != h {
		return ErrCrashed
	}
	h.d.files[to] = h.d.files[from]
	delete(h.d.files, from)
	clear(h.d.removed)
	return nil
}

// Sync syncs the directory, so that removals survive a power loss.
func (h *Handle) Sync() error {
	h.d.mu.Lock()
	defer h.d.mu.Unlock()
	if h.d.current != h {
		return ErrCrashed
	}
	clear(h.d.removed)
	return nil
}

var _ store.Disk = (*Handle)(nil)
