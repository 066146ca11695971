package pipeline

import (
	"slices"
	"sync"
	"time"
)

// Class says how urgent an operation is. A batch takes the operations of the first class first; within a class they are
// taken in the order in which they came.
type Class int

// The classes, most urgent first. Each has a queue of its own, so that a crowd of one class neither fills the queue of
// another nor delays it by more than one batch.
const (
	ClassConfig Class = iota // operators' changes of the configuration
	ClassRunner              // runners that come, drain and go
	ClassClaim               // idempotency keys
	ClassRouter              // routers' addresses, session directory, and what the core tidies up
	ClassQuota               // all that changes quota pools: the order of transfers and of what ends their holder matters
	classCount  = iota
)

// How much is taken at once, and may wait.
const (
	maxClassWeight = 1024    // of one class in a batch: the next urgent operation waits for a short batch only
	maxBatchBytes  = 1 << 20 // of keys and values, after which no further operation joins a batch
	classCapacity  = 4096    // operations of a class that wait; more are rejected
	stepCapacity   = 64      // steps that wait

	// maxClassWait is how long the batches before an operation's own may take; one that would wait longer is rejected.
	maxClassWait = 500 * time.Millisecond
)

// classQueue is what waits of one class.
type classQueue struct {
	operations []*operation
	weight     int // of the operations
}

// queues holds the operations of each class and the run loop's own steps. Its methods may be called concurrently.
type queues struct {
	wakeup chan struct{} // holds one wake-up of the run loop

	mu         sync.Mutex // guards all below
	classes    [classCount]classQueue
	steps      []*operation
	lastNumber uint64 // of all that was queued
	batchTime  batchTime
}

func newQueues() *queues { return &queues{wakeup: make(chan struct{}, 1)} }

// push queues an operation, and reports whether its class had room. Those that their callers have abandoned make room.
func (q *queues) push(class Class, queued *operation) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	waiting := &q.classes[class]
	if q.isFull(waiting) {
		waiting.dropAbandoned()
		if q.isFull(waiting) {
			return false
		}
	}
	waiting.operations = append(waiting.operations, queued)
	waiting.weight += queued.weight
	q.number(queued)
	return true
}

// isFull reports whether a class has as many operations as may wait, or as many as would keep another one waiting for longer
// than maxClassWait. The caller holds the mutex.
func (q *queues) isFull(waiting *classQueue) bool {
	batches := waiting.weight / maxClassWeight // before the one that a newcomer would be in
	return len(waiting.operations) >= classCapacity || q.batchTime.of(batches) > maxClassWait
}

// dropAbandoned removes the operations that their callers have abandoned.
func (c *classQueue) dropAbandoned() {
	c.operations = slices.DeleteFunc(c.operations, func(queued *operation) bool {
		abandoned := queued.state.Load() == operationAbandoned
		if abandoned {
			c.weight -= queued.weight
		}
		return abandoned
	})
}

// pushStep queues a step, and reports whether there was room.
func (q *queues) pushStep(step *operation) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.steps) >= stepCapacity {
		return false
	}
	q.steps = append(q.steps, step)
	q.number(step)
	return true
}

// number numbers what was queued and wakes the run loop. The caller holds the mutex.
func (q *queues) number(queued *operation) {
	q.lastNumber++
	queued.number = q.lastNumber
	q.wake()
}

// wake has the run loop look at the queues.
func (q *queues) wake() {
	select {
	case q.wakeup <- struct{}{}:
	default:
	}
}

// take removes the first operation of a class that was queued before the first step that waits; nil where there is none.
func (q *queues) take(class Class) *operation {
	q.mu.Lock()
	defer q.mu.Unlock()
	waiting := &q.classes[class]
	if len(waiting.operations) == 0 {
		return nil
	}
	first := waiting.operations[0]
	if len(q.steps) > 0 && q.steps[0].number < first.number {
		return nil
	}
	waiting.operations[0] = nil
	waiting.operations = waiting.operations[1:]
	waiting.weight -= first.weight
	return first
}

// takeStep removes the first step; nil where there is none.
func (q *queues) takeStep() *operation {
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

// isEmpty reports whether nothing waits.
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

// recordBatch notes how long a batch took.
func (q *queues) recordBatch(took time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.batchTime.record(took)
}
