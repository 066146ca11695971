package registry

import (
	"slices"
	"sort"
	"strings"

	"yarrowridge/internal/model/routing"
)

// List returns the runners sorted by ID. Of each it has the newest report that changed anything for routers. The slice is
// shared and must not be modified.
func (r *Registry) List() []routing.Runner { return *r.snapshot.Load() }

// publish replaces the list by a new one of all runners. The caller holds the lock.
func (r *Registry) publish() {
	list := make([]routing.Runner, 0, len(r.runners))
	for _, known := range r.runners {
		list = append(list, known.runner)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	r.replaceSnapshot(list)
}

// publishOne replaces the list by a copy with one runner changed or added. It does not sort all runners again as publish
// does, because many such changes may come in quick succession. The caller holds the lock.
func (r *Registry) publishOne(runner routing.Runner) {
	old := r.List()
	index, known := slices.BinarySearchFunc(old, runner.ID, func(one routing.Runner, id string) int { return strings.Compare(one.ID, id) })
	list := make([]routing.Runner, 0, len(old)+1)
	list = append(append(list, old[:index]...), runner)
	if known {
		index++
	}
	r.replaceSnapshot(append(list, old[index:]...))
}

// replaceSnapshot replaces the list that List returns and calls onChange. The caller holds the lock.
func (r *Registry) replaceSnapshot(list []routing.Runner) {
	r.snapshot.Store(&list)
	if r.onChange != nil {
		r.onChange(list)
	}
}
