package gateway

import "github.com/rotisserie/eris"

// State is a request's progress from the client to a runner and back.
type State int

// The states of a request.
const (
	Received      State = iota // its headers have been read
	Routed                     // route and service are known
	Authenticated              // the tenant is known, or none is needed
	Admitted                   // quota and allowance admit it, its body has been read
	Selected                   // a runner has been chosen; no byte has been sent
	Sent                       // a byte may have been sent
	Responding                 // the runner has begun to respond
	Completed                  // the client has the runner's complete response
	Rejected                   // the gateway rejected it; it has not run and never will
	Failed                     // it may have run, and its response is lost
)

var stateNames = [...]string{"received", "routed", "authenticated", "admitted", "selected", "sent", "responding", "completed", "rejected", "failed"}

// String returns the state's name.
func (s State) String() string { return stateNames[s] }

// transitions lists the permitted next states of each state. advance adds conditions to the transitions from Sent and
// Responding.
var transitions = map[State][]State{
	Received:      {Routed, Rejected},
	Routed:        {Authenticated, Rejected},
	Authenticated: {Admitted, Rejected},
	Admitted:      {Selected, Rejected},
	Selected:      {Sent, Admitted, Rejected},
	Sent:          {Responding, Admitted, Failed, Rejected},
	Responding:    {Completed, Admitted, Failed, Rejected},
}

// stateChart is the state chart of one request. It is owned by the request's goroutine.
type stateChart struct {
	state       State
	idempotent  bool
	notExecuted bool // the last runner promised that it did not run the request
}

// advance moves the request to another state. It returns an error if the transition is not permitted.
//
// Invariant: once a byte may have been sent, returning to Admitted requires that the request is idempotent or that the runner
// promised not to have run it; moving to Rejected always requires that promise. Selected clears the promise, because it comes
// from the previous runner.
func (s *stateChart) advance(to State) error {
	if s.state == Sent || s.state == Responding {
		if (to == Admitted && !s.idempotent || to == Rejected) && !s.notExecuted {
			return eris.Errorf("gateway: forbidden transition from %s to %s: the request may have run", s.state, to)
		}
	}
	for _, next := range transitions[s.state] {
		if next == to {
			s.state = to
			if to == Selected {
				s.notExecuted = false
			}
			return nil
		}
	}
	return eris.Errorf("gateway: invalid transition from %s to %s", s.state, to)
}
