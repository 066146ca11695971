package wire

import (
	"sync"
	"sync/atomic"
)

// Count is a number of frames and their bytes on the wire, lengths included.
type Count struct {
	Frames uint64 `json:"frames"`
	Bytes  uint64 `json:"bytes"`
}

// Traffic is what this process has sent and received of one kind of message.
type Traffic struct {
	CallsSent         Count `json:"calls_sent"`
	ResponsesReceived Count `json:"answers_received"`
	CallsReceived     Count `json:"calls_received"`
	ResponsesSent     Count `json:"answers_sent"`
}

// Sent is everything that left this process.
func (t Traffic) Sent() Count { return t.CallsSent.plus(t.ResponsesSent) }

// Received is everything that came to this process.
func (t Traffic) Received() Count { return t.CallsReceived.plus(t.ResponsesReceived) }

// Minus is the traffic since an earlier reading.
func (t Traffic) Minus(earlier Traffic) Traffic {
	return Traffic{t.CallsSent.minus(earlier.CallsSent), t.ResponsesReceived.minus(earlier.ResponsesReceived),
		t.CallsReceived.minus(earlier.CallsReceived), t.ResponsesSent.minus(earlier.ResponsesSent)}
}

func (c Count) plus(d Count) Count  { return Count{c.Frames + d.Frames, c.Bytes + d.Bytes} }
func (c Count) minus(d Count) Count { return Count{c.Frames - d.Frames, c.Bytes - d.Bytes} }

// mostKinds bounds how many kinds are counted apart: kinds come from the far side, which may be faulty.
const maxKinds = 100

// otherKinds is the name under which kinds beyond the bound are counted together.
const otherKinds = "other"

// counter counts one direction of one kind.
type counter struct{ frames, bytes atomic.Uint64 }

func (c *counter) add(size int) {
	c.frames.Add(1)
	c.bytes.Add(uint64(size))
}

func (c *counter) read() Count { return Count{c.frames.Load(), c.bytes.Load()} }

type kindCounters struct {
	callsSent, responsesReceived, callsReceived, responsesSent counter
}

// trafficCounters are the counters of a process, by kind.
type trafficCounters struct {
	mu    sync.RWMutex
	kinds map[string]*kindCounters
}

// traffic counts all frames of this process.
var traffic = &trafficCounters{kinds: map[string]*kindCounters{}}

// of gives the counters of a kind.
func (t *trafficCounters) of(kind string) *kindCounters {
	t.mu.RLock()
	known := t.kinds[kind]
	t.mu.RUnlock()
	if known != nil {
		return known
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.kinds[kind] == nil && len(t.kinds) >= maxKinds {
		kind = otherKinds
	}
	if t.kinds[kind] == nil {
		t.kinds[kind] = &kindCounters{}
	}
	return t.kinds[kind]
}

func (t *trafficCounters) read() map[string]Traffic {
	t.mu.RLock()
	defer t.mu.RUnlock()
	out := make(map[string]Traffic, len(t.kinds))
	for kind, c := range t.kinds {
		out[kind] = Traffic{c.callsSent.read(), c.responsesReceived.read(), c.callsReceived.read(), c.responsesSent.read()}
	}
	return out
}

// TrafficByKind tells what this process has sent and received since its start, by kind of message.
func TrafficByKind() map[string]Traffic { return traffic.read() }
