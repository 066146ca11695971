package session

import "slices"

// maxDeparted is how many departed runners are remembered.
const maxDeparted = 1024

// departedRunners are the runners that have left for good, so that late entries do not name them again. The directory's
// lock guards it.
type departedRunners struct {
	ids   map[string]struct{}
	order []string // the same, the oldest first
}

func newDepartedRunners() departedRunners { return departedRunners{ids: map[string]struct{}{}} }

// add remembers runners, and reports whether any of them was not known as departed.
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

// trim forgets the oldest where there are too many.
func (r *departedRunners) trim() {
	for len(r.order) > maxDeparted {
		delete(r.ids, r.order[0])
		r.order = r.order[1:]
	}
}

// without returns the runners that have not departed, each once and MaxRunners at most.
func (r *departedRunners) without(runners []string) []string {
	var out []string
	for _, runner := range runners {
		if _, departed := r.ids[runner]; !departed && len(out) < MaxRunners && !slices.Contains(out, runner) {
			out = append(out, runner)
		}
	}
	return out
}
