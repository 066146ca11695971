package modelcheck

import (
	"context"
	"hash/maphash"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
)

// featureLength is the maximum number of consecutive log messages of one process that make up a feature of a run.
const featureLength = 3

var featureSeed = maphash.MakeSeed()

// coverage records the features of a run: the sequences of consecutive messages that its processes logged. Processes are
// distinguished by the logger's attribute "at". All methods may be called concurrently.
type coverage struct {
	mu       sync.Mutex
	features map[uint64]bool
	last     map[string][]string // the last messages of each process
}

func newCoverage() *coverage {
	return &coverage{features: map[uint64]bool{}, last: map[string][]string{}}
}

// add records a message of a process. A message that repeats for at least the third time in a row is ignored.
func (c *coverage) add(process, message string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	last := c.last[process]
	if len(last) > 1 && last[len(last)-1] == message && last[len(last)-2] == message {
		return
	}
	if last = append(last, message); len(last) > featureLength {
		last = last[1:]
	}
	c.last[process] = last
	var hash maphash.Hash
	hash.SetSeed(featureSeed)
	for _, part := range last {
		_, _ = hash.WriteString(part) // never fails
		_ = hash.WriteByte(0)
	}
	c.features[hash.Sum64()] = true
}

// coverageHandler is the slog.Handler that records one process's messages in a coverage.
type coverageHandler struct {
	coverage *coverage
	process  string
}

// Enabled implements slog.Handler.
func (coverageHandler) Enabled(context.Context, slog.Level) bool { return true }

// Handle implements slog.Handler.
func (h coverageHandler) Handle(_ context.Context, record slog.Record) error {
	h.coverage.add(h.process, record.Message)
	return nil
}

// WithAttrs implements slog.Handler.
func (h coverageHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	for _, attr := range attrs {
		if attr.Key == "at" {
			h.process = attr.Value.String()
		}
	}
	return h
}

// WithGroup implements slog.Handler.
func (h coverageHandler) WithGroup(string) slog.Handler { return h }

// corpus holds the schedules that showed features which no schedule before them had shown. New schedules are mutations of
// these, which reach rare behavior more often than independent draws do. All methods may be called concurrently.
type corpus struct {
	kinds []string  // the kinds of fault of the schedules
	size  fleetSize // of the fleets; zero: any

	mu        sync.Mutex
	random    *rand.Rand
	features  map[uint64]bool
	schedules []Schedule
}

func newCorpus(seed uint64, kinds []string, fleetSize fleetSize) *corpus {
	return &corpus{kinds: kinds, size: fleetSize, random: rand.New(rand.NewPCG(seed, 17)), features: map[uint64]bool{}}
}

// addIfNew adds a schedule if its run showed a new feature.
func (c *corpus) addIfNew(s Schedule, covered *coverage) {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := len(c.features)
	for feature := range covered.features {
		c.features[feature] = true
	}
	if len(c.features) > known {
		c.schedules = append(c.schedules, s)
	}
}

// next returns the schedule to run for a seed: a new one or a mutation of one in the corpus.
func (c *corpus) next(seed uint64) Schedule {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := newSchedule(seed, c.kinds...)
	if c.size.cores > 0 {
		s.Cores, s.Losses = c.size.cores, c.size.losses
	}
	if len(c.schedules) == 0 || c.random.IntN(3) == 0 {
		return s
	}
	return c.mutate(c.pickSchedule(), s)
}

// pickSchedule draws a schedule of the corpus; those of the newer half are more likely. The caller holds the mutex.
func (c *corpus) pickSchedule() Schedule {
	from := 0
	if c.random.IntN(2) == 0 {
		from = len(c.schedules) / 2
	}
	return c.schedules[from+c.random.IntN(len(c.schedules)-from)]
}

// mutate returns a schedule of the corpus with some changes; values and events that it adds come from a fresh schedule.
// The caller holds the mutex.
func (c *corpus) mutate(kept, fresh Schedule) Schedule {
	kept.Seed, kept.Events = fresh.Seed, slices.Clone(kept.Events)
	for range 1 + c.random.IntN(4) {
		i := c.random.IntN(len(kept.Events))
		event, donor := &kept.Events[i], fresh.Events[c.random.IntN(len(fresh.Events))]
		switch c.random.IntN(7) {
		case 0:
			event.AtMs = max(0, event.AtMs+c.random.IntN(2001)-1000)
		case 1:
			event.DurationMs = min(maxDurationsMs[len(maxDurationsMs)-1], event.DurationMs/2+c.random.IntN(2*event.DurationMs+1))
		case 2:
			event.Target = donor.Target
		case 3:
			event.TriggerCall, event.AfterCall = donor.TriggerCall, donor.AfterCall
		case 4:
			kept.Events = append(kept.Events, donor)
		case 5:
			duplicate := *event
			duplicate.AtMs += c.random.IntN(4000)
			kept.Events = append(kept.Events, duplicate)
		default:
			if len(kept.Events) > 2 {
				kept.Events = slices.Delete(kept.Events, i, i+1)
			}
		}
	}
	slices.SortStableFunc(kept.Events, func(a, b Event) int { return a.AtMs - b.AtMs })
	return kept
}
