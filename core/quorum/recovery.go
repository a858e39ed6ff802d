package quorum

// recovery is the state of a replica that may have lost its disk.
type recovery struct {
	active     bool
	replies    map[string]Message
	leaderTerm uint64 // term of the leader heard last
}

func (r *recovery) heard(m Message) {
	if !r.active {
		return
	}
	if r.replies == nil {
		r.replies = map[string]Message{}
	}
	r.replies[m.From] = m
}

func (n *Node) tickRecovery() {
	n.maybeAdmit()
	if !n.recovery.active || n.now-n.beatAt < uint64(n.cfg.HeartbeatTicks) {
		return
	}
	n.beatAt = n.now
	for _, id := range n.cfg.InitialVoters {
		n.send(id, Message{Kind: KindStatus, Term: n.hard.Term})
	}
}

// maybeAdmit ends the recovery once every peer has reported and nothing that
// this replica may once have promised can be missing: the log reaches the
// longest reported log, under a leader of at least the highest reported term.
func (n *Node) maybeAdmit() {
	if !n.recovery.active || len(n.recovery.replies) < len(n.cfg.InitialVoters)-1 {
		return
	}
	var term, index uint64
	for _, m := range n.recovery.replies {
		term = max(term, m.Term)
		index = max(index, m.Index)
	}
	if index > 0 && (n.recovery.leaderTerm < term || n.log.last() < index) {
		return
	}
	n.recovery = recovery{}
	n.hard.CanVote = true
	if term > n.hard.Term {
		n.hard.Term, n.hard.Vote = term, ""
	}
	n.resetTimeout()
}
