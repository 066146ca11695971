package node

import "yarrowridge/internal/controlplane/coreapi"

//go:generate go tool msgp -tests=false -io=false

// A length read from the wire is believed up to this only.
//msgp:limit arrays:10000000 maps:200000

// Load is what one router has sent to one runner and not yet seen end.
type Load struct {
	Streams int     `msg:"s"`
	Tokens  int     `msg:"t"` // output still to come
	Rate    float64 `msg:"r"` // tokens a second seen, 0 where no stream has ended
}

// Work is a router's news of its own work: per runner, and what waits in its queue per kind.
type Work struct {
	Runners map[string]Load `msg:"r"`
	Queued  map[string]int  `msg:"q"`
}

// NodeList is a node's list of nodes.
type NodeList struct {
	Nodes []coreapi.Node `msg:"n"`
}

// NodeListRequest asks for a NodeList.
type NodeListRequest struct{}

// StreamRequest is what a second run of a stream's request takes: all but the key, of which only the
// hash is kept.
type StreamRequest struct {
	Method string              `msg:"m"`
	Path   string              `msg:"p"`
	Header map[string][]string `msg:"h"`
	Body   []byte              `msg:"b"`
	Key    string              `msg:"k"`
}

// StreamCopy hands pieces of a stream to its standby.
type StreamCopy struct {
	ID          string         `msg:"i"`
	Tenant      string         `msg:"t"`
	Owner       string         `msg:"o"` // name of the router that carries it
	Addr        string         `msg:"a"`
	From        int            `msg:"f"`
	Pieces      [][]byte       `msg:"p"`
	End         bool           `msg:"e"` // the runner's own end has come
	Lost        string         `msg:"l"` // or it ended in this error
	StandbyTurn int            `msg:"u"` // which standby this is, counted over all the stream's routers
	Request     *StreamRequest `msg:"q"` // with the first copy, on repeatable lanes
}

// StreamReadRequest asks for the pieces after a number.
type StreamReadRequest struct {
	ID     string `msg:"i"`
	Tenant string `msg:"t"`
	After  int    `msg:"a"`
	WaitMs int    `msg:"w"` // wait so long for something new
}

// StreamReadResponse answers StreamReadRequest with what is held.
type StreamReadResponse struct {
	Have   bool     `msg:"h"`
	Pieces [][]byte `msg:"p"`
	End    bool     `msg:"e"`
	Lost   string   `msg:"l"`
}
