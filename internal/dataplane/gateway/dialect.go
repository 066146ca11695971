package gateway

import (
	"net/http"
	"time"
)

// RequestMeta is the content of a client's request headers, independent of their names on the wire.
type RequestMeta struct {
	Key          string // the tenant's key; "": none
	AttemptID    string // the client's ID for this attempt
	Model        string
	InputTokens  int
	OutputTokens int           // the most output that the request may produce; 0: unknown
	TokensKnown  bool          // the client sent both token counts
	Prefix       []PromptPart  // the prompt's leading parts, in order
	Deadline     time.Duration // how long the client will wait, from receipt; 0: unknown
	LastEventID  string        // the client resumes a stream after this event; "": none
}

// PromptPart is one part of a prompt. Parts with the same ID have the same text.
type PromptPart struct {
	ID     uint64
	Tokens int
}

// RunnerMeta is the content of the headers that the gateway sets on a request to a runner.
type RunnerMeta struct {
	RunnerID    string        // the only runner that may run the request
	Tenant      string        // "": none
	Deadline    time.Duration // the time that remains
	Urgency     int           // 0 is the most urgent; negative: not set
	LastEventID string        // "": from the beginning
}

// ResponseMeta is the content of a runner's response status and headers.
type ResponseMeta struct {
	AttemptID   string // ID of the attempt that it responds to; "": not given
	NotExecuted bool   // the runner promises that it has not run the request
	Sealed      bool   // the response carries the runner's seal, which shows that a runner produced it
	OtherRunner bool   // the address now belongs to another runner
}

// Dialect translates between HTTP headers and their meaning. Its methods are called concurrently and must not block.
type Dialect interface {
	// ReadRequest reads a client's headers. An error means that they are invalid; its text is sent to the client.
	ReadRequest(header http.Header) (RequestMeta, error)
	// WriteRequest sets the headers of a request to a runner. It removes headers of the client's that only the system may set.
	WriteRequest(header http.Header, meta RunnerMeta)
	// ReadResponse reads the status and headers of a runner's response.
	ReadResponse(status int, header http.Header) ResponseMeta
}
