package session

// maxUpdatesPerDrain is how many entries one message to the other routers has; the rest goes with the next one.
const maxUpdatesPerDrain = 1024

// updateQueue is the sessions whose entry is still to be sent to the other routers. The directory's lock guards it.
type updateQueue struct {
	pending map[uint64]uint64 // by session, the highest version of another router's entry that ours replaces
	order   []uint64          // the same sessions in the order in which they came, and some that are no longer pending
}

func newUpdateQueue() updateQueue { return updateQueue{pending: map[uint64]uint64{}} }

// add queues a session whose entry replaces one of a version. If it is queued already, it keeps its place and version.
func (q *updateQueue) add(session, replaced uint64) {
	if _, isPending := q.pending[session]; !isPending {
		q.pending[session] = replaced
		q.order = append(q.order, session)
	}
}

// pendingVersion returns the highest version that a session's pending entry replaces.
func (q *updateQueue) pendingVersion(session uint64) (replaced uint64, isPending bool) {
	replaced, isPending = q.pending[session]
	return replaced, isPending
}

// passOver notes that an entry of a version did not replace the one that is pending.
func (q *updateQueue) passOver(session, version uint64) {
	if replaced, isPending := q.pending[session]; isPending {
		q.pending[session] = max(replaced, version)
	}
}

func (q *updateQueue) remove(session uint64) { delete(q.pending, session) }

// drain takes up to limit sessions out of the queue, the oldest first.
func (q *updateQueue) drain(limit int) []uint64 {
	var sessions []uint64
	for len(q.order) > 0 && len(sessions) < limit {
		session := q.order[0]
		q.order = q.order[1:]
		if _, isPending := q.pending[session]; !isPending {
			continue
		}
		delete(q.pending, session)
		sessions = append(sessions, session)
	}
	if len(q.order) == 0 {
		q.order = nil
	}
	return sessions
}
