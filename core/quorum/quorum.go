// Package quorum agrees on one replicated log among a few control replicas.
//
// A Node is a deterministic state machine in the manner of Raft: terms, leader
// election with a pre-vote, log matching, commitment by a quorum, snapshots for
// replicas that fell behind, and a leader lease. It has no clock, no socket and
// no disk. Callers feed it ticks, messages and proposals, and carry out what
// Take returns.
//
// # Usage
//
//	n := quorum.New(quorum.Config{ID: "a", Peers: []string{"a", "b", "c"}}, quorum.Saved{})
//	n.Tick(1)
//	out := n.Take()
//	// 1. make out.Hard, out.Snapshot and out.Append durable
//	// 2. send out.Messages
//	// 3. apply out.Committed
//
// The order matters: a message may promise what must already be durable.
//
// The set of voting replicas is either fixed or agreed (Config.Agreed).
//
// With a fixed set, a replica without saved state may have lost its disk. It
// must not vote as if it remembered, so it starts recovering: it neither votes
// nor counts for a commit until it has heard from every peer and has caught up
// with the longest log that any of them reported.
//
// With an agreed set, the set itself is part of the log (Entry.Peers) and
// changes by one replica at a time. A replica that has lost its disk comes back
// under a new identifier, so it is a newcomer that has promised nothing: it
// learns the log first (Admit) and votes once the leader has added it.
//
// A leader proves that what it has applied is the newest by a round of
// acknowledgements that starts after the question (Read, Confirmed). Unlike a
// lease, this needs no clock.
package quorum

import (
	"maps"
	"slices"
)

// Entry is one record of the log.
type Entry struct {
	Index uint64 `cbor:"1,keyasint"`
	Term  uint64 `cbor:"2,keyasint"`
	Data  []byte `cbor:"3,keyasint,omitempty"`
	// Voters, if set, replaces the agreed set of voters from this entry on, also
	// before it is committed.
	Voters []string `cbor:"4,keyasint,omitempty"`
}

// HardState is the part of a node's state that must survive a restart besides the
// log.
type HardState struct {
	Term uint64 `cbor:"1,keyasint"`
	Vote string `cbor:"2,keyasint,omitempty"`
	// CanVote is set once the replica may vote.
	CanVote bool `cbor:"3,keyasint,omitempty"`
}

// Snapshot replaces the log up to Index.
type Snapshot struct {
	Index uint64 `cbor:"1,keyasint"`
	Term  uint64 `cbor:"2,keyasint"`
	Data  []byte `cbor:"3,keyasint"`
	// Voters is the agreed set of voters as of Index.
	Voters []string `cbor:"4,keyasint,omitempty"`
}

// PersistentState is what a node reads back from disk when it starts.
type PersistentState struct {
	HardState HardState
	Snapshot  Snapshot
	Entries   []Entry
}

// Config fixes a node's identity and timing. Zero tick counts take defaults.
type Config struct {
	ID string
	// InitialVoters is the fixed set of voters, or the founders of an agreed set: the
	// same list, in any order, at every start of a founder, and nothing at a
	// replica that joined later.
	InitialVoters []string
	// DynamicMembership makes the set of voters part of the log.
	DynamicMembership bool
	// MembershipLimits bounds the agreed set.
	MembershipLimits MembershipLimits
	// ElectionTicks is the least silence before an election; the actual
	// timeout lies between one and two times this value.
	ElectionTicks int
	// HeartbeatTicks is the interval between a leader's heartbeats.
	HeartbeatTicks int
	// Rand returns a number in [0, n). Nil always returns 0.
	Rand func(n int) int
}

const (
	defaultElectionTicks  = 10
	defaultHeartbeatTicks = 2
	maxEntriesPerMessage  = 256
	// maxBytesPerMessage keeps an append below a quarter of a second of the
	// slowest link that replicas are expected to have, 8 Mbit/s. One entry is
	// always sent.
	maxBytesPerMessage = 256 << 10
	// maxBytesInFlight bounds what a replica has been sent and not acknowledged,
	// so that one that is slow does not queue what it will not need.
	maxBytesInFlight = 1 << 20
)

// Role is a node's part in the current term.
type Role uint8

// The roles of a node.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// Node is one replica's state machine. It belongs to one goroutine.
type Node struct {
	cfg       Config
	hard      HardState
	savedHard HardState
	log       raftLog
	role      Role
	leader    string
	votes     map[string]bool
	progress  map[string]*progress // of voters and of learners
	round     uint64               // latest read round that was sent
	asked     bool                 // a read waits for the next round
	now       uint64               // ticks since start
	heardAt   uint64               // tick of the leader's latest message
	beatAt    uint64               // tick of this leader's latest heartbeat
	timeout   uint64
	restarted bool // the node continues from saved state
	recovery  recovery
	messages  []Message
	install   *Snapshot
	committed uint64 // highest index handed out as committed
}

// New returns a node that continues from what was saved.
func New(cfg Config, saved PersistentState) *Node {
	if cfg.ElectionTicks == 0 {
		cfg.ElectionTicks = defaultElectionTicks
	}
	if cfg.HeartbeatTicks == 0 {
		cfg.HeartbeatTicks = defaultHeartbeatTicks
	}
	if cfg.Rand == nil {
		cfg.Rand = func(int) int { return 0 }
	}
	n := &Node{cfg: cfg, hard: saved.HardState, savedHard: saved.HardState, log: newLog(saved, cfg)}
	n.committed = n.log.commit
	n.restarted = saved.HardState.Term > 0
	n.recovery.active = !cfg.DynamicMembership && !saved.HardState.CanVote && len(cfg.InitialVoters) > 1
	n.resetTimeout()
	n.hurry()
	return n
}

// Role returns the node's role.
func (n *Node) Role() Role { return n.role }

// Leader returns the known leader of the current term, or "".
func (n *Node) Leader() string { return n.leader }

// Term returns the current term.
func (n *Node) Term() uint64 { return n.hard.Term }

// Commit returns the highest committed index.
func (n *Node) Commit() uint64 { return n.log.commit }

// Voters returns the voters in force. The caller must not change the slice.
func (n *Node) Voters() []string { return n.log.peers }

// LastIndex returns the index of the last entry, committed or not.
func (n *Node) LastIndex() uint64 { return n.log.last() }

// Applied returns the highest index that Take has handed out as committed.
func (n *Node) Applied() uint64 { return n.committed }

// IsVoter reports whether a replica is in the set of voters.
func (n *Node) IsVoter(id string) bool { return slices.Contains(n.log.peers, id) }

// HasActiveLeader reports whether the node leads with the support of a quorum, or
// has heard from a leader less than an election timeout ago.
func (n *Node) HasActiveLeader() bool {
	if n.role == Leader {
		return n.HasLease()
	}
	return n.leader != "" && n.now-n.heardAt < uint64(n.cfg.ElectionTicks)
}

// Recovering reports whether the node may not vote yet.
func (n *Node) Recovering() bool { return n.recovery.active }

// HasLease reports whether the node is the leader, has committed an entry of
// its own term, and no other leader can have been elected since: a quorum
// acknowledged a message that it sent less than an election timeout ago.
func (n *Node) HasLease() bool {
	if n.role != Leader || n.log.termAt(n.log.commit) != n.hard.Term {
		return false
	}
	recent := 0
	window := uint64(n.cfg.ElectionTicks) * 3 / 4
	for _, id := range n.log.peers {
		if id == n.cfg.ID || n.now-n.progress[id].ackedAt < window && !n.progress[id].learner {
			recent++
		}
	}
	return recent >= n.quorum()
}

// Tick advances the node's clock by the number of tick intervals that have
// passed, which is more than one after a pause of the process. It must be called
// before anything else once time has passed: the lease depends on it.
func (n *Node) Tick(passed uint64) {
	if passed == 0 {
		return
	}
	n.now += passed
	if n.recovery.active {
		n.tickRecovery()
	}
	if n.role == Leader {
		n.tickLeader()
		return
	}
	if n.now-n.heardAt >= n.timeout && !n.recovery.active && n.IsVoter(n.cfg.ID) {
		n.campaign(PreCandidate)
	}
}

func (n *Node) tickLeader() {
	if n.now-n.beatAt >= uint64(n.cfg.HeartbeatTicks) {
		n.beatAt = n.now
		n.broadcast()
		n.reshape()
	}
	if n.now-n.heardAt < uint64(2*n.cfg.ElectionTicks) {
		return
	}
	// A leader that no quorum answers steps down, so that its callers learn
	// that nothing is accepted here.
	n.heardAt = n.now
	recent := 0
	for _, id := range n.log.peers {
		if id == n.cfg.ID || n.now-n.progress[id].ackedAt < uint64(2*n.cfg.ElectionTicks) {
			recent++
		}
	}
	if recent < n.quorum() {
		n.become(Follower, n.hard.Term, "")
	}
}

// Propose appends data to the log and returns its index and term. It returns
// false when the node is not the leader.
func (n *Node) Propose(data []byte) (index, term uint64, ok bool) {
	if n.role != Leader {
		return 0, 0, false
	}
	e := n.extend(Entry{Data: data})
	return e.Index, e.Term, true
}

// extend appends an entry of the leader's own term and sends it out.
func (n *Node) extend(e Entry) Entry {
	e.Index, e.Term = n.log.last()+1, n.hard.Term
	n.log.append(e)
	n.track(n.log.peers)
	n.progress[n.cfg.ID].match = e.Index
	n.advanceCommit()
	n.broadcast()
	return e
}

// track starts to follow the progress of replicas that are not yet known.
func (n *Node) track(ids []string) {
	for _, id := range ids {
		if n.progress[id] == nil {
			n.progress[id] = &progress{probing: true, next: n.log.last() + 1, ackedAt: n.now, joinedAt: n.now}
		}
	}
}

// Compact drops the log up to an applied index, for which data is the
// snapshot. It returns the snapshot to make durable.
func (n *Node) Compact(index uint64, data []byte) Snapshot {
	snap := Snapshot{Index: index, Term: n.log.termAt(index), Data: data, Voters: n.log.peersAt(index)}
	n.log.compact(snap)
	return snap
}

// Tail returns the entries after the latest snapshot.
func (n *Node) Tail() []Entry { return n.log.entries }

// TailBytes returns the size of their data.
func (n *Node) TailBytes() int { return bytesOf(n.log.entries) }

// HardState returns the state to store with a snapshot.
func (n *Node) HardState() HardState { return n.hard }

func (n *Node) quorum() int { return len(n.log.peers)/2 + 1 }

func (n *Node) resetTimeout() {
	n.heardAt = n.now
	n.timeout = uint64(n.cfg.ElectionTicks + n.cfg.Rand(n.cfg.ElectionTicks))
}

// hurry shortens the wait for the next campaign where no lease rests on it: the
// node has just started, or campaigns already and may have met another
// candidate, or a link that was not yet open. The followers of a leader that
// lives refuse the pre-vote.
func (n *Node) hurry() {
	if n.cfg.DynamicMembership {
		n.timeout = uint64(n.cfg.HeartbeatTicks + n.cfg.Rand(n.cfg.ElectionTicks))
	}
}

func (n *Node) become(role Role, term uint64, leader string) {
	if term > n.hard.Term {
		n.hard.Term, n.hard.Vote = term, ""
	}
	n.role, n.leader = role, leader
	n.votes = nil
	n.resetTimeout()
}

func (n *Node) campaign(role Role) {
	n.become(role, n.hard.Term, "")
	n.hurry()
	n.votes = map[string]bool{n.cfg.ID: true}
	m := Message{Kind: KindPreVote, Term: n.hard.Term + 1}
	if role == Candidate {
		n.hard.Term++
		n.hard.Vote = n.cfg.ID
		m = Message{Kind: KindVote, Term: n.hard.Term}
	}
	m.Index, m.LogTerm = n.log.last(), n.log.termAt(n.log.last())
	for _, id := range n.log.peers {
		n.send(id, m)
	}
	n.countVotes()
}

func (n *Node) countVotes() {
	granted := 0
	for _, id := range n.log.peers {
		if n.votes[id] {
			granted++
		}
	}
	if granted < n.quorum() {
		return
	}
	if n.role == PreCandidate {
		n.campaign(Candidate)
		return
	}
	n.lead()
}

func (n *Node) lead() {
	n.become(Leader, n.hard.Term, n.cfg.ID)
	n.progress = map[string]*progress{}
	n.track(n.log.peers)
	n.round, n.asked = 0, false
	// An entry of the new term commits everything before it.
	n.Propose(nil)
}

func (n *Node) broadcast() {
	for _, id := range slices.Sorted(maps.Keys(n.progress)) {
		if id != n.cfg.ID {
			n.sendAppend(id)
		}
	}
}

func (n *Node) advanceCommit() {
	var matches []uint64
	for _, id := range n.log.peers {
		match := n.progress[id].match
		if n.progress[id].learner {
			match = 0
		}
		matches = append(matches, match)
	}
	slices.Sort(matches)
	index := matches[len(matches)-n.quorum()]
	if index > n.log.commit && n.log.termAt(index) == n.hard.Term {
		n.log.commit = index
	}
}

func (n *Node) send(to string, m Message) {
	if to == n.cfg.ID {
		return
	}
	m.From, m.To = n.cfg.ID, to
	n.messages = append(n.messages, m)
}
