package pipeline

import (
	"slices"
	"sync"
	"time"
)

// Class is the urgency of an operation. A batch applies the operations of the most urgent class first, and those of one class
// in the order in which they were queued.
type Class int

// The classes, most urgent first. Each has its own queue, so that a burst of operations of one class neither fills the queue
// of another nor delays its operations by more than one batch.
const (
	ClassConfig Class = iota // configuration changes by operators
	ClassRunner              // runners that register, drain and leave
	ClassClaim               // idempotency keys
	ClassRouter              // router addresses, the session directory, and the core's own cleanup
	ClassQuota               // all changes of quota pools, since a holder's transfers must stay in order with the operation that ends the holder
	classCount  = iota
)

// Limits of a batch and of the queues.
const (
	maxClassWeight = 1024    // weight of one class in a batch; keeps batches short, so that an urgent operation waits only briefly
	maxBatchBytes  = 1 << 20 // bytes of keys and values, from which on no further operation joins a batch
	classCapacity  = 4096    // waiting operations of one class; more are rejected
	stepCapacity   = 64      // waiting steps; more are dropped

	// maxClassWait bounds the estimated time of the batches before an operation's own. An operation that would wait longer is
	// rejected.
	maxClassWait = 500 * time.Millisecond
)

// classQueue holds the waiting operations of one class.
type classQueue struct {
	operations []*operation
	weight     int // total weight of the operations
}

// queues holds the waiting operations of each class and the waiting steps. Its methods may be called concurrently.
type queues struct {
	wakeup chan struct{} // buffered; holds at most one pending wake-up of the run loop

	mu           sync.Mutex // guards the fields below
	classes      [classCount]classQueue
	steps        []*operation
	lastSequence uint64 // the highest sequence number assigned so far
	batchTime    batchTime
}

func newQueues() *queues { return &queues{wakeup: make(chan struct{}, 1)} }

// push queues an operation, and reports whether its class had room. If the class is full, abandoned operations are removed
// first.
func (q *queues) push(class Class, queued *operation) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	queue := &q.classes[class]
	if q.isFull(queue) {
		queue.dropAbandoned()
		if q.isFull(queue) {
			return false
		}
	}
	queue.operations = append(queue.operations, queued)
	queue.weight += queued.weight
	q.numberAndWake(queued)
	return true
}

// isFull reports whether a class has as many waiting operations as allowed, or so many that another one would wait for longer
// than maxClassWait. The caller holds the mutex.
func (q *queues) isFull(queue *classQueue) bool {
	batches := queue.weight / maxClassWeight // full batches before the one that a new operation would join
	return len(queue.operations) >= classCapacity || q.batchTime.estimate(batches) > maxClassWait
}

// dropAbandoned removes the abandoned operations.
func (c *classQueue) dropAbandoned() {
	c.operations = slices.DeleteFunc(c.operations, func(queued *operation) bool {
		abandoned := queued.state.Load() == operationAbandoned
		if abandoned {
			c.weight -= queued.weight
		}
		return abandoned
	})
}

// pushStep queues a step, and reports whether the queue of steps had room.
func (q *queues) pushStep(step *operation) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.steps) >= stepCapacity {
		return false
	}
	q.steps = append(q.steps, step)
	q.numberAndWake(step)
	return true
}

// numberAndWake assigns a sequence number to a queued operation or step, and wakes the run loop. The caller holds the mutex.
func (q *queues) numberAndWake(queued *operation) {
	q.lastSequence++
	queued.sequence = q.lastSequence
	q.wake()
}

// wake makes the run loop process the queues.
func (q *queues) wake() {
	select {
	case q.wakeup <- struct{}{}:
	default:
	}
}

// pop removes and returns the first operation of a class, unless it was queued after the first waiting step. It returns nil if
// there is none.
func (q *queues) pop(class Class) *operation {
	q.mu.Lock()
	defer q.mu.Unlock()
	queue := &q.classes[class]
	if len(queue.operations) == 0 {
		return nil
	}
	first := queue.operations[0]
	if len(q.steps) > 0 && q.steps[0].sequence < first.sequence {
		return nil
	}
	queue.operations[0] = nil
	queue.operations = queue.operations[1:]
	queue.weight -= first.weight
	return first
}

// popStep removes and returns the first step, or returns nil if there is none.
func (q *queues) popStep() *operation {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.steps) == 0 {
		return nil
	}
	first := q.steps[0]
	q.steps[0] = nil
	q.steps = q.steps[1:]
	return first
}

// isEmpty reports whether no operation and no step is waiting.
func (q *queues) isEmpty() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	for i := range q.classes {
		if len(q.classes[i].operations) > 0 {
			return false
		}
	}
	return len(q.steps) == 0
}

// recordBatchTime records how long a batch took, for later estimates.
func (q *queues) recordBatchTime(took time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.batchTime.record(took)
}
