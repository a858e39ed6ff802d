// Package flow decides, packet by packet, which backend server a flow goes to.
//
// Any packet of a flow may reach any entry instance. There are two ways to keep
// a flow on its backend server. Where the network carries a cookie for each
// flow, the cookie names the backend server (CookieBalancer); nothing has to be
// remembered or agreed but the configuration and the backend servers. Elsewhere
// a Balancer shares a bucket table with its peers, as follows.
//
// Instances agree without
// talking because they hold the same bucket table (package table) at the same
// version. While a bucket moves, an instance asks the bucket's record keeper
// about flows that it does not know; afterwards the flows that stayed with
// their former backend server are known everywhere as exceptions.
//
// The package does no I/O and has no clock. A bench drives it like this:
//
//	b := flow.NewBalancer(flow.Limits{})
//	reports := b.Apply(flow.NewView(state))  // 1. after each command applied
//	b.Renew(until)                           // 2. when a lease is granted
//	v := b.Decide(now, header)               // 3. for each packet
//	b.Learn(now, answer)                     // 4. for each answer of a keeper
//
// Reports and verdicts with Action Query are questions for the record keeper,
// a shard.Store whose Decide field is Keeper.Decide. Times are nanoseconds of
// one monotonic clock. Decide and Learn may be called concurrently.
package flow

import (
	"net/netip"
	"sync/atomic"
	"time"

	"boragepost/core/model"
	"boragepost/core/table"
)

// Action is what to do with a packet.
type Action uint8

// The actions of a verdict.
const (
	// Drop discards the packet for the verdict's Reason.
	Drop Action = iota
	// Forward sends the packet to the verdict's Target.
	Forward
	// Query holds the packet until the record keeper has answered.
	Query
	// Hold keeps the packet for a moment, until the instance knows more.
	Hold
	// Reset ends the flow towards its caller.
	Reset
)

// Reason says why a packet is dropped. Its text is a metric label.
type Reason string

// The reasons for which packets are dropped.
const (
	NoService  Reason = "noService"  // no service has the destination address
	NoServer   Reason = "noServer"   // the service has no backend server
	NoLease    Reason = "noLease"    // the instance may hold outdated state
	Unverified Reason = "unverified" // the backend server's identity is in doubt
)

// Verdict is the decision on one packet.
type Verdict struct {
	Action Action
	Reason Reason
	Server model.ServerID
	Target netip.AddrPort
	Key    Key
	// QueryArg is set for Query, and for Forward when the keeper should learn
	// of the flow.
	QueryArg Record
	Report   bool
}

// Limits bound the memory of a balancer. Zero values take defaults.
type Limits struct {
	MaxFlows    int // established flows
	MaxHalfOpen int // flows of which only starting packets were seen
	// Seed should be secret, so that callers cannot choose flows that collide
	// in memory.
	Seed uint64
}

const (
	defaultMaxFlows    = 1 << 20
	defaultMaxHalfOpen = 1 << 16

	// unverifiedGrace is how long after its lease an instance still forwards to
	// addresses that it has not verified. It is shorter than state.Quarantine.
	unverifiedGrace = 10 * time.Second
	// finishedRetention is how long a finished flow is remembered.
	finishedRetention = 5 * time.Second
	// halfOpenTimeout is the silence that ends a flow which was never
	// established.
	halfOpenTimeout = 30 * time.Second
)

// Balancer is the flow state of one instance.
type Balancer struct {
	view       atomic.Pointer[View]
	flows      *tracker
	lease      atomic.Int64
	autonomous atomic.Bool
	verified   atomic.Pointer[map[model.ServerID]int64]
}

// NewBalancer returns a balancer without services and without a lease.
func NewBalancer(l Limits) *Balancer {
	if l.MaxFlows == 0 {
		l.MaxFlows = defaultMaxFlows
	}
	if l.MaxHalfOpen == 0 {
		l.MaxHalfOpen = defaultMaxHalfOpen
	}
	b := &Balancer{flows: newTracker(l.MaxFlows, l.MaxHalfOpen, l.Seed)}
	b.view.Store(&View{})
	return b
}

// View returns the view in use.
func (b *Balancer) View() *View { return b.view.Load() }

// RenewLease extends the lease to the given time.
func (b *Balancer) RenewLease(until int64) {
	if until > b.lease.Load() {
		b.lease.Store(until)
	}
	b.autonomous.Store(false)
}

// HasLease reports whether the lease is valid.
func (b *Balancer) HasLease(now int64) bool { return now < b.lease.Load() }

// SetAutonomous tells the balancer that no instance with a lease can be reached, so
// that it must serve its callers with what it knows.
func (b *Balancer) SetAutonomous(on bool) { b.autonomous.Store(on) }

// IsAutonomous reports whether the instance serves without a lease.
func (b *Balancer) IsAutonomous() bool { return b.autonomous.Load() }

// SetVerified tells the balancer when each backend server last proved its
// identity to this instance. The map must not change afterwards.
func (b *Balancer) SetVerified(at map[model.ServerID]int64) { b.verified.Store(&at) }

// Flows returns the numbers of established and half-open flows.
func (b *Balancer) Flows() (live, half int) { return b.flows.len() }

// Decide returns the verdict on one packet.
func (b *Balancer) Decide(now int64, h Header) Verdict {
	key := h.Key()
	s := b.flows.stripe(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	// The view is read under the lock: after Apply has visited a stripe, no
	// decision there can still use the old view.
	route := b.view.Load().Routes[h.Dest]
	if route == nil {
		return Verdict{Reason: NoService}
	}
	if r, ok := s.get(key); ok && b.isCurrent(now, route, r, h) {
		return b.decideTracked(now, route, s, key, r, h)
	}
	return b.decideUntracked(now, route, s, key, h)
}

// isCurrent reports whether a record still speaks for the flow of the packet.
func (b *Balancer) isCurrent(now int64, route *Route, r trackedFlow, h Header) bool {
	if !route.hasServer(r.server) {
		return false
	}
	if !h.Start || r.flags&flagPinned != 0 {
		return true
	}
	return r.flags&flagFinished == 0 && r.seen.age(now) <= route.Idle
}

// decideTracked forwards a packet of a flow that the instance remembers.
func (b *Balancer) decideTracked(now int64, route *Route, s *stripe, key Key, r trackedFlow, h Header) Verdict {
	before := r
	r.seen = toCoarseTime(now)
	if h.Finish {
		r.flags |= flagFinished
	}
	if !h.Start {
		r.flags &^= flagHalfOpen
	}
	v := b.forward(now, route, key, r.server)
	bucket := route.Table.Bucket(uint64(key))
	if bucket.Stage != table.Stable && r.flags&(flagReported|flagHalfOpen) == 0 && v.Action == Forward {
		// The flag that ends the reports is set by the keeper's answer.
		v.Report = true
		v.QueryArg = Record{Route: route.ID, Server: r.server, UDP: h.Protocol == UDP}
	}
	if r != before {
		b.flows.put(s, key, r)
	}
	return v
}

// decideUntracked decides on a packet of a flow that the instance does not remember.
func (b *Balancer) decideUntracked(now int64, route *Route, s *stripe, key Key, h Header) Verdict {
	if route.Table.Len() == 0 {
		return Verdict{Reason: NoServer, Key: key}
	}
	if !b.AcceptsNewFlows(now) {
		return Verdict{Reason: NoLease, Key: key}
	}
	bucket := route.Table.Bucket(uint64(key))
	if bucket.Stage != table.Stable || bucket.Since > route.fetchedVersion.Load() {
		return Verdict{Action: Query, Key: key, QueryArg: Record{
			Route: route.ID, Start: h.Start, UDP: h.Protocol == UDP}}
	}
	return b.assign(now, route, s, key, h, bucket.Owner)
}

// DecideFromTable returns the verdict on a packet whose question has found no
// answer, from the bucket table alone. An island uses it when the record keeper
// is out of reach. New flows go to the base of a moving bucket like all others:
// a keeper that another instance can still reach takes their next packets for
// those of an old flow.
func (b *Balancer) DecideFromTable(now int64, h Header) Verdict {
	key := h.Key()
	s := b.flows.stripe(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	route := b.view.Load().Routes[h.Dest]
	if route == nil || route.Table.Len() == 0 {
		return Verdict{Reason: NoService, Key: key}
	}
	return b.assign(now, route, s, key, h, route.Table.Bucket(uint64(key)).Choose(false))
}

// assign gives a flow to a backend server and remembers it. The stripe must be
// locked.
func (b *Balancer) assign(now int64, route *Route, s *stripe, key Key, h Header, server model.ServerID) Verdict {
	if !route.hasServer(server) {
		return Verdict{Reason: NoServer, Key: key}
	}
	r := trackedFlow{server: server, seen: toCoarseTime(now)}
	r.flags = startFlags(h)
	b.flows.put(s, key, r)
	return b.forward(now, route, key, server)
}

func startFlags(h Header) flags {
	var f flags
	if h.Start || h.Protocol == UDP {
		f |= flagHalfOpen
	}
	if h.Protocol == UDP {
		f |= flagUDP
	}
	if h.Finish {
		f |= flagFinished
	}
	return f
}

// forward returns the verdict for a chosen backend server, after the check that
// its address cannot have passed to another service unnoticed.
func (b *Balancer) forward(now int64, route *Route, key Key, server model.ServerID) Verdict {
	lease := b.lease.Load()
	if now-lease > int64(unverifiedGrace) && !b.isVerified(now, server) {
		return Verdict{Reason: Unverified, Key: key}
	}
	return Verdict{Action: Forward, Key: key, Server: server, Target: route.Targets[server].Packets}
}

func (b *Balancer) isVerified(now int64, server model.ServerID) bool {
	at := b.verified.Load()
	return at != nil && now-(*at)[server] <= int64(unverifiedGrace)
}

// HandleResponse records the keeper's answer to a question and returns the verdict for
// the packets that were held for it.
func (b *Balancer) HandleResponse(now int64, h Header, answer Record) Verdict {
	key := h.Key()
	s := b.flows.stripe(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	route := b.view.Load().Routes[h.Dest]
	if route == nil {
		return Verdict{Reason: NoService, Key: key}
	}
	if !route.hasServer(answer.Server) {
		return Verdict{Reason: NoServer, Key: key}
	}
	r := trackedFlow{server: answer.Server, seen: toCoarseTime(now)}
	r.flags = startFlags(h) | flagReported
	if old, ok := s.get(key); ok && old.server == r.server {
		r.flags = old.flags | flagReported
	}
	b.flows.put(s, key, r)
	return b.forward(now, route, key, answer.Server)
}

// Expire forgets the flows that have ended or have been idle for longer than
// their service allows. It is called every few seconds.
func (b *Balancer) Expire(now int64) {
	v := b.view.Load()
	b.flows.update(func(_ Key, r trackedFlow) (trackedFlow, bool) {
		route := v.byServer[r.server]
		if route == nil {
			return r, false
		}
		age := r.seen.age(now)
		switch {
		case r.flags&flagPinned != 0:
			return r, true
		case r.flags&flagFinished != 0:
			return r, age <= int64(finishedRetention)
		case r.flags&flagHalfOpen != 0:
			return r, age <= min(int64(halfOpenTimeout), route.Idle)
		default:
			return r, age <= route.Idle
		}
	})
}

// AcceptsNewFlows reports whether the balancer decides on new flows: it has a lease, or
// must do without one.
func (b *Balancer) AcceptsNewFlows(now int64) bool { return b.HasLease(now) || b.autonomous.Load() }
