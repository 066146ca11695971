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

// ErrFull is a write to a full disk, ErrCrashed one by a process that has crashed.
var (
	ErrFull = errors.New("sim: disk is full")
	ErrCrashed = errors.New("sim: process is gone")
)

// Disk outlives the processes that use it.
type Disk struct {
	mu    sync.Mutex
	files map[string][]byte
	gone  map[string][]byte // removed since the folder was last synced
	now   *Handle
	slow  time.Duration
	full  bool
	keep  bool // files can't be removed
	stall chan struct{}
	Syncs int
	Bytes int // written in all
}

// NewDisk makes an empty disk.
func NewDisk() *Disk { return &Disk{files: map[string][]byte{}, gone: map[string][]byte{}} }

// Handle is a disk as one run of a process sees it.
type Handle struct{ d *Disk }

// Open opens the disk for a new run; the run before can do nothing more to it. A write that was
// under way is lost, and leaves its unfinished file behind.
func (d *Disk) Open() *Handle {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.now = &Handle{d}
	return d.now
}

// LosePower undoes some of the removals that were not synced: those for which the function says so. The machine's
// process has ended. What was written is synced by Write itself.
func (d *Disk) LosePower(undo func() bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	names := slices.Sorted(maps.Keys(d.gone))
	for _, name := range names {
		if _, written := d.files[name]; !written && undo() {
			d.files[name] = d.gone[name]
		}
	}
	clear(d.gone)
}

// SetWriteDelay makes every write take so long.
func (d *Disk) SetWriteDelay(by time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.slow = by
}

// SetFull has every write fail, or no longer.
func (d *Disk) SetFull(on bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.full = on
}

// FailRemovals has every removal fail, as a crash just before it would leave things.
func (d *Disk) FailRemovals(on bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.keep = on
}

// StallWrites has every write wait until Flow.
func (d *Disk) StallWrites() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.stall == nil {
		d.stall = make(chan struct{})
	}
}

// ResumeWrites ends a stall.
func (d *Disk) ResumeWrites() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.stall != nil {
		close(d.stall)
		d.stall = nil
	}
}

// FlipBit flips a bit of a file's byte, as a bad sector would.
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

// Names lists the files.
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

// Write is atomic once it returns: a run that ends in the middle leaves the old file and a torn
// one aside.
func (h *Handle) Write(name string, data []byte) error {
	d := h.d
	d.mu.Lock()
	if d.now == h {
		d.files[name+".aside"] = append([]byte{}, data[:len(data)/2]...)
	}
	slow, full, stall := d.slow, d.full, d.stall
	d.mu.Unlock()
	if stall != nil {
		<-stall
	}
	if slow > 0 {
		time.Sleep(slow)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.now != h {
		return ErrCrashed
	}
	if full {
		return ErrFull
	}
	d.Syncs++
	d.Bytes += len(data)
	clear(d.gone) // the folder is synced with it
	delete(d.files, name+".aside")
	d.files[name] = append([]byte{}, data...)
	return nil
}

// Read gives a file.
func (h *Handle) Read(name string) ([]byte, error) {
	h.d.mu.Lock()
	defer h.d.mu.Unlock()
	if h.d.now != h {
		return nil, ErrCrashed
	}
	return h.d.files[name], nil
}

// List names the files.
func (h *Handle) List() ([]string, error) { return h.d.Names(), nil }

// Remove drops a file.
func (h *Handle) Remove(name string) error {
	h.d.mu.Lock()
	defer h.d.mu.Unlock()
	if h.d.now != h {
		return ErrCrashed
	}
	if h.d.keep {
		return ErrCrashed
	}
	if file, ok := h.d.files[name]; ok {
		h.d.gone[name] = file
	}
	delete(h.d.files, name)
	return nil
}

// Rename moves a file.
func (h *Handle) Rename(from, to string) error {
	h.d.mu.Lock()
	defer h.d.mu.Unlock()
	if h.d.now != h {
		return ErrCrashed
	}
	h.d.files[to] = h.d.files[from]
	delete(h.d.files, from)
	clear(h.d.gone)
	return nil
}

// Sync makes removals last.
func (h *Handle) Sync() error {
	h.d.mu.Lock()
	defer h.d.mu.Unlock()
	if h.d.now != h {
		return ErrCrashed
	}
	clear(h.d.gone)
	return nil
}

var _ store.Disk = (*Handle)(nil)
