package wire

import (
	"sync"
	"sync/atomic"
)

// Count is a number of frames and their total size on the wire in bytes, including length prefixes.
type Count struct {
	Frames uint64 `json:"frames"`
	Bytes  uint64 `json:"bytes"`
}

// Traffic counts the frames of one kind of call that this process has sent and received.
type Traffic struct {
	CallsSent         Count `json:"calls_sent"`
	ResponsesReceived Count `json:"answers_received"`
	CallsReceived     Count `json:"calls_received"`
	ResponsesSent     Count `json:"answers_sent"`
}

// Sent returns the total of sent calls and responses.
func (t Traffic) Sent() Count { return t.CallsSent.plus(t.ResponsesSent) }

// Received returns the total of received calls and responses.
func (t Traffic) Received() Count { return t.CallsReceived.plus(t.ResponsesReceived) }

// Minus returns the traffic since an earlier measurement.
func (t Traffic) Minus(earlier Traffic) Traffic {
	return Traffic{t.CallsSent.minus(earlier.CallsSent), t.ResponsesReceived.minus(earlier.ResponsesReceived),
		t.CallsReceived.minus(earlier.CallsReceived), t.ResponsesSent.minus(earlier.ResponsesSent)}
}

func (c Count) plus(d Count) Count  { return Count{c.Frames + d.Frames, c.Bytes + d.Bytes} }
func (c Count) minus(d Count) Count { return Count{c.Frames - d.Frames, c.Bytes - d.Bytes} }

// maxKinds bounds the number of kinds with their own counters, because a faulty peer could send any number of kinds.
const maxKinds = 100

// otherKinds is the key under which all kinds beyond maxKinds are counted together.
const otherKinds = "other"

// counter counts the frames of one kind and direction.
type counter struct{ frames, bytes atomic.Uint64 }

func (c *counter) add(size int) {
	c.frames.Add(1)
	c.bytes.Add(uint64(size))
}

func (c *counter) read() Count { return Count{c.frames.Load(), c.bytes.Load()} }

// kindCounters counts the frames of one kind.
type kindCounters struct {
	callsSent, responsesReceived, callsReceived, responsesSent counter
}

// trafficCounters holds a process's counters by kind.
type trafficCounters struct {
	mu    sync.RWMutex // guards the map; the counters in it are atomic
	kinds map[string]*kindCounters
}

// traffic counts all frames that this process sends and receives.
var traffic = &trafficCounters{kinds: map[string]*kindCounters{}}

// forKind returns the counters of a kind, or the shared ones of otherKinds beyond maxKinds.
func (t *trafficCounters) forKind(kind string) *kindCounters {
	t.mu.RLock()
	counters := t.kinds[kind]
	t.mu.RUnlock()
	if counters != nil {
		return counters
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

// read returns the current counts by kind.
func (t *trafficCounters) read() map[string]Traffic {
	t.mu.RLock()
	defer t.mu.RUnlock()
	out := make(map[string]Traffic, len(t.kinds))
	for kind, c := range t.kinds {
		out[kind] = Traffic{c.callsSent.read(), c.responsesReceived.read(), c.callsReceived.read(), c.responsesSent.read()}
	}
	return out
}

// TrafficByKind returns the traffic of this process since its start, by kind of call. It is safe for concurrent use.
func TrafficByKind() map[string]Traffic { return traffic.read() }
