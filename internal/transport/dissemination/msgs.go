package dissemination

//go:generate go tool msgp -tests=false -io=false

// A length read from the wire is believed up to this only.
//msgp:limit arrays:10000000 maps:200000

// Record is one piece of news. Of two with one key the one with the higher (Generation, Version) is newer.
type Record struct {
	Key        string `msg:"k"`
	Generation uint64 `msg:"g"`
	Version    uint64 `msg:"t"`
	Body       []byte `msg:"b"`
}

// Update hands on news.
type Update struct {
	From    string   `msg:"f"`
	Records []Record `msg:"r"`
}

// Digests is what one says of its copy: a digest for each range of keys.
type Digests struct {
	From   string   `msg:"f"`
	Ranges []uint64 `msg:"d"`
}

// RecordVersion is a record without its body.
type RecordVersion struct {
	Key        string `msg:"k"`
	Generation uint64 `msg:"g"`
	Version    uint64 `msg:"t"`
}

// Difference names the records of every range that differed.
type Difference struct {
	Ranges  []int           `msg:"r"`
	Records []RecordVersion `msg:"n"`

	// What is known of the answerer's configuration: so many milliseconds ago, all that had been acknowledged had that
	// version at most.
	Confirmed      bool   `msg:"c,omitempty"`
	ConfigVersion  uint64 `msg:"v,omitempty"`
	ConfirmedAgeMs int    `msg:"a,omitempty"`
}

// Repair hands over the records that the far side lacks and asks for those that we lack.
type Repair struct {
	From    string   `msg:"f"`
	Records []Record `msg:"r"`
	Wanted  []string `msg:"w"`
}
