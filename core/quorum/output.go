package quorum

import "slices"

// Output is what the caller has to carry out, in the order of the fields.
type Output struct {
	HardState *HardState // to make durable, if set
	Snapshot  *Snapshot  // to make durable and to apply, if set
	Append    []Entry    // to make durable, replacing any entry at or after the first
	Messages  []Message
	Committed []Entry // to apply
}

// TakeOutput returns the work that has come up since the last call.
func (n *Node) TakeOutput() Output {
	var out Output
	if n.asked {
		n.asked = false
		n.round++
		n.broadcast()
	}
	if n.hard != n.savedHard {
		hard := n.hard
		out.HardState = &hard
		n.savedHard = n.hard
	}
	if n.install != nil {
		out.Snapshot = n.install
		n.committed = n.install.Index
		n.install = nil
	}
	out.Append = n.log.takeUnsaved()
	out.Messages, n.messages = n.messages, nil
	if n.log.commit > n.committed {
		out.Committed = slices.Clone(n.log.slice(n.committed+1, n.log.commit))
		n.committed = n.log.commit
	}
	return out
}
