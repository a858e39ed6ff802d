package quorum

import "slices"

// Output is the work that the caller has to carry out, in the order of the fields.
type Output struct {
	HardState *HardState // to make durable, if set
	Snapshot  *Snapshot  // to make durable and to apply, if set
	Append    []Entry    // to make durable, replacing any entry at or after the first
	Messages  []Message
	Committed []Entry // to apply
}

// TakeOutput returns the work accumulated since the last call.
func (n *Node) TakeOutput() Output {
	var out Output
	if n.readPending {
		n.readPending = false
		n.readRound++
		n.broadcastAppend()
	}
	if n.hardState != n.savedHardState {
		hardState := n.hardState
		out.HardState = &hardState
		n.savedHardState = n.hardState
	}
	if n.pendingSnapshot != nil {
		out.Snapshot = n.pendingSnapshot
		n.applied = n.pendingSnapshot.Index
		n.pendingSnapshot = nil
	}
	out.Append = n.log.takeUnsaved()
	out.Messages, n.messages = n.messages, nil
	if n.log.commit > n.applied {
		out.Committed = slices.Clone(n.log.slice(n.applied+1, n.log.commit))
		n.applied = n.log.commit
	}
	return out
}
