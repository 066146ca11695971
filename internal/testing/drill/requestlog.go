package drill

import (
	"net/http"
	"sync"
	"time"
)

// RunnerRequest is one request exactly as a stand-in runner received it.
type RunnerRequest struct {
	Runner     string
	RunID      string
	ReceivedAt time.Time
	Method     string
	Path       string
	Header     http.Header
	Body       []byte
	Truncated  bool // the sender died in the middle of the body; the runner did not execute the request
	Finished   bool // the answer was written to its end
}

// RequestLog is the log of the requests that all stand-in runners received, in order.
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

// All returns a copy of the log.
func (l *RequestLog) All() []RunnerRequest {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]RunnerRequest, len(l.requests))
	for i, request := range l.requests {
		out[i] = *request
	}
	return out
}
