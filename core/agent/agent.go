// Package agent implements the flow handling of one entry instance without its
// sockets: the balancer, the instance's replicas of flow records, its queries to
// shard primaries, and the progress that it reports to the control leader.
//
// # Usage
//
// The caller supplies the time and delivers the messages, so that many agents can
// run in one process:
//
//	a := agent.New(agent.Config{Self: "entry-1"})
//	out := a.Apply(now, state)            // the state after a committed command
//	a.Balancer().RenewLease(until)        // a granted lease
//	verdict := a.Balancer().Decide(now, header)
//	out = a.Query(now, agent.Query{...})  // for a verdict with Query or Report
//	out = a.Handle(now, from, message)    // a message from another agent
//	out = a.Tick(now)                     // every 20 ms
//	prepared, fetched := a.Progress()     // for the next heartbeat
//
// An Output holds messages to send and packets to handle. Only the balancer may
// be used from other goroutines.
package agent

import (
	"time"

	"boragepost/core/flow"
	"boragepost/core/model"
	"boragepost/core/shard"
	"boragepost/core/state"
)

// Message is a message between agents. Exactly one field is set.
type Message struct {
	Flow          *shard.Message[flow.Key, flow.Record] `cbor:"1,keyasint,omitempty"`
	FetchRequest  *FetchRequest                         `cbor:"2,keyasint,omitempty"`
	FetchResponse *FetchResponse                        `cbor:"3,keyasint,omitempty"`
}

// Send is a message with its destination, which is never the agent itself.
type Send struct {
	To      model.InstanceID
	Message Message
}

// DecidedPacket is a packet that was held for a query, with the verdict on it.
type DecidedPacket struct {
	Verdict flow.Verdict
	Packet  []byte
}

// Output holds the messages that the caller must send and the packets on which
// there is a verdict now.
type Output struct {
	Sends   []Send
	Packets []DecidedPacket
}

// Config configures an agent. Self must be set.
type Config struct {
	Self   model.InstanceID
	Limits flow.Limits
	// FirstID is the number after which queries and writes are numbered. It should
	// be random, so that a late response to an earlier process of the instance
	// matches none of them.
	FirstID uint64
	// ReplicationFactor is the number of replicas of a shard. 0 means 2.
	ReplicationFactor int
}

// Counts are totals of queries since the start: messages sent, including
// retransmissions; queries that timed out; and queries that were refused because
// too many were pending.
type Counts struct {
	QueriesSent, Expired, Refused uint64
}

// Agent handles the flows of one instance. It is not safe for concurrent use.
type Agent struct {
	self            model.InstanceID
	balancer        *flow.Balancer
	policy          flow.RecordPolicy
	store           *shard.Store[flow.Key, flow.Record]
	queries         queries
	fetches         map[string]*pendingFetch
	version         uint64
	prepared        uint64
	hasPendingMoves bool
	autonomousSince int64 // start of autonomous mode; 0 if it is off
	ticks           uint64
	now             int64
	out             Output
	loopback        []Message // messages to the agent itself
	counts          Counts
}

// Intervals in ticks.
const (
	storeTicks  = 5
	fetchTicks  = 10
	expireTicks = 100
)

// New returns an agent at version 0, without a lease.
func New(cfg Config) *Agent {
	a := &Agent{self: cfg.Self, balancer: flow.NewBalancer(cfg.Limits), fetches: map[string]*pendingFetch{}}
	a.queries.init(cfg.FirstID)
	a.policy = flow.RecordPolicy{View: a.balancer.View, Autonomous: a.balancer.IsAutonomous}
	a.store = shard.New(shard.Config[flow.Key, flow.Record]{
		Self: cfg.Self, FirstID: cfg.FirstID, ReplicationFactor: cfg.ReplicationFactor, Salt: "flow", ShardOf: flow.ShardOf, Decide: a.policy.Decide,
		LocalRecords: a.balancer.RecordedFlows,
		Fenced:       func() bool { return !a.balancer.AcceptsNewFlows(a.now) },
		OnResponse:   a.onResponse,
	})
	return a
}

// Balancer returns the balancer for packets.
func (a *Agent) Balancer() *flow.Balancer { return a.balancer }

// Records returns the number of local flow records.
func (a *Agent) Records() int { return a.store.Len() }

// SyncingShards returns the number of shards that are syncing.
func (a *Agent) SyncingShards() int { return a.store.SyncingShards() }

// Counts returns the totals of queries.
func (a *Agent) Counts() Counts { return a.counts }

// Progress returns the version through which the instance has prepared all moves,
// and the version through which it has fetched all pinned flows.
func (a *Agent) Progress() (prepared, fetched uint64) {
	return a.prepared, a.balancer.FetchedVersion(flow.ShardOfBucket)
}

// HasPendingMoves reports whether a bucket move waits for the progress of the
// instances.
func (a *Agent) HasPendingMoves() bool { return a.hasPendingMoves }

// Apply installs a state. Its index must not decrease.
func (a *Agent) Apply(now int64, s *state.State) Output {
	a.now = now
	a.version = s.Index()
	view := flow.NewView(s)
	a.hasPendingMoves = view.HasPendingMoves()
	reports := a.balancer.Apply(view)
	a.send(a.store.SetMembers(a.version, shard.Members(s.Instances())))
	a.reissueQueries()
	a.prepare(reports)
	return a.takeOutput()
}

// Query sends the query of a verdict with Action Query or with Report set.
func (a *Agent) Query(now int64, q Query) Output {
	a.now = now
	a.handleQuery(q)
	return a.takeOutput()
}

// Handle processes a message from another agent.
func (a *Agent) Handle(now int64, from model.InstanceID, m Message) Output {
	a.now = now
	a.handle(from, m)
	return a.takeOutput()
}

// Tick retransmits unanswered messages and expires flows and records.
func (a *Agent) Tick(now int64) Output {
	a.now = now
	a.ticks++
	a.trackAutonomousMode()
	a.retryQueries()
	if a.ticks%storeTicks == 0 {
		a.send(a.store.Tick())
	}
	if a.ticks%fetchTicks == 0 {
		a.fetchMissing()
	}
	if a.ticks%expireTicks == 0 {
		a.balancer.Expire(now)
		a.store.Delete(a.policy.Obsolete)
	}
	return a.takeOutput()
}

func (a *Agent) trackAutonomousMode() {
	switch {
	case !a.balancer.IsAutonomous():
		a.autonomousSince = 0
	case a.autonomousSince == 0:
		a.autonomousSince = a.now
	}
}

func (a *Agent) handle(from model.InstanceID, m Message) {
	switch {
	case m.Flow != nil:
		a.send(a.store.Handle(from, *m.Flow))
	case m.FetchRequest != nil:
		a.onFetchRequest(from, *m.FetchRequest)
	case m.FetchResponse != nil:
		a.onFetchResponse(*m.FetchResponse)
	}
}

func (a *Agent) send(sends []shard.Send[flow.Key, flow.Record]) {
	for _, s := range sends {
		a.sendTo(s.To, Message{Flow: &s.Message})
	}
}

func (a *Agent) sendTo(to model.InstanceID, m Message) {
	if to == a.self {
		a.loopback = append(a.loopback, m)
		return
	}
	a.out.Sends = append(a.out.Sends, Send{To: to, Message: m})
}

// takeOutput delivers the messages that the agent has sent to itself and returns
// the rest of the output.
func (a *Agent) takeOutput() Output {
	for len(a.loopback) > 0 {
		m := a.loopback[0]
		a.loopback = a.loopback[1:]
		a.handle(a.self, m)
	}
	out := a.out
	a.out = Output{}
	return out
}

// nanos converts a duration to the unit of the agent's clock.
func nanos(d time.Duration) int64 { return int64(d) }
