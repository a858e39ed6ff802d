package quorum

// Kind is the type of a message between replicas.
type Kind uint8

// The kinds of messages.
const (
	KindPreVote Kind = iota + 1
	KindPreVoteReply
	KindVote
	KindVoteReply
	KindAppend
	KindAppendReply
	KindSnapshot
	KindStatus
	KindStatusReply
	KindTransfer
)

// Message is a message between two replicas. Kind determines which fields are
// set.
type Message struct {
	Kind Kind   `cbor:"1,keyasint"`
	From string `cbor:"2,keyasint"`
	To   string `cbor:"3,keyasint"`
	Term uint64 `cbor:"4,keyasint"`
	// Index and LogTerm identify the entry before Entries in an append and the
	// last entry of the candidate's log in a vote request. In a reply, Index is
	// the matching or last index.
	Index    uint64    `cbor:"5,keyasint,omitempty"`
	LogTerm  uint64    `cbor:"6,keyasint,omitempty"`
	Entries  []Entry   `cbor:"7,keyasint,omitempty"`
	Commit   uint64    `cbor:"8,keyasint,omitempty"`
	Reject   bool      `cbor:"9,keyasint,omitempty"`
	Learner  bool      `cbor:"10,keyasint,omitempty"`
	Snapshot *Snapshot `cbor:"11,keyasint,omitempty"`
	// SentTick is the leader's tick at which an append was sent, echoed in the
	// reply.
	SentTick uint64 `cbor:"12,keyasint,omitempty"`
	// ReadRound is the leader's latest read round, echoed in the reply.
	ReadRound uint64 `cbor:"13,keyasint,omitempty"`
	// RejectedIndex is the Index of a rejected append.
	RejectedIndex uint64 `cbor:"14,keyasint,omitempty"`
	// LeaveID is the number of the sender's request to leave the voters in a reply
	// to an append, and the number of the request that the leader grants in an append.
	LeaveID uint64 `cbor:"15,keyasint,omitempty"`
	// Transfer is set in a vote request if the leader has asked the sender to campaign.
	Transfer bool `cbor:"16,keyasint,omitempty"`
}

// Step handles a message from another replica.
func (n *Node) Step(m Message) {
	switch m.Kind {
	case KindStatus:
		n.send(m.From, Message{
			Kind: KindStatusReply, Term: n.hardState.Term, Index: n.log.last(), Learner: n.recovery.active})
		return
	case KindStatusReply:
		n.recovery.recordStatus(m)
		return
	case KindPreVote:
		n.handlePreVote(m)
		return
	case KindPreVoteReply:
		// The sender may have a lower term and still grant a vote for the next one.
		n.handleVoteReply(m, PreCandidate)
		return
	}
	if m.Term > n.hardState.Term {
		transfer := m.Transfer && n.cfg.DynamicMembership
		if m.Kind == KindVote && !transfer && n.inLeaderLease() {
			return
		}
		n.become(Follower, m.Term, "")
	}
	if m.Term < n.hardState.Term {
		n.rejectStale(m)
		return
	}
	switch m.Kind {
	case KindVote:
		n.handleVote(m)
	case KindVoteReply:
		n.handleVoteReply(m, Candidate)
	case KindAppend:
		n.handleAppend(m)
	case KindSnapshot:
		n.handleSnapshot(m)
	case KindAppendReply:
		n.handleAppendReply(m)
	case KindTransfer:
		n.handleTransfer(m)
	}
}

// rejectStale informs a former leader of the current term.
func (n *Node) rejectStale(m Message) {
	if m.Kind == KindAppend || m.Kind == KindSnapshot {
		n.send(m.From, Message{Kind: KindAppendReply, Term: n.hardState.Term, Reject: true, Index: n.log.last()})
	}
}

// inLeaderLease reports whether the node is the leader, or has heard from the
// leader so recently that it must not vote for another candidate. The leader
// lease depends on this.
func (n *Node) inLeaderLease() bool {
	if n.role == Leader {
		return true
	}
	// A node that has just restarted may have acknowledged a leader shortly
	// before. Dynamic membership has no lease to protect: it confirms reads by
	// rounds.
	if !n.cfg.DynamicMembership && n.restarted && n.now < uint64(n.cfg.ElectionTicks) {
		return true
	}
	return n.leader != "" && n.now-n.lastContact < uint64(n.cfg.ElectionTicks)
}

func (n *Node) upToDate(m Message) bool {
	last := n.log.last()
	term := n.log.termAt(last)
	return m.LogTerm > term || m.LogTerm == term && m.Index >= last
}

func (n *Node) handlePreVote(m Message) {
	grant := m.Term > n.hardState.Term && !n.inLeaderLease() && n.upToDate(m) && !n.recovery.active
	if grant {
		n.send(m.From, Message{Kind: KindPreVoteReply, Term: n.hardState.Term, Index: m.Term})
		return
	}
	if m.Term <= n.hardState.Term {
		// Inform a candidate with an old term of the current one.
		n.send(m.From, Message{Kind: KindVoteReply, Term: n.hardState.Term, Reject: true})
	}
}

func (n *Node) handleVote(m Message) {
	canGrant := n.hardState.Vote == "" || n.hardState.Vote == m.From
	grant := canGrant && n.leader == "" && n.upToDate(m) && !n.recovery.active
	if grant {
		n.hardState.Vote = m.From
		n.resetTimeout()
	}
	n.send(m.From, Message{Kind: KindVoteReply, Term: n.hardState.Term, Reject: !grant})
}

func (n *Node) handleVoteReply(m Message, role Role) {
	if n.role != role || m.Reject || !n.IsVoter(m.From) {
		return
	}
	if role == PreCandidate && m.Index != n.hardState.Term+1 {
		return
	}
	n.votes[m.From] = true
	n.countVotes()
}

func (n *Node) followLeader(m Message) {
	if n.role != Follower || n.leader != m.From {
		n.become(Follower, m.Term, m.From)
	}
	n.lastContact = n.now
	n.recovery.leaderTerm = m.Term
	n.recordGrant(m)
}

func (n *Node) handleAppend(m Message) {
	n.followLeader(m)
	reply := Message{Kind: KindAppendReply, Term: n.hardState.Term, SentTick: m.SentTick, ReadRound: m.ReadRound}
	matches := m.Index <= n.log.commit || n.log.termAt(m.Index) == m.LogTerm && m.Index <= n.log.last()
	if !matches {
		reply.Reject = true
		reply.RejectedIndex = m.Index
		reply.Index = min(n.log.last(), m.Index-1)
		n.replyAppend(m.From, reply)
		return
	}
	n.log.merge(m.Entries)
	lastNew := m.Index + uint64(len(m.Entries))
	if m.Commit > n.log.commit {
		n.log.commit = max(n.log.commit, min(m.Commit, lastNew))
	}
	reply.Index = max(lastNew, n.log.commit)
	n.replyAppend(m.From, reply)
}

func (n *Node) handleSnapshot(m Message) {
	n.followLeader(m)
	if m.Snapshot.Index > n.log.commit {
		n.log.restore(*m.Snapshot)
		n.pendingSnapshot = m.Snapshot
	}
	n.replyAppend(m.From, Message{Kind: KindAppendReply, Term: n.hardState.Term, Index: n.log.commit, SentTick: m.SentTick})
}

func (n *Node) replyAppend(to string, reply Message) {
	n.maybeEndRecovery()
	reply.Learner = n.recovery.active
	reply.LeaveID = n.leaveID
	n.send(to, reply)
}
