package gateway

import "github.com/rotisserie/eris"

// State is where a request stands on its way from its client to a runner and back.
type State int

// The states of a request.
const (
	Received      State = iota // its headers have been read
	Routed                     // route and service are known
	Authenticated              // the tenant is known, or none is needed
	Admitted                   // quota and allowance admit it, its body has been read
	Selected                   // a runner has been chosen; no byte has left
	Sent                       // a byte may have left
	Responding                 // the runner has begun to respond
	Completed                  // the client has the runner's complete response
	Rejected                   // the gateway rejected it; it has not run and never will
	Failed                     // it may have run, and its response is lost
)

var stateNames = [...]string{"received", "routed", "authenticated", "admitted", "selected", "sent", "responding", "completed", "rejected", "failed"}

// String names the state.
func (s State) String() string { return stateNames[s] }

// transitions lists where each state may lead. From Sent and Responding a request gets back to Admitted only where it is
// idempotent, or where the runner promised that it did not run it.
var transitions = map[State][]State{
	Received:      {Routed, Rejected},
	Routed:        {Authenticated, Rejected},
	Authenticated: {Admitted, Rejected},
	Admitted:      {Selected, Rejected},
	Selected:      {Sent, Admitted, Rejected},
	Sent:          {Responding, Admitted, Failed, Rejected},
	Responding:    {Completed, Admitted, Failed, Rejected},
}

// stateChart is the state of one request. Its goroutine owns it.
type stateChart struct {
	state       State
	idempotent  bool
	notExecuted bool // the last runner promised that it did not run it
}

// advance makes a transition. It fails on one that the chart does not have.
//
// Invariant: after a byte may have left, a request that is not idempotent gets back to Admitted, and any request to
// Rejected, only by the runner's promise that it did not run it. Selected clears that promise: it is the last runner's.
func (s *stateChart) advance(to State) error {
	if s.state == Sent || s.state == Responding {
		if (to == Admitted && !s.idempotent || to == Rejected) && !s.notExecuted {
			return eris.Errorf("gateway: transition from %s to %s of a request that may have run", s.state, to)
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
	return eris.Errorf("gateway: no transition leads from %s to %s", s.state, to)
}
