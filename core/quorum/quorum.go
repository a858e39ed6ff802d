// Package quorum replicates one log among a few control replicas with Raft.
//
// A Node is a deterministic state machine: terms, leader election with a
// pre-vote, log matching, commitment by a quorum, snapshots for replicas that
// have fallen behind, and a leader lease. It has no clock, no socket and no
// disk. Callers feed it ticks, messages and proposals, and carry out what
// TakeOutput returns.
//
// # Usage
//
//	n := quorum.New(quorum.Config{ID: "a", InitialVoters: []string{"a", "b", "c"}}, quorum.PersistentState{})
//	n.Tick(1)
//	out := n.TakeOutput()
//	// 1. make out.HardState, out.Snapshot and out.Append durable
//	// 2. send out.Messages
//	// 3. apply out.Committed
//
// The order matters: a message may acknowledge state that must be durable before
// the message is sent.
//
// The set of voters is either fixed or part of the log
// (Config.DynamicMembership).
//
// With a fixed set, a replica without persistent state may have lost its disk,
// and with it the votes and acknowledgements that it has given. It starts in
// recovery: it neither votes nor counts towards a commit until every peer has
// reported its status and its own log has reached the longest log reported.
//
// With dynamic membership, log entries replace the set of voters (Entry.Voters): one
// replica is added, removed or replaced at a time. A replica that has lost its disk
// rejoins under a new identifier, under which it has given no vote or acknowledgement.
// It receives the log as a learner (AddLearner) and votes once the leader has added it.
// A replica that is about to stop leaves the set first (RequestLeave, LeaveGranted), so
// that the set does not count a vote that may never come again.
//
// A leader confirms that its applied state is current by a round of
// acknowledgements that starts after the read request (RequestRead,
// ConfirmedReadRound). Unlike a lease, this needs no clock.
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
	// Voters, if set, replaces the set of voters from this entry on, even before
	// the entry is committed.
	Voters []string `cbor:"4,keyasint,omitempty"`
	// Outgoing, if set, is the former set of voters, which decides together with
	// Voters until the next entry with Voters.
	Outgoing []string `cbor:"5,keyasint,omitempty"`
}

// HardState is the state that must survive a restart in addition to the log.
type HardState struct {
	Term uint64 `cbor:"1,keyasint"`
	Vote string `cbor:"2,keyasint,omitempty"`
	// CanVote is set once recovery has ended. Only a fixed set of voters uses it.
	CanVote bool `cbor:"3,keyasint,omitempty"`
}

// Snapshot replaces the log up to and including Index.
type Snapshot struct {
	Index uint64 `cbor:"1,keyasint"`
	Term  uint64 `cbor:"2,keyasint"`
	Data  []byte `cbor:"3,keyasint"`
	// Voters and Outgoing are the sets of voters as of Index.
	Voters   []string `cbor:"4,keyasint,omitempty"`
	Outgoing []string `cbor:"5,keyasint,omitempty"`
}

// PersistentState is the state that a node reads from disk when it starts.
type PersistentState struct {
	HardState HardState
	Snapshot  Snapshot
	Entries   []Entry
}

// Config holds a node's identity and timing. Zero tick counts take defaults.
type Config struct {
	ID string
	// InitialVoters is the fixed set of voters. With DynamicMembership it is the
	// set before the first change: an initial voter gets the same list, in any
	// order, at every start, and a replica that joined later gets none.
	InitialVoters []string
	// DynamicMembership makes the set of voters part of the log.
	DynamicMembership bool
	// MembershipLimits bounds the set of voters under DynamicMembership.
	MembershipLimits MembershipLimits
	// ElectionTicks is the minimum election timeout; the actual timeout lies
	// between one and two times this value.
	ElectionTicks int
	// HeartbeatTicks is the interval between a leader's heartbeats.
	HeartbeatTicks int
	// Rand returns a number in [0, n). If nil, 0 is used.
	Rand func(n int) int
}

const (
	defaultElectionTicks  = 10
	defaultHeartbeatTicks = 2
	maxEntriesPerMessage  = 256
	// maxBytesPerMessage keeps the transfer of one append below a quarter of a
	// second on the slowest link expected between replicas, 8 Mbit/s. A larger
	// entry is sent alone.
	maxBytesPerMessage = 256 << 10
	// maxBytesInFlight bounds the entries that a replica has been sent and has
	// not acknowledged, so that a slow replica does not queue entries that it
	// will not need.
	maxBytesInFlight = 1 << 20
)

// Role is a node's role in the current term.
type Role uint8

// The roles of a node.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// Node is one replica's state machine. It is not safe for concurrent use.
type Node struct {
	cfg            Config
	hardState      HardState
	savedHardState HardState
	log            raftLog
	role           Role
	leader         string
	votes          map[string]bool
	progress       map[string]*progress // by voter or learner; set by the leader
	readRound      uint64               // latest read round started
	readPending    bool                 // TakeOutput starts the next read round
	now            uint64               // ticks since start
	// lastContact is the tick of the leader's latest message, or of the latest reset
	// of the election timer. On the leader it is the tick of the latest check that
	// a quorum still responds.
	lastContact     uint64
	lastHeartbeat   uint64 // tick of the latest heartbeat, or status request in recovery
	electionTimeout uint64
	restarted       bool // the node continues from persistent state
	recovery        recovery
	messages        []Message
	pendingSnapshot *Snapshot
	applied         uint64 // highest index returned by TakeOutput as committed
	leaveID         uint64 // number of this replica's request to leave, or 0
	// leaveGranted is set once a leader has granted the request.
	leaveGranted  bool
	transferredAt uint64 // tick of the leader's latest transfer request
	electedAt     uint64 // tick at which this node became the leader
}

// New returns a node that continues from its persistent state.
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
	n := &Node{cfg: cfg, hardState: saved.HardState, savedHardState: saved.HardState, log: newLog(saved, cfg)}
	n.applied = n.log.commit
	n.restarted = saved.HardState.Term > 0
	n.recovery.active = !cfg.DynamicMembership && !saved.HardState.CanVote && len(cfg.InitialVoters) > 1
	n.resetTimeout()
	n.shortenTimeout()
	return n
}

// Role returns the node's role.
func (n *Node) Role() Role { return n.role }

// Leader returns the leader of the current term, or "" if it is unknown.
func (n *Node) Leader() string { return n.leader }

// Term returns the current term.
func (n *Node) Term() uint64 { return n.hardState.Term }

// Commit returns the highest committed index.
func (n *Node) Commit() uint64 { return n.log.commit }

// Voters returns the current voters, and those that are being replaced. The caller
// must not change the slice.
func (n *Node) Voters() []string { return n.log.voters.all() }

// LastIndex returns the index of the last entry, committed or not.
func (n *Node) LastIndex() uint64 { return n.log.last() }

// Applied returns the highest index returned by TakeOutput as committed.
func (n *Node) Applied() uint64 { return n.applied }

// IsVoter reports whether a replica is among Voters.
func (n *Node) IsVoter(id string) bool { return n.log.voters.contain(id) }

// HasActiveLeader reports whether the node holds the leader lease, or has heard
// from the leader less than an election timeout ago.
func (n *Node) HasActiveLeader() bool {
	if n.role == Leader {
		return n.HasLease()
	}
	return n.leader != "" && n.now-n.lastContact < uint64(n.cfg.ElectionTicks)
}

// Recovering reports whether the node is in recovery and may not vote yet.
func (n *Node) Recovering() bool { return n.recovery.active }

// HasLease reports whether the node is the leader, has committed an entry of
// its own term, and no other leader can have been elected since: a quorum has
// acknowledged messages sent less than three quarters of an election timeout ago.
func (n *Node) HasLease() bool {
	if n.role != Leader || n.log.termAt(n.log.commit) != n.hardState.Term {
		return false
	}
	window := uint64(n.cfg.ElectionTicks) * 3 / 4
	return n.log.voters.agree(func(id string) bool {
		return id == n.cfg.ID || n.now-n.progress[id].ackedAt < window && !n.progress[id].learner
	})
}

// Tick advances the node's clock by the number of tick intervals that have
// passed, which is more than one after a pause of the process. Once time has
// passed, it must be called before any other method: the lease depends on it.
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
	if n.now-n.lastContact >= n.electionTimeout && !n.recovery.active && n.mayCampaign() {
		n.campaign(PreCandidate, false)
	}
}

// mayCampaign reports whether the node is a voter, or was one before a change that it does
// not know to be committed. In the latter case it may be the only one left whose log has
// the change, and the others then reject each other's votes without it.
func (n *Node) mayCampaign() bool {
	if n.IsVoter(n.cfg.ID) {
		return true
	}
	change := n.log.lastMembershipChange()
	return change > n.log.commit && n.log.votersAt(change-1).contain(n.cfg.ID)
}

func (n *Node) tickLeader() {
	if n.now-n.lastHeartbeat >= uint64(n.cfg.HeartbeatTicks) {
		n.lastHeartbeat = n.now
		n.broadcastAppend()
		n.changeMembership()
		n.transferLeadership()
	}
	if n.now-n.lastContact < uint64(2*n.cfg.ElectionTicks) {
		return
	}
	// A leader that no quorum acknowledges steps down, so that its callers
	// learn that their proposals cannot be committed here.
	n.lastContact = n.now
	if !n.hearsQuorum(uint64(2 * n.cfg.ElectionTicks)) {
		n.become(Follower, n.hardState.Term, "")
	}
}

// hearsQuorum reports whether a quorum has acknowledged messages sent less than
// window ticks ago.
func (n *Node) hearsQuorum(window uint64) bool {
	return n.log.voters.agree(func(id string) bool { return id == n.cfg.ID || n.now-n.progress[id].ackedAt < window })
}

// Propose appends data to the log and returns its index and term. It returns
// false if the node is not the leader.
func (n *Node) Propose(data []byte) (index, term uint64, ok bool) {
	if n.role != Leader {
		return 0, 0, false
	}
	e := n.appendEntry(Entry{Data: data})
	return e.Index, e.Term, true
}

// appendEntry appends an entry of the current term and sends it to all peers.
func (n *Node) appendEntry(e Entry) Entry {
	e.Index, e.Term = n.log.last()+1, n.hardState.Term
	n.log.append(e)
	n.trackProgress(n.log.voters.all())
	n.progress[n.cfg.ID].match = e.Index
	n.advanceCommit()
	n.broadcastAppend()
	return e
}

// trackProgress adds progress records for replicas that have none.
func (n *Node) trackProgress(ids []string) {
	for _, id := range ids {
		if n.progress[id] == nil {
			n.progress[id] = &progress{probing: true, next: n.log.last() + 1, ackedAt: n.now, joinRequestedAt: n.now}
		}
	}
}

// Compact replaces the log up to an applied index by a snapshot that holds data.
// It returns the snapshot to make durable.
func (n *Node) Compact(index uint64, data []byte) Snapshot {
	voters := n.log.votersAt(index)
	snap := Snapshot{Index: index, Term: n.log.termAt(index), Data: data, Voters: voters.current, Outgoing: voters.outgoing}
	n.log.compact(snap)
	return snap
}

// Tail returns the entries after the latest snapshot.
func (n *Node) Tail() []Entry { return n.log.entries }

// TailBytes returns the total data size of the entries that Tail returns.
func (n *Node) TailBytes() int { return dataSize(n.log.entries) }

// HardState returns the state to store with a snapshot.
func (n *Node) HardState() HardState { return n.hardState }

func (n *Node) resetTimeout() {
	n.lastContact = n.now
	n.electionTimeout = uint64(n.cfg.ElectionTicks + n.cfg.Rand(n.cfg.ElectionTicks))
}

// shortenTimeout brings the next campaign forward if no lease depends on the
// election timeout, that is, under dynamic membership. It is called when the node
// has just started, or has just campaigned: another candidate or a link that was
// not yet open may have cost it the election. Followers of an active leader
// reject the pre-vote.
func (n *Node) shortenTimeout() {
	if n.cfg.DynamicMembership {
		n.electionTimeout = uint64(n.cfg.HeartbeatTicks + n.cfg.Rand(n.cfg.ElectionTicks))
	}
}

func (n *Node) become(role Role, term uint64, leader string) {
	if term > n.hardState.Term {
		n.hardState.Term, n.hardState.Vote = term, ""
	}
	n.role, n.leader = role, leader
	n.votes = nil
	n.resetTimeout()
}

// campaign requests votes. transfer reports that the leader has asked for it.
func (n *Node) campaign(role Role, transfer bool) {
	n.become(role, n.hardState.Term, "")
	n.shortenTimeout()
	n.votes = map[string]bool{n.cfg.ID: true}
	m := Message{Kind: KindPreVote, Term: n.hardState.Term + 1}
	if role == Candidate {
		n.hardState.Term++
		n.hardState.Vote = n.cfg.ID
		m = Message{Kind: KindVote, Term: n.hardState.Term, Transfer: transfer}
	}
	m.Index, m.LogTerm = n.log.last(), n.log.termAt(n.log.last())
	for _, id := range n.log.voters.all() {
		n.send(id, m)
	}
	n.countVotes()
}

func (n *Node) countVotes() {
	if !n.log.voters.agree(func(id string) bool { return n.votes[id] }) {
		return
	}
	if n.role == PreCandidate {
		n.campaign(Candidate, false)
		return
	}
	n.becomeLeader()
}

func (n *Node) becomeLeader() {
	n.become(Leader, n.hardState.Term, n.cfg.ID)
	n.electedAt = n.now
	n.progress = map[string]*progress{}
	n.trackProgress(append(n.log.voters.all(), n.cfg.ID))
	n.readRound, n.readPending = 0, false
	// Committing an entry of the new term commits all entries before it.
	n.Propose(nil)
}

func (n *Node) broadcastAppend() {
	for _, id := range slices.Sorted(maps.Keys(n.progress)) {
		if id != n.cfg.ID {
			n.sendAppend(id)
		}
	}
}

func (n *Node) advanceCommit() {
	index := n.log.voters.reached(func(id string) uint64 {
		if n.progress[id].learner {
			return 0
		}
		return n.progress[id].match
	})
	if index > n.log.commit && n.log.termAt(index) == n.hardState.Term {
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
