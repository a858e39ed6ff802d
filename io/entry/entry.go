// Package entry is the entry role: it receives the fabric's packets, forwards
// each to its backend server, serves the request gateway, and takes the
// announcements of backend servers.
//
// Packet workers decide by themselves (package flow). Everything else runs on
// one goroutine, the loop: it follows the control replicas, drives the agent
// (package agent), which resolves the packets that workers could not decide, and
// keeps this instance's shards of request claims.
//
// # Usage
//
//	e, err := entry.Start(ctx, entry.Config{Settings: settings, Log: log})
//	...
//	e.Shutdown(ctx) // leaves gracefully
package entry

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"boragepost/core/agent"
	"boragepost/core/claim"
	"boragepost/core/flow"
	"boragepost/core/model"
	"boragepost/core/shard"
	"boragepost/core/state"
	"boragepost/io/conf"
	"boragepost/io/gate"
	"boragepost/io/links"
	"boragepost/io/proto"
	"boragepost/io/timer"
)

const (
	headerTimeout        = 5 * time.Second
	idleTimeout          = 2 * time.Minute
	defaultShutdownGrace = time.Second
	postQueue            = 1 << 14
)

// Config is what an entry instance needs to run.
type Config struct {
	Settings conf.Entry
	Log      *logrus.Entry
}

// Entry is one running entry instance.
type Entry struct {
	cfg      Config
	log      *logrus.Entry
	self     model.Instance
	start    time.Time
	balancer *flow.Balancer // the agent's
	gateway  *gate.Gateway
	posts    chan func()
	queries  chan agent.Query
	plane    *plane
	counters counters
	traffic  traffic
	control  *links.Client[proto.ToControl, proto.ToEntry]
	servers  []*http.Server
	cancel   context.CancelFunc
	ctx      context.Context
	stopped  sync.WaitGroup
	unready  atomic.Bool // no new packets and requests are wanted
	leaving  atomic.Bool // the instance gives up its membership
	applied  atomic.Uint64

	// State of the loop.
	state    *state.State
	agent    *agent.Agent
	claims   *shard.Store[claim.Key, claim.Record]
	peers    map[model.InstanceID]peer
	lease    leaseKeeper
	beat     lastBeat
	prober   prober
	claiming map[uint64]*claimCall
	calls    map[uint64]func(proto.Announced)
	renewals map[model.ServerID]bool
	nextID   uint64
	ticks    uint64
}

// Start opens the endpoints and runs the instance until ctx ends or Shutdown is
// called. It returns an error when an endpoint cannot be opened.
func Start(ctx context.Context, cfg Config) (*Entry, error) {
	s := cfg.Settings
	e := &Entry{
		cfg: cfg, log: cfg.Log.WithField("instance", s.Name), start: time.Now(),
		self: model.Instance{
			ID: model.InstanceID(s.Name), Zone: s.Zone, Peer: s.Peer, Gateway: s.Gateway,
			Incarnation: uint64(time.Now().UnixNano()),
		},
		agent: agent.New(agent.Config{Self: model.InstanceID(s.Name), Limits: flow.Limits{
			MaxFlows: s.Limits.MaxFlows, MaxHalfOpen: s.Limits.MaxHalfOpen, Seed: rand.Uint64()}}),
		posts:    make(chan func(), postQueue),
		queries:  make(chan agent.Query, postQueue),
		state:    state.New(),
		peers:    map[model.InstanceID]peer{},
		claiming: map[uint64]*claimCall{},
		calls:    map[uint64]func(proto.Announced){},
		renewals: map[model.ServerID]bool{},
	}
	e.ctx, e.cancel = context.WithCancel(ctx)
	e.lease.init()
	e.balancer = e.agent.Balancer()
	e.newClaims()
	e.gateway = gate.New(gate.Config{
		Self: e.self.ID, Zone: s.Zone, MaxRequests: s.Limits.MaxRequests, MaxBodyBytes: s.Limits.MaxBodyBytes,
		Claim: e.claim, IsMember: e.isMember, Log: e.log,
	})
	if err := e.listen(); err != nil {
		e.cancel()
		e.closeServers()
		return nil, err
	}
	e.connect()
	e.run()
	e.log.WithField("packets", s.Packets).WithField("gateway", s.Gateway).Info("entryStarted")
	return e, nil
}

func (e *Entry) newClaims() {
	e.claims = shard.New(shard.Config[claim.Key, claim.Record]{
		Self: e.self.ID, ReplicationFactor: claimCopies, Salt: "claim", ShardOf: claim.ShardOf, Decide: claim.Decide,
		Merge: claim.Merge, OnResponse: e.onClaimAnswer,
		Fenced: func() bool { return !e.balancer.HasLease(e.now()) },
	})
}

// claimCopies lets a claim survive a second loss right after the repair of the
// first, and two losses at once.
const claimCopies = 3

func (e *Entry) listen() error {
	plane, err := openPlane(e)
	if err != nil {
		return fmt.Errorf("open packet endpoint: %w", err)
	}
	e.plane = plane
	if err := e.serve(e.cfg.Settings.Gateway.String(), e.gateway); err != nil {
		plane.close()
		return fmt.Errorf("open gateway endpoint: %w", err)
	}
	if err := e.serve(e.cfg.Settings.Peer.String(), e.peerRoutes()); err != nil {
		plane.close()
		return fmt.Errorf("open peer endpoint: %w", err)
	}
	return nil
}

func (e *Entry) serve(addr string, h http.Handler) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	e.servers = append(e.servers, s)
	go s.Serve(l)
	return nil
}

func (e *Entry) run() {
	e.stopped.Add(1)
	go func() {
		defer e.stopped.Done()
		e.loop()
	}()
	e.plane.run(&e.stopped)
}

// now returns the time since the instance started, in nanoseconds of the
// monotonic clock.
func (e *Entry) now() int64 { return int64(time.Since(e.start)) }

// Shutdown leaves gracefully. The instance reports itself not ready and goes on
// forwarding for a grace period, so that the fabric can take it out; it finishes
// the requests in flight while it still holds its lease; then it leaves the
// members and stays until the others have gathered its records. Shutdown returns
// an error when ctx ended before that.
func (e *Entry) Shutdown(ctx context.Context) error {
	defer e.Close()
	e.unready.Store(true)
	e.log.Info("shutdownStarted")
	grace := time.Duration(e.cfg.Settings.ShutdownGrace)
	if grace == 0 {
		grace = defaultShutdownGrace
	}
	timer.Sleep(ctx, grace)
	if err := e.gateway.Drain(ctx); err != nil {
		return fmt.Errorf("finish requests: %w", err)
	}
	e.leaving.Store(true)
	e.post(e.sendBeat)
	limit := time.Now().Add(leaveTimeout)
	for e.isMember(e.self.ID) && time.Now().Before(limit) && ctx.Err() == nil {
		timer.Sleep(ctx, leavePoll)
	}
	timer.Sleep(ctx, handOver)
	e.log.Info("shutdownFinished")
	return nil
}

const (
	leaveTimeout = 3 * time.Second
	leavePoll    = 20 * time.Millisecond
	// handOver is how long a former member still answers gathers.
	handOver = 300 * time.Millisecond
)

// Close ends the instance at once.
func (e *Entry) Close() {
	e.cancel()
	e.plane.close()
	e.closeServers()
	e.stopped.Wait()
}

func (e *Entry) closeServers() {
	for _, s := range e.servers {
		s.Close()
	}
}

// post runs f on the loop's goroutine. It reports false when the instance has
// stopped.
func (e *Entry) post(f func()) bool {
	select {
	case e.posts <- f:
		return true
	case <-e.ctx.Done():
		return false
	}
}

// read runs f on the loop's goroutine and waits for it.
func (e *Entry) read(f func()) bool {
	done := make(chan struct{})
	if !e.post(func() { f(); close(done) }) {
		return false
	}
	select {
	case <-done:
		return true
	case <-e.ctx.Done():
		return false
	}
}

func (e *Entry) isMember(id model.InstanceID) bool {
	member := false
	e.read(func() { _, member = e.state.Instance(id) })
	return member
}

// ControlBytes returns the payload bytes sent and received for control so far:
// configuration, heartbeats, membership and flow records. Request claims are
// counted apart, because they belong to the requests.
func (e *Entry) ControlBytes() int64 { return e.traffic.control.Total() + e.traffic.records.Total() }
