package modelcheck

import (
	"encoding/json"
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

// Event is one fault of a schedule, in the JSON form in which schedules are printed and replayed.
type Event struct {
	AtMs        int    `json:"at_ms"` // since the fleet began to serve
	Kind        string `json:"kind"`
	Target      string `json:"who,omitempty"` // primary, backup or any, for kinds that affect one machine
	DurationMs  int    `json:"for_ms,omitempty"`
	Count       int    `json:"count,omitempty"` // meaning depends on the kind, such as the write at which to crash
	TriggerCall string `json:"on,omitempty"`    // kind of call that starts the event: the first one after at_ms
	AfterCall   bool   `json:"after,omitempty"` // the event starts after that call was handled instead of before
	OnlyCall    string `json:"only,omitempty"`  // message faults: the kind of call that they affect; "": all
}

// Schedule describes one run: a fleet and its faults.
type Schedule struct {
	Seed   uint64  `json:"seed"`
	Cores  int     `json:"cores"`
	Losses int     `json:"losses"`
	Events []Event `json:"events"`
}

// operatorTime is the time until all events have ended, counting at most 4 s of each event. Operators work for a little
// longer than that.
func (s Schedule) operatorTime() time.Duration {
	last := 0
	for _, event := range s.Events {
		last = max(last, event.AtMs+min(event.DurationMs, 4000))
	}
	return time.Duration(last) * time.Millisecond
}

// String returns the schedule in the JSON form that -replay reads.
func (s Schedule) String() string {
	raw, err := json.Marshal(s)
	if err != nil {
		return err.Error()
	}
	return string(raw)
}

// faultSpanMs is the time span within which the events of a mixed schedule start.
const faultSpanMs = 16000

// faultKinds maps the name of each kind of fault to the function that starts and ends it.
var faultKinds = map[string]func(f *fleet, event Event){
	"kill":         killProcess,
	"kill all":     killAll,
	"power all":    losePower,
	"cut":          partitionProcess,
	"cut one way":  partitionOneWay,
	"halves":       partitionHalves,
	"wipe":         wipeDisk,
	"wipe, power":  wipeAndLosePower,
	"replace":      replaceMachine,
	"leave":        replaceGracefully,
	"stall":        stallDisk,
	"full":         fillDisk,
	"slow":         slowDisk,
	"die at write": crashAtWrite,
	"late":         delayMessages,
	"doubled":      duplicateMessages,
	"late answers": delayAnswers,
	"late writes":  delayReplicatedWrites,
	"late copies":  delaySnapshots,
	"island":       partitionWithReader,
	"restart rest": restartOthersDuringPartition,
	"late grants":  delayLeaseGrants,
	"freeze":       freezeProcess,
	"backup only":  partitionFromAllButBackup,
}

// callKinds are the kinds of call between the processes of a run. Schedules draw from them evenly, so that a fault at one
// of the few snapshots or votes of a run is as likely as one at its hundreds of writes.
var callKinds = []string{"core.beat", "core.copy", "core.hold", "core.join", "core.layout", "core.moves", "core.write",
	"view.ask", "view.learn", "view.pick", "view.prep", "view.reach", "view.relay", "view.release", "view.renew"}

// percentAtCall of 100 events start at a call; percentOneKind of 100 message faults affect only one kind of call.
const (
	percentAtCall  = 30
	percentOneKind = 50
)

// mayAffectOneCallKind lists the kinds of message fault that affect either all calls or one kind of call, as the schedule
// draws it. The other kinds of message fault have a fixed kind of call.
var mayAffectOneCallKind = map[string]bool{"late": true, "doubled": true, "late answers": true}

// fleetSize is the number of cores in a fleet and the number of losses that it tolerates.
type fleetSize struct{ cores, losses int }

// fleetSizes are drawn from evenly; repeated entries are drawn more often.
var fleetSizes = []fleetSize{{5, 1}, {5, 1}, {5, 1}, {3, 1}, {3, 1}, {4, 1}, {5, 2}, {7, 2}, {9, 2}}

// newSchedule draws a schedule of the given kinds of fault, or of all kinds if none is given. Faults come alone, or in
// pairs or threes within half a second. Half of all schedules are narrow (see narrowEvents).
func newSchedule(seed uint64, kinds ...string) Schedule {
	random := rand.New(rand.NewPCG(seed, 11))
	size := fleetSizes[random.IntN(len(fleetSizes))]
	s := Schedule{Seed: seed, Cores: size.cores, Losses: size.losses}
	if len(kinds) == 0 {
		kinds = slices.Sorted(maps.Keys(faultKinds))
	}
	if random.IntN(2) == 0 {
		s.Events = narrowEvents(random, kinds)
	} else {
		s.Events = mixedEvents(random, kinds)
	}
	slices.SortStableFunc(s.Events, func(a, b Event) int { return a.AtMs - b.AtMs })
	return s
}

// mixedEvents draws events of all given kinds and of all durations, over the whole run.
func mixedEvents(random *rand.Rand, kinds []string) (events []Event) {
	for range 2 + random.IntN(4) {
		atMs := random.IntN(faultSpanMs)
		for range 1 + random.IntN(3) {
			event := newEvent(random, atMs, kinds[random.IntN(len(kinds))])
			event.Target = targets[random.IntN(len(targets))]
			event.DurationMs = 50 + random.IntN(1+random.IntN(4000))
			events = append(events, event)
		}
	}
	return events
}

// narrowEvents draws events of a few kinds, close together. All events of one kind have the same target and about the same
// duration. An even mix of faults seldom produces a failure that needs several particular faults in a row (Groce et al.,
// "Swarm Testing", 2012).
func narrowEvents(random *rand.Rand, kinds []string) (events []Event) {
	kinds = slices.Clone(kinds)
	random.Shuffle(len(kinds), func(i, k int) { kinds[i], kinds[k] = kinds[k], kinds[i] })
	kinds = kinds[:min(len(kinds), 2+random.IntN(3))]
	type pattern struct {
		target string
		maxMs  int
	}
	patterns := map[string]pattern{}
	for _, kind := range kinds {
		patterns[kind] = pattern{targets[random.IntN(len(targets))], maxDurationsMs[random.IntN(len(maxDurationsMs))]}
	}
	for range 3 + random.IntN(3) {
		atMs := random.IntN(narrowSpanMs)
		for range 1 + random.IntN(3) {
			event := newEvent(random, atMs, kinds[random.IntN(len(kinds))])
			event.Target = patterns[event.Kind].target
			event.DurationMs = patterns[event.Kind].maxMs/2 + random.IntN(patterns[event.Kind].maxMs/2)
			events = append(events, event)
		}
	}
	return events
}

// targets are the values of Event.Target, drawn from evenly; repeated entries are drawn more often.
var targets = []string{"primary", "primary", "backup", "any"}

// narrowSpanMs is the time span within which the events of a narrow schedule start.
const narrowSpanMs = 6000

// maxDurationsMs are the longest durations of faults in narrow schedules, from below the lease term to longer than each of
// the core's timeouts.
var maxDurationsMs = []int{300, 800, 1500, 4000, 9000}

// newEvent draws one event of a kind that starts within 500 ms after atMs.
func newEvent(random *rand.Rand, atMs int, kind string) Event {
	event := Event{AtMs: atMs + random.IntN(500), Kind: kind, Count: 1 + random.IntN(12)}
	if random.IntN(100) < percentAtCall {
		event.TriggerCall, event.AfterCall = callKinds[random.IntN(len(callKinds))], random.IntN(2) == 0
	}
	if mayAffectOneCallKind[kind] && random.IntN(100) < percentOneKind {
		event.OnlyCall = callKinds[random.IntN(len(callKinds))]
	}
	return event
}
