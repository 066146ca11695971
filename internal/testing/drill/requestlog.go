package drill

import (
	"net/http"
	"sync"
	"time"
)

// RunnerRequest is one request as a stand-in runner received it, byte for byte.
type RunnerRequest struct {
	Runner     string
	RunID      string
	ReceivedAt time.Time
	Method     string
	Path       string
	Header     http.Header
	Body       []byte
	Truncated  bool // the body broke off: its sender died, and the runner did nothing with it
	Finished   bool // answered to the last byte
}

// RequestLog is what all stand-in runners received, in order.
type RequestLog struct {
	mu       sync.Mutex
	requests []*RunnerRequest
}

func (l *RequestLog) add(request *RunnerRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests = append(l.requests, request)
}

func (l *RequestLog) finish(request *RunnerRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	request.Finished = true
}

// All copies the log.
func (l *RequestLog) All() []RunnerRequest {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]RunnerRequest, len(l.requests))
	for i, request := range l.requests {
		out[i] = *request
	}
	return out
}
