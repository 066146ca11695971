package routing

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
	RunnerSilent   RunnerState = "silent"   // no heartbeat for too long
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
