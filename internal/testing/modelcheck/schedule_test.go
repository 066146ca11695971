package modelcheck

import (
	"encoding/json"
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

// Event is one fault of a schedule, as it is printed and read from a file.
type Event struct {
	AtMs        int    `json:"at_ms"` // from when the fleet serves
	Kind        string `json:"kind"`
	Target      string `json:"who,omitempty"` // primary, backup, any; where the kind concerns one machine
	DurationMs  int    `json:"for_ms,omitempty"`
	Count       int    `json:"count,omitempty"` // at which write; of 100 messages
	TriggerCall string `json:"on,omitempty"`    // kind of call at which the event begins: the first one after at_ms
	AfterCall   bool   `json:"after,omitempty"` // it begins once that call was handled, not before
	OnlyCall    string `json:"only,omitempty"`  // of faults of messages: the kind of call that they affect; "": all
}

// Schedule is one run: a fleet and its faults.
type Schedule struct {
	Seed   uint64  `json:"seed"`
	Cores  int     `json:"cores"`
	Losses int     `json:"losses"`
	Events []Event `json:"events"`
}

// span is how long the operators work: until the last event begins, and for a while after it.
func (s Schedule) operatorTime() time.Duration {
	last := 0
	for _, event := range s.Events {
		last = max(last, event.AtMs+min(event.DurationMs, 4000))
	}
	return time.Duration(last) * time.Millisecond
}

// String is the schedule in JSON, as -replay reads it.
func (s Schedule) String() string {
	raw, err := json.Marshal(s)
	if err != nil {
		return err.Error()
	}
	return string(raw)
}

// The last of the faults comes this long after the first may.
const faultSpanMs = 16000

// faultKinds are what may happen, by name; each brings one fault about and ends it.
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

// callKinds are the kinds of call between the processes of the walks. A schedule draws from them evenly: a fault at one of the
// few snapshots or votes of a run is as likely as one at its hundreds of writes.
var callKinds = []string{"core.beat", "core.copy", "core.hold", "core.join", "core.layout", "core.moves", "core.write",
	"view.ask", "view.learn", "view.pick", "view.prep", "view.reach", "view.relay", "view.release", "view.renew"}

// Of the events of a schedule so many in 100 begin at a call, and so many faults of messages affect one kind of call.
const (
	percentAtCall  = 30
	percentOneKind = 50
)

// mayBeOfOneCall says which kinds of fault affect messages of all calls or of one kind, as the schedule draws it. The others
// that affect messages name their kind of call themselves.
var mayAffectOneCallKind = map[string]bool{"late": true, "doubled": true, "late answers": true}

// size is how many cores a fleet has, and how many losses it bears.
type fleetSize struct{ cores, losses int }

// sizes are drawn from evenly.
var fleetSizes = []fleetSize{{5, 1}, {5, 1}, {5, 1}, {3, 1}, {3, 1}, {4, 1}, {5, 2}, {7, 2}, {9, 2}}

// newSchedule draws a run of the kinds of fault that are named, of all where none is: faults come alone, and in pairs or
// threes within half a second. Half of all schedules are narrow ones.
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

// mixedEvents draws events of all kinds and lengths, over the whole run.
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

// narrowEvents draws events of a few kinds, close together, those of one kind all of about one length and at machines in the
// same place. What needs several certain faults in a row seldom comes of an even mix (Groce et al., "Swarm Testing", 2012).
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

// targets are the places of the machines that events concern, drawn from evenly.
var targets = []string{"primary", "primary", "backup", "any"}

// closeSpanMs is within how long the faults of a narrow schedule begin.
const narrowSpanMs = 6000

// longestMs are the lengths of faults in narrow schedules: about the lease term, and longer than each of the core's times.
var maxDurationsMs = []int{300, 800, 1500, 4000, 9000}

// newEvent draws one event of a kind, soon after a moment.
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
