package quorum

// A replica that is about to stop asks the leader to remove it from the voters, so
// that the set does not count a replica that may never come back. Its replies to
// appends carry the request, and the leader's appends carry the grant. The number
// of the request names one stop of one process: a late message of an earlier stop
// neither requests nor grants anything.

// RequestLeave starts to ask the leader to remove this replica from the voters.
// request must not be 0 and should be random. A leader first hands over to another
// voter. The replica takes part as before until the caller stops it.
func (n *Node) RequestLeave(request uint64) { n.leaveID = request }

// Leaving reports whether RequestLeave was called.
func (n *Node) Leaving() bool { return n.leaveID != 0 }

// LeaveGranted reports whether this replica may stop: the set without it is
// committed, or the set cannot shrink and no learner is at hand to replace it.
func (n *Node) LeaveGranted() bool {
	if n.role == Leader {
		return n.mayLeave(n.cfg.ID) && n.transferTarget() == ""
	}
	return n.leaveGranted
}

// mayLeave reports on the leader whether a replica may stop.
func (n *Node) mayLeave(id string) bool {
	if !n.cfg.DynamicMembership {
		return true
	}
	if n.log.termAt(n.log.commit) != n.hardState.Term || n.log.lastMembershipChange() > n.log.commit || n.log.voters.replacing() {
		return false
	}
	if !n.IsVoter(id) {
		return true
	}
	knowsLearners := n.now-n.electedAt >= uint64(learnerSearchFactor*n.cfg.ElectionTicks)
	return len(n.log.voters.current) <= n.membershipLimits().MinVoters && knowsLearners && !n.hasSuccessor()
}

// learnerSearchFactor times ElectionTicks is the time after which a new leader knows the
// learners: each of them asks to join once in an election timeout.
const learnerSearchFactor = 2

// hasSuccessor reports whether a learner responds that may replace a voter.
func (n *Node) hasSuccessor() bool {
	for id, p := range n.progress {
		if !n.IsVoter(id) && p.leaveID == 0 && n.isResponsive(p) {
			return true
		}
	}
	return false
}

// recordGrant records whether an append grants this replica's request.
func (n *Node) recordGrant(m Message) {
	if n.leaveID != 0 && m.LeaveID == n.leaveID {
		n.leaveGranted = true
	}
}

// recordLeave records whether a replica wants to leave, from a reply that is not
// older than the latest one.
func (p *progress) recordLeave(reply Message) {
	if reply.SentTick >= p.ackedAt {
		p.leaveID = reply.LeaveID
	}
}

// transferTarget returns a voter that can take over at once: it responds, stays, and
// holds the whole log. It returns "" if there is none.
func (n *Node) transferTarget() string {
	for _, id := range n.log.voters.current {
		p := n.progress[id]
		if id != n.cfg.ID && p.leaveID == 0 && n.isResponsive(p) && p.match == n.log.last() {
			return id
		}
	}
	return ""
}

// transferLeadership lets another voter campaign at once if this leader is about to
// stop. It is repeated each election timeout until another leader is elected.
func (n *Node) transferLeadership() {
	if n.leaveID == 0 || !n.cfg.DynamicMembership || n.now-n.transferredAt < uint64(n.cfg.ElectionTicks) {
		return
	}
	if target := n.transferTarget(); target != "" {
		n.transferredAt = n.now
		n.send(target, Message{Kind: KindTransfer, Term: n.hardState.Term})
	}
}

// handleTransfer campaigns at the request of the leader of the current term. The
// votes are granted although the others still hear from that leader.
func (n *Node) handleTransfer(m Message) {
	if n.role == Follower && n.leader == m.From && n.IsVoter(n.cfg.ID) && n.leaveID == 0 {
		n.campaign(Candidate, true)
	}
}
