package runner

//go:generate go tool msgp -tests=false -io=false

// A length read from the wire is believed up to this only.
//msgp:limit arrays:10000000 maps:200000

// Report is a runner as it told of itself, handed on between routers.
type Report struct {
	Name      string            `msg:"n" json:"name"`
	Address   string            `msg:"a" json:"addr"`
	RunID     string            `msg:"b" json:"born"` // any word that differs between runs at one address
	Labels    map[string]string `msg:"l" json:"labels"`
	State     string            `msg:"s" json:"state"` // starting, ready or leaving
	Capacity  int               `msg:"r" json:"room"`  // streams it takes at once
	MaxTokens int               `msg:"m" json:"max_length"`
	Fill      float64           `msg:"f" json:"fill"`
	Queued    int               `msg:"q" json:"queued_tokens"` // its own late count of output still to come
	Zone      string            `msg:"h" json:"hall"`
}

// Load is the work that one router has in flight at one runner.
type Load struct {
	Streams int     `msg:"s"`
	Tokens  int     `msg:"t"` // output tokens still to come
	Rate    float64 `msg:"r"` // output tokens per second seen, 0 where no stream has ended
}

// Work is a router's report of its own work to the other routers: in flight per runner, and queued per lane.
type Work struct {
	Runners map[string]Load `msg:"r"`
	Queued  map[string]int  `msg:"q"`
}
