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
	OutputTokens int           // the most that may come out; 0: unknown
	TokensKnown  bool          // the client gave both numbers of tokens
	Prefix       []PromptPart  // in order
	Deadline     time.Duration // how long the client will wait from now; 0: unknown
	LastEventID  string        // the client resumes a stream after this event; "": none
}

// PromptPart is one part of a prompt. Parts with the same ID are the same text.
type PromptPart struct {
	ID     uint64
	Tokens int
}

// RunnerMeta is what the gateway tells a runner about a request.
type RunnerMeta struct {
	RunnerID    string        // only this runner may run it
	Tenant      string        // "": none
	Deadline    time.Duration // the time that is left
	Urgency     int           // 0 is the most urgent; negative: not set
	LastEventID string        // "": from the beginning
}

// ResponseMeta is what the headers of a runner's response say.
type ResponseMeta struct {
	AttemptID   string // of the request that it responds to; "": not given
	NotExecuted bool   // the runner promises that it has not run the request
	Sealed      bool   // it carries the runner's seal: it is the runner's own
	OtherRunner bool   // another runner has the address
}

// Dialect translates between headers and what they mean. Requests call it concurrently; it must not block.
type Dialect interface {
	// ReadRequest reads a client's headers. An error is the client's fault; its text is shown to the client.
	ReadRequest(header http.Header) (RequestMeta, error)
	// WriteRequest sets in header what the runner is told. It removes what only the system may say.
	WriteRequest(header http.Header, meta RunnerMeta)
	// ReadResponse reads status and headers of a runner's response.
	ReadResponse(status int, header http.Header) ResponseMeta
}
