package clientapi

import (
	"encoding/json"
	"errors"
	"math"
	"strconv"
	"time"

	"yarrowridge/internal/dataplane/request"
	"yarrowridge/internal/dataplane/runner"
	"yarrowridge/internal/lib/web"
)

// Rejection is the error with which a request ends that gets no complete response. If Status is zero, no error response is
// sent.
type Rejection struct {
	Status         int
	Code           Code
	Message        string
	RetryAfter     time.Duration // zero: no Retry-After header
	OutcomeUnknown bool          // the request may have run, or may still be running
}

// Error returns the code.
func (r *Rejection) Error() string { return string(r.Code) }

// RejectionBody is the JSON body of a rejection, and the data of the event that ends a stream early.
type RejectionBody struct {
	Error RejectionError `json:"error"`
}

// RejectionError describes an error to a client, and whether its request ran.
type RejectionError struct {
	Code      Code          `json:"code"`
	Message   string        `json:"message"`
	RequestID string        `json:"query"`
	Run       string        `json:"run"` // "not run" or "unknown"
	Step      request.State `json:"step,omitempty"`
}

// reject ends a request with an error, sends the error response, if any, and returns the code for log and metrics. If it sends
// one, nothing was written to the client before.
func (e *exchange) reject(err error) string {
	var rejection *Rejection
	if !errors.As(err, &rejection) {
		rejection = &Rejection{Status: 500, Code: CodeInternal, Message: "Internal trouble.", OutcomeUnknown: true}
		e.server.Ctx.Log.Error("Request failed by an internal error.", "request_id", e.request.ID, "error", err.Error())
	}
	step := e.finishFailed(rejection.Code)
	if e.claim != nil {
		e.claim.release(rejection.OutcomeUnknown)
	}
	if rejection.Status == 0 {
		// The client is gone or has its response already. If a handler returns without a response, net/http sends an empty 200:
		// for a client that left, the connection is closed instead.
		e.abortConnection = e.abortConnection || rejection.Code == CodeClientLeft
		return string(rejection.Code)
	}
	if !e.bodyRead {
		// net/http reads the rest of the body. The deadline keeps that from delaying the response or a graceful shutdown.
		_ = web.ResponseController(e.writer, e.incoming).SetReadDeadline(time.Now().Add(bodyDrainTimeout))
	}
	header := e.writer.Header()
	for name := range header {
		if name != runner.RequestHeader {
			header.Del(name)
		}
	}
	header.Set("Content-Type", "application/json")
	if rejection.RetryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(rejection.RetryAfter.Seconds()))))
	}
	run := "not run"
	if rejection.OutcomeUnknown {
		run = "unknown"
	}
	e.writer.WriteHeader(rejection.Status)
	_ = json.NewEncoder(e.writer).Encode(RejectionBody{RejectionError{
		Code: rejection.Code, Message: rejection.Message, RequestID: e.request.ID, Run: run, Step: step}})
	return string(rejection.Code)
}

// finishFailed records that a request ended without a complete response, and returns its state before.
func (e *exchange) finishFailed(code Code) request.State {
	state := e.request.State()
	if state == request.Sent || state == request.Responding {
		_ = e.request.Advance(request.Failed, string(code))
	} else {
		_ = e.request.Advance(request.Rejected, string(code))
	}
	return state
}
