package gateway

import (
	"net/http"
	"time"
)

// RequestMeta is what the headers of a client's request say, whatever they are called on the wire.
type RequestMeta struct {
	Key          string // the tenant's key; "": none
	AttemptID    string // the client's id of this attempt
	Model        string
	InputTokens  int
	OutputTokens int           // the most that may come out; 0: not told
	TokensKnown  bool          // both numbers of tokens were given
	Prefix       []PromptPart  // in order
	Deadline     time.Duration // how long the client will wait from now; 0: not told
	LastEventID  string        // the client takes a stream up after this event
}

// PromptPart is one part of a prompt. Parts with one id are the same text.
type PromptPart struct {
	ID     uint64
	Tokens int
}

// RunnerMeta is what the system tells a runner about a request.
type RunnerMeta struct {
	RunnerID    string // only this runner may run it
	Tenant      string // "": none
	Deadline    time.Duration
	Urgency     int    // 0 is the most urgent; negative: not set
	LastEventID string // "": from the beginning
}

// AnswerMeta is what the headers of a runner's answer say.
type ResponseMeta struct {
	AttemptID   string // the request that it answers
	NotExecuted bool   // the runner promises that it has not run the request
	Sealed      bool   // it carries the runner's seal
	OtherRunner bool   // another runner has the address
}

// Dialect translates between headers and what they mean.
type Dialect interface {
	// ReadRequest reads a client's headers. An error is one that the client should mend.
	ReadRequest(header http.Header) (RequestMeta, error)
	// WriteRunner puts into header what the runner is told. It removes what only the system may say.
	WriteRunner(header http.Header, meta RunnerMeta)
	// ReadResponse reads the headers of a runner's answer.
	ReadResponse(status int, header http.Header) ResponseMeta
}
