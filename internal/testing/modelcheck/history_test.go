package modelcheck

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"
)

// operationKind distinguishes reads from writes.
type operationKind int

const (
	readConfig operationKind = iota
	writeConfig
)

// outcome is the result of an operation as an operator knows it.
type outcome int

const (
	succeeded        outcome = iota // read or written
	versionConflict                 // the base version was not the current one
	notExecuted                     // certainly not carried out, now or later
	outcomeUnknown                  // may have been carried out, or may still be
	unexpectedAnswer                // an answer that the protocol does not allow
)

// operation is what an operator requested.
type operation struct {
	kind        operationKind
	baseVersion uint64 // writes: the version that the write builds on
	value       string // writes
	quota       int    // writes: the units that the value gives to quotaTenant
}

// result is the answer that an operator received.
type result struct {
	outcome outcome
	version uint64
	value   string // reads
}

// coreState is the state of the core: the configuration in force, and the units drawn under its quota.
type coreState struct {
	version uint64
	value   string
	quota   int
	pool    quotaPool
}

// coreModel is the specification of the core. Its configuration is a register: a write takes effect once, on the version
// that it names, or not at all; a read returns the configuration in force. That configuration also sets the size of the
// pool of quota units.
var coreModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{coreState{}} },
	Step: func(state, input, output any) []any {
		if transfer, isTransfer := input.(quotaTransfer); isTransfer {
			return state.(coreState).applyTransfer(transfer, output.(transferResult))
		}
		return state.(coreState).apply(input.(operation), output.(result))
	},
	Equal: func(a, b any) bool { return a == b },
	DescribeOperation: func(input, output any) string {
		return fmt.Sprintf("%+v -> %+v", input, output)
	},
}

// apply returns the states that are possible after an operator's operation; none if its result is impossible in this
// state.
func (before coreState) apply(op operation, reported result) []any {
	written := before
	written.version, written.value, written.quota = before.version+1, op.value, op.quota
	matches := op.baseVersion == before.version
	switch {
	case op.kind == readConfig:
		if reported.version == before.version && reported.value == before.value {
			return []any{before}
		}
	case reported.outcome == succeeded:
		if matches && reported.version == written.version {
			return []any{written}
		}
	case reported.outcome == versionConflict:
		if !matches {
			return []any{before}
		}
	case reported.outcome == notExecuted:
		return []any{before}
	case reported.outcome == outcomeUnknown:
		if matches {
			return []any{before, written}
		}
		return []any{before}
	}
	return nil
}

// history records the operations of all clients, in the order in which they began and ended.
type history struct {
	mu         sync.Mutex
	clock      int64
	operations []porcupine.Operation
	failures   []string // violations that do not depend on the order of operations
}

// begin returns the logical time at which an operation begins.
func (h *history) begin() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.clock++
	return h.clock
}

// end records an operation or a quota transfer with its result.
func (h *history) end(client int, begun int64, input, output any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.clock++
	h.operations = append(h.operations, porcupine.Operation{ClientId: client, Input: input, Call: begun, Output: output, Return: h.clock})
}

// fail records a violation that does not depend on the order of operations.
func (h *history) fail(format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.failures = append(h.failures, fmt.Sprintf(format, args...))
}

// counts returns the numbers of acknowledged writes, of operators' operations and of quota transfers.
func (h *history) counts() (acknowledged, operations, transfers int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, entry := range h.operations {
		op, isOperation := entry.Input.(operation)
		if !isOperation {
			transfers++
		} else if op.kind == writeConfig && entry.Output.(result).outcome == succeeded {
			acknowledged++
		}
	}
	return acknowledged, len(h.operations) - transfers, transfers
}

// searchTimeout bounds the search for a linearization, in real time.
const searchTimeout = 20 * time.Second

// violations describes the recorded violations, and whether no order of the operations explains their results.
func (h *history) violations() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	violations := h.failures
	operations := slices.Clone(h.operations)
	for i := range operations {
		if isOutcomeUnknown(operations[i].Output) {
			operations[i].Return = h.clock + 1 // it may take effect at any time
		}
	}
	switch porcupine.CheckOperationsTimeout(coreModel.ToModel(), operations, searchTimeout) {
	case porcupine.Illegal:
		violations = append(violations, "the history is not linearizable: "+h.describeContradiction())
	case porcupine.Unknown:
		violations = append(violations, "no order was found in time")
	}
	return violations
}

// isOutcomeUnknown reports whether it is unknown if an operation or a quota transfer took effect.
func isOutcomeUnknown(output any) bool {
	if reported, isTransfer := output.(transferResult); isTransfer {
		return !reported.answered
	}
	return output.(result).outcome == outcomeUnknown
}

// describeContradiction describes a pair of operations that contradict each other, to explain a failure.
func (h *history) describeContradiction() string {
	type acknowledgedWrite struct {
		op       operation
		reported result
		end      int64
	}
	var writes []acknowledgedWrite
	operations := slices.DeleteFunc(slices.Clone(h.operations), func(entry porcupine.Operation) bool {
		_, isTransfer := entry.Input.(quotaTransfer)
		return isTransfer
	})
	for _, entry := range operations {
		op, reported := entry.Input.(operation), entry.Output.(result)
		if op.kind == writeConfig && reported.outcome == succeeded {
			writes = append(writes, acknowledgedWrite{op, reported, entry.Return})
		}
	}
	for _, entry := range operations {
		op, reported := entry.Input.(operation), entry.Output.(result)
		for _, write := range writes {
			switch {
			case op.kind == readConfig && write.end < entry.Call && reported.version < write.reported.version:
				return fmt.Sprintf("version %d read after %d was acknowledged", reported.version, write.reported.version)
			case op.kind == readConfig && reported.version == write.reported.version && reported.value != write.op.value:
				return fmt.Sprintf("version %d read as %s, acknowledged as %s", reported.version, reported.value, write.op.value)
			case op.kind == writeConfig && reported.outcome == succeeded && reported.version == write.reported.version && op.value != write.op.value:
				return fmt.Sprintf("version %d acknowledged twice, for %s and %s", reported.version, op.value, write.op.value)
			}
		}
	}
	return "no pair of operators' operations shows it"
}
