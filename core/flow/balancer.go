// Package flow decides for each packet which backend server receives it.
//
// Any packet of a flow may reach any entry instance. There are two ways to keep
// a flow on its backend server. Where the network carries a cookie for each
// flow, the cookie names the backend server (CookieBalancer), and the instances
// share no state other than the configuration and the list of backend servers.
// Elsewhere a Balancer uses a bucket table, as follows.
//
// Instances make the same decisions without communication because they hold the
// same bucket table (package table) at the same version. While a bucket moves, an
// instance queries the primary of the bucket's shard (package shard) about each
// flow that it does not track. Flows that stay with a past owner of their bucket
// after the move are pinned: every instance fetches them and keeps them in its
// flow table until the backend server is removed.
//
// An instance that cannot renew its lease because the control leader is out of
// reach can be put into autonomous mode, in which it decides without a lease.
//
// # Usage
//
// The package does no I/O and has no clock; the caller supplies the time and
// delivers the requests and responses:
//
//	b := flow.NewBalancer(flow.Limits{})
//	reports := b.Apply(flow.NewView(state))  // 1. after each command applied
//	b.RenewLease(until)                      // 2. when a lease is granted
//	v := b.Decide(now, header)               // 3. for each packet
//	b.HandleResponse(now, header, record)    // 4. for each response of a primary
//
// Reports, and verdicts with Action Query or with Report set, are requests to the
// shard primary, a shard.Store whose Decide field is RecordPolicy.Decide. Times
// are nanoseconds of one monotonic clock. Decide and HandleResponse may be called
// concurrently.
package flow

import (
	"net/netip"
	"sync/atomic"
	"time"

	"boragepost/core/model"
	"boragepost/core/table"
)

// Action says how a packet is handled.
type Action uint8

// The actions of a verdict.
const (
	// Drop discards the packet for the verdict's Reason.
	Drop Action = iota
	// Forward sends the packet to the verdict's Target.
	Forward
	// Query holds the packet until the shard primary has responded.
	Query
	// Hold queues the packet for a later decision, because the configuration or
	// the record of a backend server that the decision needs has not been
	// received yet.
	Hold
	// Reset sends a reset to the caller.
	Reset
)

// Reason says why a packet is dropped, held or reset. Its text is a metric label.
type Reason string

// The reasons for which packets are dropped.
const (
	NoService  Reason = "noService"  // no service has the destination address
	NoServer   Reason = "noServer"   // the service has no backend server
	NoLease    Reason = "noLease"    // the instance has no lease, so its state may be stale
	Unverified Reason = "unverified" // the backend server has not proved its identity recently
)

// Verdict is the decision on one packet.
type Verdict struct {
	Action Action
	Reason Reason
	Server model.ServerID
	Target netip.AddrPort
	Key    Key
	// QueryArg is the argument of the request to the shard primary. It is set
	// for Query, and for Forward if Report is true.
	QueryArg Record
	// Report asks the caller to report the forwarded flow to the shard primary.
	Report bool
}

// Limits bound the memory of a balancer. A limit of 0 selects the default.
type Limits struct {
	MaxFlows    int // established flows
	MaxHalfOpen int // flows of which only opening packets were seen
	// Seed should be secret, so that callers cannot choose flows that collide
	// in memory.
	Seed uint64
}

const (
	defaultMaxFlows    = 1 << 20
	defaultMaxHalfOpen = 1 << 16

	// unverifiedGrace is how long after its lease an instance still forwards to
	// addresses that it has not verified. It is shorter than state.Quarantine,
	// after which an address may belong to another service.
	unverifiedGrace = 10 * time.Second
	// finishedRetention is how long a flow is tracked after a FIN or RST.
	finishedRetention = 5 * time.Second
	// halfOpenTimeout is the idle timeout of a half-open flow.
	halfOpenTimeout = 30 * time.Second
)

// Balancer assigns the flows that reach one instance to backend servers and
// tracks them.
type Balancer struct {
	view       atomic.Pointer[View]
	flows      *tracker
	leaseEnd   atomic.Int64
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

// View returns the current view.
func (b *Balancer) View() *View { return b.view.Load() }

// RenewLease extends the lease to the given time.
func (b *Balancer) RenewLease(until int64) {
	if until > b.leaseEnd.Load() {
		b.leaseEnd.Store(until)
	}
	b.autonomous.Store(false)
}

// HasLease reports whether the lease is valid at the given time.
func (b *Balancer) HasLease(now int64) bool { return now < b.leaseEnd.Load() }

// SetAutonomous switches autonomous mode on or off. In autonomous mode, used
// while no instance with a lease can be reached, the balancer decides on new
// flows without a lease, from its last view. RenewLease ends it.
func (b *Balancer) SetAutonomous(on bool) { b.autonomous.Store(on) }

// IsAutonomous reports whether the balancer is in autonomous mode.
func (b *Balancer) IsAutonomous() bool { return b.autonomous.Load() }

// SetVerified sets the time at which each backend server last proved its
// identity to this instance. The map must not change afterwards.
func (b *Balancer) SetVerified(at map[model.ServerID]int64) { b.verified.Store(&at) }

// Flows returns the numbers of established and half-open flows.
func (b *Balancer) Flows() (established, halfOpen int) { return b.flows.len() }

// Decide returns the verdict on one packet.
func (b *Balancer) Decide(now int64, h Header) Verdict {
	key := h.Key()
	s := b.flows.stripe(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	// The view is loaded under the lock: once Apply has updated a stripe, no
	// decision in that stripe can use the old view.
	route := b.view.Load().Routes[h.Dest]
	if route == nil {
		return Verdict{Reason: NoService}
	}
	if r, ok := s.get(key); ok && b.isCurrent(now, route, r, h) {
		return b.decideTracked(now, route, s, key, r, h)
	}
	return b.decideUntracked(now, route, s, key, h)
}

// isCurrent reports whether a tracked flow is the flow of the packet: its backend
// server still belongs to the route, and the packet does not open a new flow with
// the same key after the tracked one has finished or idled out. A pinned flow
// matches every packet.
func (b *Balancer) isCurrent(now int64, route *Route, r trackedFlow, h Header) bool {
	if !route.hasServer(r.server) {
		return false
	}
	if !h.Start || r.flags&flagPinned != 0 {
		return true
	}
	return r.flags&flagFinished == 0 && r.seen.age(now) <= route.Idle
}

// decideTracked forwards a packet of a tracked flow.
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
		// Every packet repeats the report until HandleResponse sets flagReported.
		v.Report = true
		v.QueryArg = Record{Route: route.ID, Server: r.server, UDP: h.Protocol == UDP}
	}
	if r != before {
		b.flows.put(s, key, r)
	}
	return v
}

// decideUntracked decides on a packet of a flow that the instance does not track.
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

// DecideFromTable returns the verdict on a packet whose query was not answered,
// from the bucket table alone. It is used in autonomous mode when the shard
// primary is unreachable.
func (b *Balancer) DecideFromTable(now int64, h Header) Verdict {
	key := h.Key()
	s := b.flows.stripe(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	route := b.view.Load().Routes[h.Dest]
	if route == nil || route.Table.Len() == 0 {
		return Verdict{Reason: NoService, Key: key}
	}
	return b.assign(now, route, s, key, h, route.withoutPrimary(route.Table.Bucket(uint64(key)), h.Start))
}

// assign assigns a flow to a backend server and tracks it. The stripe must be
// locked.
func (b *Balancer) assign(now int64, route *Route, s *stripe, key Key, h Header, server model.ServerID) Verdict {
	if !route.hasServer(server) {
		return Verdict{Reason: route.noServerReason(), Key: key}
	}
	r := trackedFlow{server: server, seen: toCoarseTime(now)}
	r.flags = initialFlags(h)
	b.flows.put(s, key, r)
	return b.forward(now, route, key, server)
}

func initialFlags(h Header) flags {
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

// forward returns the verdict Forward, or Drop if the lease ended long ago and
// the backend server is not verified: its address may have passed to another
// service.
func (b *Balancer) forward(now int64, route *Route, key Key, server model.ServerID) Verdict {
	leaseEnd := b.leaseEnd.Load()
	if now-leaseEnd > int64(unverifiedGrace) && !b.isVerified(now, server) {
		return Verdict{Reason: Unverified, Key: key}
	}
	return Verdict{Action: Forward, Key: key, Server: server, Target: route.Targets[server].Packets}
}

func (b *Balancer) isVerified(now int64, server model.ServerID) bool {
	at := b.verified.Load()
	return at != nil && now-(*at)[server] <= int64(unverifiedGrace)
}

// HandleResponse tracks the flow of a shard primary's response and returns the
// verdict on the packets that were held for it.
func (b *Balancer) HandleResponse(now int64, h Header, record Record) Verdict {
	key := h.Key()
	s := b.flows.stripe(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	route := b.view.Load().Routes[h.Dest]
	if route == nil {
		return Verdict{Reason: NoService, Key: key}
	}
	if !route.hasServer(record.Server) {
		return Verdict{Reason: route.noServerReason(), Key: key}
	}
	r := trackedFlow{server: record.Server, seen: toCoarseTime(now)}
	r.flags = initialFlags(h) | flagReported
	if old, ok := s.get(key); ok && old.server == r.server {
		r.flags = old.flags | flagReported
	}
	b.flows.put(s, key, r)
	return b.forward(now, route, key, record.Server)
}

// Expire evicts the flows that have finished or have been idle for longer than
// their service's idle timeout. It must be called every few seconds.
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

// AcceptsNewFlows reports whether the balancer decides on new flows: it has a
// lease or is in autonomous mode.
func (b *Balancer) AcceptsNewFlows(now int64) bool { return b.HasLease(now) || b.autonomous.Load() }
