package quorum

// RequestRead starts a linearizable read: it requests a confirmation that this
// node still leads. The read may be served once ConfirmedReadRound reaches the
// returned round. It returns false if the node is not the leader or has not yet
// committed an entry of its term.
func (n *Node) RequestRead() (readRound uint64, ok bool) {
	if n.role != Leader || n.log.termAt(n.log.commit) != n.hardState.Term {
		return 0, false
	}
	n.readPending = true
	return n.readRound + 1, true
}

// ConfirmedReadRound returns the latest read round that a quorum has acknowledged
// in this term. The state applied when that round was sent was current then.
func (n *Node) ConfirmedReadRound() uint64 {
	if n.role != Leader {
		return 0
	}
	return n.log.voters.reached(func(id string) uint64 {
		if id == n.cfg.ID {
			return n.readRound
		}
		return n.progress[id].readRound
	})
}
