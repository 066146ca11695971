package allow

import "sync"

// LengthRatio is how much of the length asked for responses have lately come to. What is ahead is counted by
// that, in the same unit as the runners' measured speed: clients ask for the most that they would take, and a
// piece of a stream may hold several tokens.
type LengthRatio struct{ responses, asked, received float64 }

// A ratio counts from minRatioResponses on; at maxRatioResponses, what was seen is halved so that older ones fade.
const minRatioResponses, maxRatioResponses = 4, 256

// Add counts a whole response.
func (r *LengthRatio) Add(asked, came int) {
	if r.responses >= maxRatioResponses {
		*r = LengthRatio{r.responses / 2, r.asked / 2, r.received / 2}
	}
	r.responses++
	r.asked += float64(asked)
	r.received += float64(min(came, asked))
}

// Ratio is the part of what is asked for that is likely to come: all, until enough was seen.
func (r *LengthRatio) Ratio() float64 {
	if r.responses < minRatioResponses || r.asked <= 0 {
		return 1
	}
	return r.received / r.asked
}

// LaneLengths is the ratio of each lane.
type LaneLengths struct {
	mu     sync.Mutex
	byLane map[string]*LengthRatio
}

// NewLaneLengths makes an empty record.
func NewLaneLengths() *LaneLengths { return &LaneLengths{byLane: map[string]*LengthRatio{}} }

// Add counts a whole response of a lane.
func (l *LaneLengths) Add(lane string, asked, came int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.byLane[lane] == nil {
		l.byLane[lane] = &LengthRatio{}
	}
	l.byLane[lane].Add(asked, came)
}

// ExpectedTokens is the output that a request of a lane is likely to come to, of what it asks for.
func (l *LaneLengths) ExpectedTokens(lane string, asked int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.byLane[lane] == nil {
		return asked
	}
	return int(float64(asked)*l.byLane[lane].Ratio() + 0.5)
}
