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

// Rejection is a "no" to a client: what code, at which step, and whether the request ran.
type Rejection struct {
	Status         int
	Code           Code
	Message        string
	RetryAfter     time.Duration // zero: none
	OutcomeUnknown bool          // it may have run, or may be running
}

// Error gives the code.
func (r *Rejection) Error() string { return string(r.Code) }

// RejectionBody is the JSON body of a rejection, and the data of the event that ends a stream early.
type RejectionBody struct {
	Error RejectionError `json:"error"`
}

// RejectionError tells a client what went wrong and whether its request ran.
type RejectionError struct {
	Code      Code          `json:"code"`
	Message   string        `json:"message"`
	RequestID string        `json:"query"`
	Run       string        `json:"run"` // "not run" or "unknown"
	Step      request.State `json:"step,omitempty"`
}

// reject answers a request that went wrong before anything was written to the client.
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
		// Nobody to answer, or answered already. An unanswered handler would be taken for an empty 200.
		e.abortConnection = e.abortConnection || rejection.Code == CodeClientLeft
		return string(rejection.Code)
	}
	if !e.bodyRead {
		// The rest of an unread body delays neither the response nor a graceful shutdown.
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

// finishFailed ends a request that came to no complete response, by its code, and returns how far it had come.
func (e *exchange) finishFailed(code Code) request.State {
	at := e.request.State()
	if at == request.Sent || at == request.Responding {
		_ = e.request.Advance(request.Failed, string(code))
	} else {
		_ = e.request.Advance(request.Rejected, string(code))
	}
	return at
}
