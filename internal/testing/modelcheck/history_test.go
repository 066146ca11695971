package modelcheck

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"
)

// operationKind says what an operator did.
type operationKind int

const (
	readConfig operationKind = iota
	writeConfig
)

// outcome says what an operator was told of an operation.
type outcome int

const (
	done       outcome = iota // read, or written
	raceLost                  // another version than the base was current
	notTaken                  // surely not carried out, and never will be
	inDoubt                   // perhaps carried out, or yet to be
	unexpected                // an answer that nothing explains
)

// operation is what an operator asked for.
type operation struct {
	kind  operationKind
	base  uint64 // of a write: the version that it builds on
	value string // of a write
	quota int    // of a write: the units that the value gives to quotaTenant
}

// result is what an operator was told.
type result struct {
	outcome outcome
	version uint64
	value   string // of a read
}

// coreState is what the core keeps: the configuration in force, and the units drawn under its quota.
type coreState struct {
	version uint64
	value   string
	quota   int
	pool    quotaPool
}

// coreModel is what the core has to be. Its configuration is a register: a write takes effect once, on the version that
// it names, or not at all; a read gives what is in force. Its pool of quota units is ruled by that configuration.
var coreModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{coreState{}} },
	Step: func(state, input, output any) []any {
		if asked, isMove := input.(move); isMove {
			return state.(coreState).moves(asked, output.(moved))
		}
		return state.(coreState).step(input.(operation), output.(result))
	},
	Equal: func(a, b any) bool { return a == b },
	DescribeOperation: func(input, output any) string {
		return fmt.Sprintf("%+v -> %+v", input, output)
	},
}

// step gives the states that an operator's operation may leave behind; none: its result is impossible in this state.
func (before coreState) step(asked operation, told result) []any {
	written := before
	written.version, written.value, written.quota = before.version+1, asked.value, asked.quota
	matches := asked.base == before.version
	switch {
	case asked.kind == readConfig:
		if told.version == before.version && told.value == before.value {
			return []any{before}
		}
	case told.outcome == done:
		if matches && told.version == written.version {
			return []any{written}
		}
	case told.outcome == raceLost:
		if !matches {
			return []any{before}
		}
	case told.outcome == notTaken:
		return []any{before}
	case told.outcome == inDoubt:
		if matches {
			return []any{before, written}
		}
		return []any{before}
	}
	return nil
}

// history is what all operators did, in the order in which it began and ended.
type history struct {
	mu         sync.Mutex
	clock      int64
	operations []porcupine.Operation
	broken     []string // what is wrong whatever the order
}

// begin notes the begin of an operation.
func (h *history) begin() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.clock++
	return h.clock
}

// end notes an operation or a move of quota units, and its result.
func (h *history) end(client int, begun int64, asked, told any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.clock++
	h.operations = append(h.operations, porcupine.Operation{ClientId: client, Input: asked, Call: begun, Output: told, Return: h.clock})
}

// fail notes what is wrong whatever the order.
func (h *history) fail(format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.broken = append(h.broken, fmt.Sprintf(format, args...))
}

// counts tells how many writes were acknowledged, how many operations of operators there are, and how many moves.
func (h *history) counts() (acknowledged, all, moves int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, one := range h.operations {
		asked, isOperation := one.Input.(operation)
		if !isOperation {
			moves++
		} else if asked.kind == writeConfig && one.Output.(result).outcome == done {
			acknowledged++
		}
	}
	return acknowledged, len(h.operations) - moves, moves
}

// searchTimeout bounds the search for an order, in real time.
const searchTimeout = 20 * time.Second

// violations tells what no order of the operations explains.
func (h *history) violations() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	broken := h.broken
	operations := slices.Clone(h.operations)
	for i := range operations {
		if isInDoubt(operations[i].Output) {
			operations[i].Return = h.clock + 1 // it may take effect at any time
		}
	}
	switch porcupine.CheckOperationsTimeout(coreModel.ToModel(), operations, searchTimeout) {
	case porcupine.Illegal:
		broken = append(broken, "the history is not linearizable: "+h.firstOddity())
	case porcupine.Unknown:
		broken = append(broken, "no order was found in time")
	}
	return broken
}

// isInDoubt reports whether nobody knows if an operation or a move took effect.
func isInDoubt(output any) bool {
	if told, isMove := output.(moved); isMove {
		return !told.known
	}
	return output.(result).outcome == inDoubt
}

// firstOddity describes the plainest contradiction, for a reader of the failure.
func (h *history) firstOddity() string {
	type acknowledged struct {
		asked operation
		told  result
		end   int64
	}
	var writes []acknowledged
	operations := slices.DeleteFunc(slices.Clone(h.operations), func(one porcupine.Operation) bool {
		_, isMove := one.Input.(move)
		return isMove
	})
	for _, one := range operations {
		asked, told := one.Input.(operation), one.Output.(result)
		if asked.kind == writeConfig && told.outcome == done {
			writes = append(writes, acknowledged{asked, told, one.Return})
		}
	}
	for _, one := range operations {
		asked, told := one.Input.(operation), one.Output.(result)
		for _, write := range writes {
			switch {
			case asked.kind == readConfig && write.end < one.Call && told.version < write.told.version:
				return fmt.Sprintf("version %d read after %d was acknowledged", told.version, write.told.version)
			case asked.kind == readConfig && told.version == write.told.version && told.value != write.asked.value:
				return fmt.Sprintf("version %d read as %s, acknowledged as %s", told.version, told.value, write.asked.value)
			case asked.kind == writeConfig && told.outcome == done && told.version == write.told.version && asked.value != write.asked.value:
				return fmt.Sprintf("version %d acknowledged twice, for %s and %s", told.version, asked.value, write.asked.value)
			}
		}
	}
	return "no pair of operators' operations shows it"
}
