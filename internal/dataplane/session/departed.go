package session

import "slices"

// maxDeparted is the maximum number of departed runners that are remembered.
const maxDeparted = 1024

// departedRunners is the set of runners that have left permanently. It prevents delayed entries from adding them again. The
// directory's lock guards it.
type departedRunners struct {
	ids   map[string]struct{}
	order []string // the same IDs, the oldest first
}

func newDepartedRunners() departedRunners { return departedRunners{ids: map[string]struct{}{}} }

// add adds runners to the set and reports whether any of them was new.
func (r *departedRunners) add(runners []string) (changed bool) {
	for _, runner := range runners {
		if _, known := r.ids[runner]; known {
			continue
		}
		changed = true
		r.ids[runner] = struct{}{}
		r.order = append(r.order, runner)
	}
	return changed
}

// trim removes the oldest runners beyond maxDeparted.
func (r *departedRunners) trim() {
	for len(r.order) > maxDeparted {
		delete(r.ids, r.order[0])
		r.order = r.order[1:]
	}
}

// filterOut returns the given runners without the departed ones and without duplicates, MaxRunners at most.
func (r *departedRunners) filterOut(runners []string) []string {
	var out []string
	for _, runner := range runners {
		if _, departed := r.ids[runner]; !departed && len(out) < MaxRunners && !slices.Contains(out, runner) {
			out = append(out, runner)
		}
	}
	return out
}
