// Package agent is the flow side of one entry instance without its sockets: the
// balancer, the instance's part in keeping records, the questions that it asks,
// and its confirmations to the control leader.
//
// An outside bench can run many agents in one process and carry their messages
// itself. One agent is driven like this:
//
//	a := agent.New(agent.Config{Self: "entry-1"})
//	out := a.Apply(now, state)            // the state after a committed command
//	a.Balancer().Renew(until)             // a granted lease
//	verdict := a.Balancer().Decide(now, header)
//	out = a.Query(now, agent.Query{...})  // for a verdict that asks or reports
//	out = a.Handle(now, from, message)    // a message from another agent
//	out = a.Tick(now)                     // every 20 ms
//	confirmed, fetched := a.Progress()    // for the next heartbeat
//
// Every call that returns an Output hands over messages to send and packets to
// forward. Only the balancer may be used from other goroutines.
package agent

import (
	"time"

	"boragepost/core/flow"
	"boragepost/core/model"
	"boragepost/core/shard"
	"boragepost/core/state"
)

// Message is a message between two agents. Exactly one field is set.
type Message struct {
	Flow    *shard.Message[flow.Key, flow.Record] `cbor:"1,keyasint,omitempty"`
	Fetch   *Fetch                                `cbor:"2,keyasint,omitempty"`
	Fetched *Fetched                              `cbor:"3,keyasint,omitempty"`
}

// Send is a message with its destination, which is never the agent itself.
type Send struct {
	To      model.InstanceID
	Message Message
}

// Held is a packet that waited for an answer, with the verdict on it.
type Held struct {
	Verdict flow.Verdict
	Packet  []byte
}

// Output is what a call leaves to do.
type Output struct {
	Sends   []Send
	Packets []Held
}

// Config fixes an agent. Self must be set.
type Config struct {
	Self   model.InstanceID
	Limits flow.Limits
	// ReplicationFactor is the number of record keepers a shard; 0 counts as 2.
	ReplicationFactor int
}

// Counts are totals since the start.
type Counts struct {
	QueriesSent, Expired, Refused uint64
}

// Agent is the flow side of one instance. It belongs to one goroutine.
type Agent struct {
	self      model.InstanceID
	balancer  *flow.Balancer
	keeper    flow.RecordPolicy
	store     *shard.Store[flow.Key, flow.Record]
	questions questions
	fetches   map[string]*fetch
	version   uint64
	confirmed uint64
	moving    bool
	island    int64 // when the instance became an island; 0 if it is none
	ticks     uint64
	now       int64
	out       Output
	local     []Message // messages to the agent itself
	counts    Counts
}

// Intervals in ticks.
const (
	storeTicks  = 5
	fetchTicks  = 10
	expireTicks = 100
)

// New returns an agent at version 0, without a lease.
func New(cfg Config) *Agent {
	a := &Agent{self: cfg.Self, balancer: flow.NewBalancer(cfg.Limits), fetches: map[string]*fetch{}}
	a.questions.init()
	a.keeper = flow.RecordPolicy{View: a.balancer.View, Autonomous: a.balancer.IsAutonomous}
	a.store = shard.New(shard.Config[flow.Key, flow.Record]{
		Self: cfg.Self, ReplicationFactor: cfg.ReplicationFactor, Salt: "flow", ShardOf: flow.ShardOf, Decide: a.keeper.Decide,
		LocalRecords:      a.balancer.RecordedFlows,
		Fenced:     func() bool { return !a.balancer.AcceptsNewFlows(a.now) },
		OnResponse: a.onAnswer,
	})
	return a
}

// Balancer returns the balancer for packets.
func (a *Agent) Balancer() *flow.Balancer { return a.balancer }

// Records returns the number of flow records held.
func (a *Agent) Records() int { return a.store.Len() }

// SyncingShards returns the number of shards that are being rebuilt here.
func (a *Agent) SyncingShards() int { return a.store.SyncingShards() }

// Counts returns the totals of questions.
func (a *Agent) Counts() Counts { return a.counts }

// Progress returns the version through which all moves are prepared here, and
// the one through which all exceptions are known here.
func (a *Agent) Progress() (confirmed, fetched uint64) {
	return a.confirmed, a.balancer.FetchedVersion(flow.ShardOfBucket)
}

// HasPendingMoves reports whether a bucket move waits for the instances' progress.
func (a *Agent) HasPendingMoves() bool { return a.moving }

// Apply puts a state in force. States must not go back.
func (a *Agent) Apply(now int64, s *state.State) Output {
	a.now = now
	a.version = s.Index()
	view := flow.NewView(s)
	a.moving = view.HasPendingMoves()
	reports := a.balancer.Apply(view)
	a.send(a.store.SetMembers(a.version, shard.Members(s.Instances())))
	a.askAgain()
	a.prepare(reports)
	return a.take()
}

// Query takes up a verdict of the balancer that asks or reports.
func (a *Agent) Query(now int64, q Query) Output {
	a.now = now
	a.query(q)
	return a.take()
}

// Handle processes a message from another agent.
func (a *Agent) Handle(now int64, from model.InstanceID, m Message) Output {
	a.now = now
	a.handle(from, m)
	return a.take()
}

// Tick repeats what has not been answered and forgets what has ended.
func (a *Agent) Tick(now int64) Output {
	a.now = now
	a.ticks++
	a.noticeIsland()
	a.retryQuestions()
	if a.ticks%storeTicks == 0 {
		a.send(a.store.Tick())
	}
	if a.ticks%fetchTicks == 0 {
		a.fetchMissing()
	}
	if a.ticks%expireTicks == 0 {
		a.balancer.Expire(now)
		a.store.Delete(a.keeper.Obsolete)
	}
	return a.take()
}

func (a *Agent) noticeIsland() {
	switch {
	case !a.balancer.IsAutonomous():
		a.island = 0
	case a.island == 0:
		a.island = a.now
	}
}

func (a *Agent) handle(from model.InstanceID, m Message) {
	switch {
	case m.Flow != nil:
		a.send(a.store.Handle(from, *m.Flow))
	case m.Fetch != nil:
		a.onFetch(from, *m.Fetch)
	case m.Fetched != nil:
		a.onFetched(*m.Fetched)
	}
}

func (a *Agent) send(sends []shard.Send[flow.Key, flow.Record]) {
	for _, s := range sends {
		a.sendTo(s.To, Message{Flow: &s.Message})
	}
}

func (a *Agent) sendTo(to model.InstanceID, m Message) {
	if to == a.self {
		a.local = append(a.local, m)
		return
	}
	a.out.Sends = append(a.out.Sends, Send{To: to, Message: m})
}

// take delivers the messages that the agent has sent to itself, and returns the
// rest.
func (a *Agent) take() Output {
	for len(a.local) > 0 {
		m := a.local[0]
		a.local = a.local[1:]
		a.handle(a.self, m)
	}
	out := a.out
	a.out = Output{}
	return out
}

// nanos returns a duration in units of the agent's clock.
func nanos(d time.Duration) int64 { return int64(d) }
