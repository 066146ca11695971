package dissemination

//go:generate go tool msgp -tests=false -io=false

// Limits on lengths that are read from the wire.
//msgp:limit arrays:10000000 maps:200000

// Record is one replicated value. Of two records with the same key, the one with the higher (Generation, Version) is
// newer; the writer of the key assigns both. Records are shared between goroutines, so a Record's Body must not be modified.
type Record struct {
	Key        string `msg:"k"`
	Generation uint64 `msg:"g"`
	Version    uint64 `msg:"t"`
	Body       []byte `msg:"b"`
}

// Update carries new records to a neighbour in the tree, or the records that a Repair requested.
type Update struct {
	From    string   `msg:"f"` // the name of the sender, to which they need not be sent back
	Records []Record `msg:"r"`
}

// Digests has one digest of the record versions in each shard of a store. Equal digests mean equal versions, except for
// collisions of the 64-bit hash.
type Digests struct {
	From   string   `msg:"f"` // the name of the sender
	Shards []uint64 `msg:"d"` // indexed by shard, ShardCount in total
}

// RecordVersion identifies one version of a record, without its body.
type RecordVersion struct {
	Key        string `msg:"k"`
	Generation uint64 `msg:"g"`
	Version    uint64 `msg:"t"`
}

// Difference answers Digests with the versions of all records in the shards that differ.
type Difference struct {
	Shards   []int           `msg:"r"` // indices of the shards that differ
	Versions []RecordVersion `msg:"n"`

	// If Confirmed, the answering node knows that ConfirmedAgeMs milliseconds ago no acknowledged version of the
	// configuration was newer than ConfigVersion. Otherwise the other two fields are meaningless.
	Confirmed      bool   `msg:"c,omitempty"`
	ConfigVersion  uint64 `msg:"v,omitempty"`
	ConfirmedAgeMs int    `msg:"a,omitempty"`
}

// Repair answers a Difference with the records that the receiver lacks or has in an older version, and requests those that
// the sender lacks or has in an older version.
type Repair struct {
	From       string   `msg:"f"` // the name of the sender
	Records    []Record `msg:"r"`
	WantedKeys []string `msg:"w"`
}
