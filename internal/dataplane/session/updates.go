package session

// maxUpdatesPerDrain is the maximum number of entries in one message to the other routers. The rest goes into the next one.
const maxUpdatesPerDrain = 1024

// updateQueue is the queue of sessions whose entry is still to be sent to the other routers. The directory's lock guards it.
type updateQueue struct {
	pending map[uint64]uint64 // by session, the highest version among the entries that the pending one replaces
	order   []uint64          // the same sessions in the order of their arrival, and some that are no longer pending
}

func newUpdateQueue() updateQueue { return updateQueue{pending: map[uint64]uint64{}} }

// add queues a session whose entry replaces one of version replaced (0: none). A session that is already queued keeps its
// position and version.
func (q *updateQueue) add(session, replaced uint64) {
	if _, isPending := q.pending[session]; !isPending {
		q.pending[session] = replaced
		q.order = append(q.order, session)
	}
}

// replacedVersion returns the highest version among the entries that a session's pending entry replaces.
func (q *updateQueue) replacedVersion(session uint64) (replaced uint64, isPending bool) {
	replaced, isPending = q.pending[session]
	return replaced, isPending
}

// recordRejected records that a session's pending entry, if any, replaces a received one of the given version as well.
func (q *updateQueue) recordRejected(session, version uint64) {
	if replaced, isPending := q.pending[session]; isPending {
		q.pending[session] = max(replaced, version)
	}
}

func (q *updateQueue) remove(session uint64) { delete(q.pending, session) }

// drain removes up to limit pending sessions from the queue and returns them, the oldest first.
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
