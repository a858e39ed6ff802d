package quorum

import "slices"

// RequestRead asks for proof that this node still leads. It returns the round whose
// confirmation is the proof, and false when the node does not lead or has not
// yet committed an entry of its term.
func (n *Node) RequestRead() (round uint64, ok bool) {
	if n.role != Leader || n.log.termAt(n.log.commit) != n.hard.Term {
		return 0, false
	}
	n.asked = true
	return n.round + 1, true
}

// ConfirmedReadRound returns the latest round that a quorum has acknowledged in this
// term. What was applied when it was sent was the newest then.
func (n *Node) ConfirmedReadRound() uint64 {
	if n.role != Leader {
		return 0
	}
	var rounds []uint64
	for _, id := range n.log.peers {
		if id == n.cfg.ID {
			rounds = append(rounds, n.round)
			continue
		}
		rounds = append(rounds, n.progress[id].round)
	}
	slices.Sort(rounds)
	return rounds[len(rounds)-n.quorum()]
}
