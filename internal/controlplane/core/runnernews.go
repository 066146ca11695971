package core

import (
	"sync"
	"time"

	"yarrowridge/internal/model/routing"
	"yarrowridge/internal/transport/dissemination"
)

// announce pushes a runner's change to routers, with others that come close to it.
func (s *Server) announce(runner routing.Runner) <-chan struct{} {
	body, err := runner.MarshalMsg(nil)
	if err != nil {
		return nil
	}
	return s.runnerNews.add(dissemination.Record{Key: dissemination.RunnerPrefix + runner.ID, Version: runner.Sequence, Body: body}, s.pushRunners)
}

// runnerNews gathers changes of runners that come close together, and pushes them as one.
type runnerNews struct {
	mu   sync.Mutex
	next *runnerBatch
}

type runnerBatch struct {
	recs []dissemination.Record
	done chan struct{} // closed once the push has ended
}

// add puts a record into the next batch. The channel is closed once the batch has been pushed.
func (n *runnerNews) add(record dissemination.Record, push func(...dissemination.Record)) <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	batch := n.next
	if batch == nil {
		batch = &runnerBatch{done: make(chan struct{})}
		n.next = batch
		go n.send(batch, push)
	}
	batch.recs = append(batch.recs, record)
	return batch.done
}

// send waits a moment for more changes, and pushes the batch. Batches don't wait for each other.
func (n *runnerNews) send(batch *runnerBatch, push func(...dissemination.Record)) {
	time.Sleep(runnerGatherSpan)
	n.mu.Lock()
	n.next = nil
	n.mu.Unlock()
	push(batch.recs...)
	close(batch.done)
}
