package drill

import (
	"context"
	"math/rand/v2"
)

// event is one kind of fault or operator action in a day's course.
type event struct {
	name        string
	description string
	run         func(d *Day, ctx context.Context)
}

// events are all kinds of events of a day, in the order in which they are printed after an unknown name.
var events = []event{
	{"edits", "operators put whole and partial layouts, two at once, in a burst, and a bad one", (*Day).writeConfigs},
	{"withdraw", "a tenant's key is withdrawn, and given back", (*Day).revokeKey},
	{"crowd", "five times the traffic", (*Day).burstTraffic},
	{"hot", "one key takes most of the traffic", (*Day).burstSharedPrefix},
	{"leave", "a runner says that it leaves", (*Day).announceLeaving},
	{"runners", "runners are replaced one by one", (*Day).replaceRunners},
	{"dark", "a runner takes queries and says nothing", (*Day).hangRunner},
	{"deaf", "all but two runners refuse connections and beat on", (*Day).refuseConnections},
	{"half", "half of the runners break their answers off in the middle", (*Day).breakStreams},
	{"routers", "half of the routers are killed at once", (*Day).killHalfOfRouters},
	{"primary", "the primary and its backup are killed", (*Day).killPrimaryAndBackup},
	{"cores", "every core is killed", (*Day).killCores},
	{"wipe", "the primary loses its disk right after an acknowledgement", (*Day).wipePrimaryDisk},
	{"freeze", "the primary, and a router, stop and go on", (*Day).freezeProcesses},
	{"cut", "a hall's link is cut for 15 s", (*Day).partitionPrimaryZone},
	{"restart", "a router and a core are stopped with a warning", (*Day).restartProcesses},
	{"swap", "all five control machines are swapped for others, one by one", (*Day).replaceAllCores},
	{"blank", "a control machine comes back empty at a new address", (*Day).replaceOneCore},
}

// closingPrefix is the prefix of the names of closing events in a course.
const closingPrefix = "closing-"

// closings are the faults of which one ends each drawn course.
var closings = []event{
	{"hall", "a hall is lost", (*Day).killPrimaryZone},
	{"all", "every process is killed", (*Day).killAllProcesses},
	{"routers", "every router is killed", (*Day).killAllRouters},
}

func findEvent(list []event, name string) *event {
	for i := range list {
		if list[i].name == name {
			return &list[i]
		}
	}
	return nil
}

// drawCourse draws count events and a closing event. Config writes and the replacement of cores that the deployment
// rehearses are always among them.
func drawCourse(mix Mix, seed uint64, count int) []string {
	random := rand.New(rand.NewPCG(seed, 11))
	required := map[string]string{"trentvale": "swap", "tokachi": "blank"}[mix.Name]
	course := []string{"edits", required}
	for _, i := range random.Perm(len(events)) {
		if name := events[i].name; len(course) < count && name != "swap" && name != "blank" && name != "edits" {
			course = append(course, name)
		}
	}
	random.Shuffle(len(course), func(i, j int) { course[i], course[j] = course[j], course[i] })
	return append(course, closingPrefix+closings[random.IntN(len(closings))].name)
}
