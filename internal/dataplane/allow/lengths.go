package allow

import "sync"

// LengthRatio tracks the recent ratio of received to requested output. Queued output is scaled by it, because clients
// request the most that they would accept. The ratio also converts to the unit in which the rate of the runners is
// measured: stream events, each of which may hold several tokens.
type LengthRatio struct{ responses, requested, received float64 }

// The ratio applies from minRatioResponses on. At maxRatioResponses all sums are halved, so that older responses lose
// weight.
const minRatioResponses, maxRatioResponses = 4, 256

// Add counts a complete response.
func (r *LengthRatio) Add(requested, received int) {
	if r.responses >= maxRatioResponses {
		*r = LengthRatio{r.responses / 2, r.requested / 2, r.received / 2}
	}
	r.responses++
	r.requested += float64(requested)
	r.received += float64(min(received, requested))
}

// Ratio returns the expected share of the requested output, 1 until enough responses are counted.
func (r *LengthRatio) Ratio() float64 {
	if r.responses < minRatioResponses || r.requested <= 0 {
		return 1
	}
	return r.received / r.requested
}

// LaneLengths tracks a LengthRatio for each lane. Its methods may be called concurrently.
type LaneLengths struct {
	mu     sync.Mutex
	byLane map[string]*LengthRatio
}

// NewLaneLengths creates a LaneLengths without any responses.
func NewLaneLengths() *LaneLengths { return &LaneLengths{byLane: map[string]*LengthRatio{}} }

// Add counts a complete response of a lane.
func (l *LaneLengths) Add(lane string, requested, received int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.byLane[lane] == nil {
		l.byLane[lane] = &LengthRatio{}
	}
	l.byLane[lane].Add(requested, received)
}

// ExpectedTokens returns the output expected of a request of the lane.
func (l *LaneLengths) ExpectedTokens(lane string, requested int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.byLane[lane] == nil {
		return requested
	}
	return int(float64(requested)*l.byLane[lane].Ratio() + 0.5)
}
