package quorum

// Kind tells the messages between replicas apart.
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
)

// Message is one message between two replicas. Which fields are set depends on
// Kind.
type Message struct {
	Kind Kind   `cbor:"1,keyasint"`
	From string `cbor:"2,keyasint"`
	To   string `cbor:"3,keyasint"`
	Term uint64 `cbor:"4,keyasint"`
	// Index and LogTerm name the entry before Entries in an append, the last
	// entry in a vote request, and the matching or last index in a reply.
	Index    uint64    `cbor:"5,keyasint,omitempty"`
	LogTerm  uint64    `cbor:"6,keyasint,omitempty"`
	Entries  []Entry   `cbor:"7,keyasint,omitempty"`
	Commit   uint64    `cbor:"8,keyasint,omitempty"`
	Reject   bool      `cbor:"9,keyasint,omitempty"`
	Learner  bool      `cbor:"10,keyasint,omitempty"`
	Snapshot *Snapshot `cbor:"11,keyasint,omitempty"`
	// Sent is the leader's tick of an append, echoed in the reply.
	Sent uint64 `cbor:"12,keyasint,omitempty"`
	// Round is the leader's latest read round, echoed in the reply.
	Round uint64 `cbor:"13,keyasint,omitempty"`
	// Before is the index that a refused append rested on.
	Before uint64 `cbor:"14,keyasint,omitempty"`
}

// Step handles a message from another replica.
func (n *Node) Step(m Message) {
	switch m.Kind {
	case KindStatus:
		n.send(m.From, Message{
			Kind: KindStatusReply, Term: n.hard.Term, Index: n.log.last(), Learner: n.recovery.active})
		return
	case KindStatusReply:
		n.recovery.heard(m)
		return
	case KindPreVote:
		n.onPreVote(m)
		return
	case KindPreVoteReply:
		// A voter of a lower term may still support the next one.
		n.onVoteReply(m, PreCandidate)
		return
	}
	if m.Term > n.hard.Term {
		if m.Kind == KindVote && n.leaderIsAlive() {
			return
		}
		n.become(Follower, m.Term, "")
	}
	if m.Term < n.hard.Term {
		n.rejectStale(m)
		return
	}
	switch m.Kind {
	case KindVote:
		n.onVote(m)
	case KindVoteReply:
		n.onVoteReply(m, Candidate)
	case KindAppend:
		n.onAppend(m)
	case KindSnapshot:
		n.onSnapshot(m)
	case KindAppendReply:
		n.onAppendReply(m)
	}
}

// rejectStale tells a former leader about the current term.
func (n *Node) rejectStale(m Message) {
	if m.Kind == KindAppend || m.Kind == KindSnapshot {
		n.send(m.From, Message{Kind: KindAppendReply, Term: n.hard.Term, Reject: true, Index: n.log.last()})
	}
}

// leaderIsAlive reports whether the node itself leads, or heard from the leader
// so recently that it must not help to elect another. The leader lease rests on
// this refusal.
func (n *Node) leaderIsAlive() bool {
	if n.role == Leader {
		return true
	}
	// A node that has just started may have heard from a leader before. Where
	// reads are proved by rounds nothing rests on that.
	if !n.cfg.DynamicMembership && n.restarted && n.now < uint64(n.cfg.ElectionTicks) {
		return true
	}
	return n.leader != "" && n.now-n.heardAt < uint64(n.cfg.ElectionTicks)
}

func (n *Node) upToDate(m Message) bool {
	last := n.log.last()
	term := n.log.termAt(last)
	return m.LogTerm > term || m.LogTerm == term && m.Index >= last
}

func (n *Node) onPreVote(m Message) {
	grant := m.Term > n.hard.Term && !n.leaderIsAlive() && n.upToDate(m) && !n.recovery.active
	if grant {
		n.send(m.From, Message{Kind: KindPreVoteReply, Term: n.hard.Term, Index: m.Term})
		return
	}
	if m.Term <= n.hard.Term {
		// A candidate of an old term learns the current one.
		n.send(m.From, Message{Kind: KindVoteReply, Term: n.hard.Term, Reject: true})
	}
}

func (n *Node) onVote(m Message) {
	free := n.hard.Vote == "" || n.hard.Vote == m.From
	grant := free && n.leader == "" && n.upToDate(m) && !n.recovery.active
	if grant {
		n.hard.Vote = m.From
		n.resetTimeout()
	}
	n.send(m.From, Message{Kind: KindVoteReply, Term: n.hard.Term, Reject: !grant})
}

func (n *Node) onVoteReply(m Message, role Role) {
	if n.role != role || m.Reject || !n.IsVoter(m.From) {
		return
	}
	if role == PreCandidate && m.Index != n.hard.Term+1 {
		return
	}
	n.votes[m.From] = true
	n.countVotes()
}

func (n *Node) follow(m Message) {
	if n.role != Follower || n.leader != m.From {
		n.become(Follower, m.Term, m.From)
	}
	n.heardAt = n.now
	n.recovery.leaderTerm = m.Term
}

func (n *Node) onAppend(m Message) {
	n.follow(m)
	reply := Message{Kind: KindAppendReply, Term: n.hard.Term, Sent: m.Sent, Round: m.Round}
	matches := m.Index <= n.log.commit || n.log.termAt(m.Index) == m.LogTerm && m.Index <= n.log.last()
	if !matches {
		reply.Reject = true
		reply.Before = m.Index
		reply.Index = min(n.log.last(), m.Index-1)
		n.replyAppend(m.From, reply)
		return
	}
	n.log.merge(m.Entries)
	known := m.Index + uint64(len(m.Entries))
	if m.Commit > n.log.commit {
		n.log.commit = max(n.log.commit, min(m.Commit, known))
	}
	reply.Index = max(known, n.log.commit)
	n.replyAppend(m.From, reply)
}

func (n *Node) onSnapshot(m Message) {
	n.follow(m)
	if m.Snapshot.Index > n.log.commit {
		n.log.install(*m.Snapshot)
		n.install = m.Snapshot
	}
	n.replyAppend(m.From, Message{Kind: KindAppendReply, Term: n.hard.Term, Index: n.log.commit, Sent: m.Sent})
}

func (n *Node) replyAppend(to string, reply Message) {
	n.maybeAdmit()
	reply.Learner = n.recovery.active
	n.send(to, reply)
}
