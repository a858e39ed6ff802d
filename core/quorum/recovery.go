package quorum

// recovery is the state of a replica that may have lost its disk.
type recovery struct {
	active     bool
	statuses   map[string]Message
	leaderTerm uint64 // term of the leader of the latest append or snapshot
}

func (r *recovery) recordStatus(m Message) {
	if !r.active {
		return
	}
	if r.statuses == nil {
		r.statuses = map[string]Message{}
	}
	r.statuses[m.From] = m
}

func (n *Node) tickRecovery() {
	n.maybeEndRecovery()
	if !n.recovery.active || n.now-n.lastHeartbeat < uint64(n.cfg.HeartbeatTicks) {
		return
	}
	n.lastHeartbeat = n.now
	for _, id := range n.cfg.InitialVoters {
		n.send(id, Message{Kind: KindStatus, Term: n.hardState.Term})
	}
}

// maybeEndRecovery ends the recovery once every peer has reported its status and
// no entry that this replica may have acknowledged can be missing: its log reaches
// the longest reported log, under a leader of at least the highest reported term.
func (n *Node) maybeEndRecovery() {
	if !n.recovery.active || len(n.recovery.statuses) < len(n.cfg.InitialVoters)-1 {
		return
	}
	var term, index uint64
	for _, m := range n.recovery.statuses {
		term = max(term, m.Term)
		index = max(index, m.Index)
	}
	if index > 0 && (n.recovery.leaderTerm < term || n.log.last() < index) {
		return
	}
	n.recovery = recovery{}
	n.hardState.CanVote = true
	if term > n.hardState.Term {
		n.hardState.Term, n.hardState.Vote = term, ""
	}
	n.resetTimeout()
}
