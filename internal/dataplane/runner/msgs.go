package runner

//go:generate go tool msgp -tests=false -io=false

// Messages with longer arrays or maps are rejected, so that a corrupt length does not cause a huge allocation.
//msgp:limit arrays:10000000 maps:200000

// Report is what a runner reports about itself in a heartbeat. Routers disseminate it to each other.
type Report struct {
	Name      string            `msg:"n" json:"name"`
	Address   string            `msg:"a" json:"addr"`
	RunID     string            `msg:"b" json:"born"` // any string that differs between runs at one address
	Labels    map[string]string `msg:"l" json:"labels"`
	State     string            `msg:"s" json:"state"`      // starting, ready or leaving
	Capacity  int               `msg:"r" json:"room"`       // concurrent streams; 0: not reported
	MaxTokens int               `msg:"m" json:"max_length"` // output tokens per request; 0: no limit
	Fill      float64           `msg:"f" json:"fill"`
	Queued    int               `msg:"q" json:"queued_tokens"` // output tokens still to come, as the runner counts them; delayed
	Zone      string            `msg:"h" json:"hall"`
}

// Load is the work that one router has in flight at one runner.
type Load struct {
	Streams int     `msg:"s"`
	Tokens  int     `msg:"t"` // output tokens still to come
	Rate    float64 `msg:"r"` // measured output tokens per second; 0: not measured yet
}

// Work is a router's report of its own work to the other routers.
type Work struct {
	Runners map[string]Load `msg:"r"` // in flight, by runner address
	Queued  map[string]int  `msg:"q"` // output tokens queued, by kind of queue
}
