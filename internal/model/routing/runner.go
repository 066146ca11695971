package routing

import (
	"hash/fnv"
	"slices"
	"strconv"

	"yarrowridge/internal/lib/hashing"
)

//go:generate go tool msgp -tests=false -io=false

// Limits the lengths of arrays and maps that are decoded from the wire.
//msgp:limit arrays:10000 maps:10000

// RunnerState is the state of a runner: the one it reported last, or RunnerTimedOut.
type RunnerState string

// States of a runner.
const (
	RunnerReady    RunnerState = "ready"
	RunnerDraining RunnerState = "draining" // finishes its requests and accepts no new ones
	RunnerGone     RunnerState = "gone"     // has left the fleet
	RunnerTimedOut RunnerState = "silent"   // no heartbeat within the timeout
)

// RunnerModel is a model that a runner serves.
type RunnerModel struct {
	Name     string `msg:"n" json:"name"`
	Revision int    `msg:"r" json:"revision"`
}

// Runner is one run of a runner process, as reported by its heartbeats. After a restart the runner has a new ID.
type Runner struct {
	ID           string        `msg:"i" json:"id"`
	Service      string        `msg:"b" json:"service"`
	Address      string        `msg:"a" json:"address"`
	Zone         string        `msg:"z" json:"zone"`
	State        RunnerState   `msg:"s" json:"state"`
	Slots        int           `msg:"c" json:"slots"`
	WarmupLeftMs int           `msg:"w" json:"warmup_left_ms"` // remaining warm-up time, in which the runner is slow
	Phase        string        `msg:"p" json:"phase"`
	Models       []RunnerModel `msg:"m" json:"models"`
	Sequence     uint64        `msg:"q" json:"sequence"` // increases with every heartbeat
}

// EqualForRouting reports whether two reports of the same runner are equivalent for routers. Sequence and the exact length of
// the remaining warm-up are not compared.
func (r Runner) EqualForRouting(other Runner) bool {
	return r.State == other.State && r.Address == other.Address && r.Service == other.Service && r.Zone == other.Zone &&
		r.Slots == other.Slots && r.Phase == other.Phase && (r.WarmupLeftMs > 0) == (other.WarmupLeftMs > 0) &&
		slices.Equal(r.Models, other.Models)
}

// Digest returns a hash of everything that routers need to know about a runner: all fields except Sequence and the exact
// length of the remaining warm-up. Two copies of a fleet's runners are compared by the XOR of all digests. The hash is mixed
// for that purpose: with FNV alone, two runners that change in the same way, as in a release, could cancel each other out.
func (r Runner) Digest() uint64 {
	hash := fnv.New64a()
	add := func(field string) {
		hash.Write(strconv.AppendInt(nil, int64(len(field)), 10)) // the length marks where a field ends
		hash.Write([]byte{' '})
		hash.Write([]byte(field))
	}
	for _, field := range []string{r.ID, r.Service, r.Address, r.Zone, string(r.State), strconv.Itoa(r.Slots),
		strconv.FormatBool(r.WarmupLeftMs > 0), r.Phase} {
		add(field)
	}
	for _, model := range r.Models {
		add(model.Name)
		add(strconv.Itoa(model.Revision))
	}
	return hashing.Mix(hash.Sum64())
}
