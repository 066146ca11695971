package registry

import (
	"slices"
	"sort"
	"strings"

	"yarrowridge/internal/model/routing"
)

// List returns the runners sorted by ID, each by its newest report that changed anything for routers. The list is shared:
// it must not be changed.
func (r *Registry) List() []routing.Runner { return *r.snapshot.Load() }

// publish makes a new list of all runners. The caller holds the lock.
func (r *Registry) publish() {
	list := make([]routing.Runner, 0, len(r.runners))
	for _, known := range r.runners {
		list = append(list, known.runner)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	r.replaceSnapshot(list)
}

// publishOne makes a new list where one runner has changed or is new, from the old one: many such changes may follow one
// another. The caller holds the lock.
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

// replaceSnapshot puts a list in place of the one that is read. The caller holds the lock.
func (r *Registry) replaceSnapshot(list []routing.Runner) {
	r.snapshot.Store(&list)
	if r.onChange != nil {
		r.onChange(list)
	}
}
