package core

import (
	"yarrowridge/internal/routing"
	"yarrowridge/internal/store"
	"yarrowridge/internal/view"
)

//go:generate go tool msgp -tests=false -io=false

// A length read from the wire is believed up to this only.
//msgp:limit arrays:10000000 maps:200000

// Hold asks the backup to keep a batch.
type Hold struct {
	View  view.View   `msg:"v"`
	From  string      `msg:"f"`
	Batch store.Batch `msg:"b"`
}

// Copy carries a part of the whole state to a backup that is to be.
type Copy struct {
	View view.View   `msg:"v"`
	From string      `msg:"f"`
	Turn uint64      `msg:"t"`
	Part int         `msg:"p"`
	Last bool        `msg:"l"`
	Seq  uint64      `msg:"s"`
	Puts []store.Put `msg:"b"`
}

// Held answers Hold and Copy with the voter's identity.
type Held struct {
	Id string `msg:"i"`
}

// Join is a process without a seat asking for one.
type Join struct {
	Who view.Member `msg:"w"`
}

// Node is a router as the core and its peers know it.
type Node struct {
	Name  string `msg:"n" json:"name"`
	Zone  string `msg:"h" json:"hall"`
	Addr  string `msg:"a" json:"addr"`
	Face  string `msg:"f" json:"origin"` // where origins reach it
	Born  uint64 `msg:"b" json:"born"`
	Seq   uint64 `msg:"s" json:"sequence"`
	Ready bool   `msg:"r" json:"ready"`
}

// Beat renews a node's lease.
type Beat struct {
	Node  Node   `msg:"n"`
	Roll  uint64 `msg:"r"` // the roll of nodes it has
	AgeMs int    `msg:"g"` // since this run of the node's process began
	Leave bool   `msg:"l"` // it stops now: no lease, and its unspent units are free after a window

	RunnersWanted  bool   `msg:"w"` // it keeps a copy of the registry of runners
	RunnersEpoch   uint64 `msg:"e"` // what it has of it; zeros: nothing
	RunnersVersion uint64 `msg:"v"`
	RunnersDigest  uint64 `msg:"d"` // with version 0: of what it has, so that an equal list need not be sent; 0: none

	ViewEpoch uint64 `msg:"ve"` // of the view it knows, so that the same need not be sent

	Tallies []RunnerTally `msg:"t"` // of the runners used since the last beat
}

// RunnerTally counts how attempts at a runner ended.
type RunnerTally struct {
	ID    string `msg:"i"`
	Tries int    `msg:"t"`
	Fails int    `msg:"f"`
}

// FailingRunner is a runner that lately failed a large share of the attempts of all routers.
type FailingRunner struct {
	ID    string  `msg:"i"`
	Share float64 `msg:"s"` // from 0 to 1
}

// Told answers a Beat.
type Told struct {
	View  view.View `msg:"v"` // epoch 0 where the node knows it
	Seq   uint64    `msg:"s"` // newest layout
	Roll  uint64    `msg:"r"`
	Nodes []Node    `msg:"n"` // all live nodes, where the roll changed
	Whole bool      `msg:"w"` // Nodes is set
	Short []string  `msg:"h"` // tenants whose units are wanted back where idle

	// RoutersBefore is how many routers there were before this primary began, as the disk has it, while it does
	// not know yet which of them live; 0 once it names them, and where there were none.
	RoutersBefore int `msg:"b"`

	RunnersEpoch   uint64           `msg:"re"` // one primary's count of versions
	RunnersVersion uint64           `msg:"rv"`
	Runners        []routing.Runner `msg:"rr"` // those changed since the version it had
	RunnersWhole   bool             `msg:"rw"` // Runners are all: one that is not named is to be dropped
	Failing        []FailingRunner  `msg:"rf"` // all that fail now
}

// RunnerBeat is a runner's heartbeat.
type RunnerBeat struct {
	Runner routing.Runner `msg:"r"`
}

// Want asks for the layout: the newest, or an older one by sequence.
type Want struct {
	Seq uint64 `msg:"s"`
}

// Sheet is a layout as stored.
type Sheet struct {
	Seq uint64 `msg:"s"`
	Raw []byte `msg:"r"`
}

// Sessions is the routers' session directory as they keep it at the core, in their own form.
type Sessions struct {
	Batch []byte `msg:"b"`
}

// Write is an operator's change.
type Write struct {
	Id    string `msg:"i"` // the operator's write id, may be empty
	Match uint64 `msg:"m"` // the sequence it was made against; Any for none
	Any   bool   `msg:"a"`
	Patch bool   `msg:"p"`
	Raw   []byte `msg:"r"`
}

// Flaw is one trouble in a layout.
type Flaw struct {
	Path string `msg:"p" json:"path"`
	Text string `msg:"t" json:"text"`
}

// Wrote answers a Write: Code is the HTTP status.
type Wrote struct {
	Code  int    `msg:"c"`
	Seq   uint64 `msg:"s"`
	Flaws []Flaw `msg:"f"`
	Again bool   `msg:"a"` // the write id was known: applied before
}

// Mark remembers a write id.
type Mark struct {
	Seq uint64 `msg:"s"`
	Sum string `msg:"h"`
}

// History counts the writes of documents that number themselves, and names the older ones still kept.
type History struct {
	Count uint64   `msg:"c"`
	Past  []uint64 `msg:"p"`
}

// Claim is the durable record of a once-only key.
type Claim struct {
	Sum    string `msg:"h"` // hash of what was asked
	Id     string `msg:"i"` // who claimed it, and which try
	Node   string `msg:"n"`
	Born   uint64 `msg:"b"`
	State  int    `msg:"s"`
	Status int    `msg:"c"`
	Kind   string `msg:"k"` // content type
	Answer []byte `msg:"a"`
	Kept   bool   `msg:"w"` // Answer is the whole answer
}

// Take asks for a claim.
type Take struct {
	Key   string `msg:"k"`
	Claim Claim  `msg:"c"`
}

// Took answers Take.
type Took struct {
	Got   bool  `msg:"g"`
	Clash bool  `msg:"x"` // same key, another body
	Live  bool  `msg:"l"` // still running at a live node
	Ran   bool  `msg:"r"` // it ran; no more is known of it by now
	Full  bool  `msg:"f"` // no more keys can be kept for now
	Claim Claim `msg:"c"` // what stands
}

// Settle ends a claim.
type Settle struct {
	Key   string `msg:"k"`
	Free  bool   `msg:"f"` // surely not run: the key may be claimed anew
	Claim Claim  `msg:"c"`
}

// Done answers where there is nothing to say.
type Done struct{}

// Move draws or gives units of a tenant's quota.
type Move struct {
	Tenant string `msg:"t"`
	Holder string `msg:"n"`
	Turn   uint64 `msg:"k"`
	Units  int    `msg:"u"`
	Give   bool   `msg:"g"`
}

// Moved says what the holder has now.
type Moved struct {
	Have  int `msg:"h"`
	Under int `msg:"u"` // what all have, or the quota if larger
}

// Moves are draws and gives of one holder, of as many tenants as it has moves to make: one call and one
// write carry them all.
type Moves struct {
	Holder string `msg:"n"`
	List   []Move `msg:"l"` // their Holder is empty
}

// MovedAll answers Moves, in their order.
type MovedAll struct {
	List []Moved `msg:"l"`
}

// Peek asks for the fleet's state.
type Peek struct{}

// Share is one holder's part of a tenant's quota.
type Share struct {
	Tenant string `msg:"t" json:"tenant"`
	Holder string `msg:"h" json:"holder"`
	Units  int    `msg:"u" json:"units"`
	Cool   bool   `msg:"c" json:"cooling"`
}

// State is what the primary tells of itself.
type State struct {
	View   view.View     `msg:"v" json:"view"`
	Me     string        `msg:"m" json:"id"`
	Ready  bool          `msg:"r" json:"ready"`
	Seq    uint64        `msg:"s" json:"sequence"`
	Stored uint64        `msg:"t" json:"stored"`
	Nodes  []Node        `msg:"n" json:"nodes"`
	Shares []Share       `msg:"h" json:"shares"`
	Spares []view.Member `msg:"p" json:"spares"`
	Sick   bool          `msg:"k" json:"disk_trouble"`
	Claims int           `msg:"c" json:"claims"`
	Ran    int           `msg:"a" json:"keys_that_ran"`
	Parts  int           `msg:"b" json:"parts_of_keys"`
}
