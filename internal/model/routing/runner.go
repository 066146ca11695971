package routing

import (
	"hash/fnv"
	"slices"
	"strconv"

	"yarrowridge/internal/lib/hashing"
)

//go:generate go tool msgp -tests=false -io=false

// A length read from the wire is believed up to this only.
//msgp:limit arrays:10000 maps:10000

// RunnerState is what a runner says of itself.
type RunnerState string

// The states of a runner.
const (
	RunnerReady    RunnerState = "ready"
	RunnerDraining RunnerState = "draining" // serves what it has, takes nothing new
	RunnerGone     RunnerState = "gone"     // has left
	RunnerTimedOut RunnerState = "silent"   // no heartbeat for too long
)

// RunnerModel is a model that a runner serves.
type RunnerModel struct {
	Name     string `msg:"n" json:"name"`
	Revision int    `msg:"r" json:"revision"`
}

// Runner is one life of a runner as its heartbeats tell. A restart has another ID.
type Runner struct {
	ID           string        `msg:"i" json:"id"`
	Service      string        `msg:"b" json:"service"`
	Address      string        `msg:"a" json:"address"`
	Zone         string        `msg:"z" json:"zone"`
	State        RunnerState   `msg:"s" json:"state"`
	Slots        int           `msg:"c" json:"slots"`
	WarmupLeftMs int           `msg:"w" json:"warmup_left_ms"` // it stays slow for so long
	Phase        string        `msg:"p" json:"phase"`
	Models       []RunnerModel `msg:"m" json:"models"`
	Sequence     uint64        `msg:"q" json:"sequence"` // goes up with every heartbeat
}

// EqualForRouting reports whether two words of one runner say the same to routers: all but the heartbeats' numbers and how
// long exactly it stays slow.
func (r Runner) EqualForRouting(other Runner) bool {
	return r.State == other.State && r.Address == other.Address && r.Service == other.Service && r.Zone == other.Zone &&
		r.Slots == other.Slots && r.Phase == other.Phase && (r.WarmupLeftMs > 0) == (other.WarmupLeftMs > 0) &&
		slices.Equal(r.Models, other.Models)
}

// Digest is a hash of all that routers must know of a runner: all but its heartbeats' numbers and how long exactly
// it stays slow. Two copies of a fleet's runners are alike where the digests of all, taken together by XOR, are. The hash is
// mixed for that: of FNV alone, two runners that change alike, as in a release, could cancel one another.
func (r Runner) Digest() uint64 {
	hash := fnv.New64a()
	add := func(field string) {
		hash.Write(strconv.AppendInt(nil, int64(len(field)), 10)) // so that no field runs into the next
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
