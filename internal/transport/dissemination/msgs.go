package dissemination

//go:generate go tool msgp -tests=false -io=false

// No length read from the wire is trusted beyond these.
//msgp:limit arrays:10000000 maps:200000

// Record is one disseminated value. Of two records with one key the one with the higher (Generation, Version) is newer;
// who writes a key chooses both. Records are shared between goroutines: a Body is not changed once it is in a Record.
type Record struct {
	Key        string `msg:"k"`
	Generation uint64 `msg:"g"`
	Version    uint64 `msg:"t"`
	Body       []byte `msg:"b"`
}

// Update carries new records to a neighbour in the tree, and those that a Repair asked for.
type Update struct {
	From    string   `msg:"f"` // the name of the sender, which needs none of them back
	Records []Record `msg:"r"`
}

// Digests summarizes a store: a digest of the versions in each shard. Equal digests mean equal versions, but for a
// collision of 64-bit hashes.
type Digests struct {
	From   string   `msg:"f"` // the name of the sender
	Shards []uint64 `msg:"d"` // by shard index, ShardCount of them
}

// RecordVersion is a record without its body.
type RecordVersion struct {
	Key        string `msg:"k"`
	Generation uint64 `msg:"g"`
	Version    uint64 `msg:"t"`
}

// Difference answers Digests with the versions of all records in the shards that differ.
type Difference struct {
	Shards   []int           `msg:"r"` // indices of the shards that differ
	Versions []RecordVersion `msg:"n"`

	// What the answering node knows of its configuration: ConfirmedAgeMs milliseconds ago, no acknowledged version was
	// newer than ConfigVersion. Without meaning where Confirmed is false.
	Confirmed      bool   `msg:"c,omitempty"`
	ConfigVersion  uint64 `msg:"v,omitempty"`
	ConfirmedAgeMs int    `msg:"a,omitempty"`
}

// Repair answers a Difference with the records that the other node lacks or has older, and asks for those that this one
// lacks or has older.
type Repair struct {
	From       string   `msg:"f"` // the name of the sender
	Records    []Record `msg:"r"`
	WantedKeys []string `msg:"w"`
}
