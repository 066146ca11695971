package gateway

import "github.com/rotisserie/eris"

// State is where a request stands on its way.
type State int

// The states of a request's way.
const (
	Received      State = iota // its headers have been read
	Routed                     // route and service are known
	Authenticated              // the tenant is known, or none is needed
	Admitted                   // quota and allowance let it in, its body has been read
	Selected                   // a runner has been chosen; no byte has left
	Sent                       // a byte may have left
	Responding                 // the runner has begun to answer
	Completed                  // answered with the runner's whole answer
	Rejected                   // answered by us; it has not run and never will
	Failed                     // it may have run, and its answer is lost
)

var stateNames = [...]string{"received", "routed", "authenticated", "admitted", "selected", "sent", "answering", "done", "refused", "failed"}

// String names the state.
func (s State) String() string { return stateNames[s] }

// follows lists where each state may lead. From Sent and Answering a request gets back to Admitted only
// where it may be repeated, or where the runner has promised that it did not run.
var transitions = map[State][]State{
	Received:      {Routed, Rejected},
	Routed:        {Authenticated, Rejected},
	Authenticated: {Admitted, Rejected},
	Admitted:      {Selected, Rejected},
	Selected:      {Sent, Admitted, Rejected},
	Sent:          {Responding, Admitted, Failed, Rejected},
	Responding:    {Completed, Admitted, Failed, Rejected},
}

// journey is the state chart of one request.
type stateChart struct {
	state       State
	idempotent  bool
	notExecuted bool // the last runner promised that it did not run it
}

// advance takes a step, or refuses one that the chart does not have.
func (j *stateChart) advance(to State) error {
	if j.state == Sent || j.state == Responding {
		if (to == Admitted && !j.idempotent || to == Rejected) && !j.notExecuted {
			return eris.Errorf("gateway: step from %s to %s of a request that may have run", j.state, to)
		}
	}
	for _, next := range transitions[j.state] {
		if next == to {
			j.state = to
			if to == Selected {
				j.notExecuted = false
			}
			return nil
		}
	}
	return eris.Errorf("gateway: no step leads from %s to %s", j.state, to)
}
