// Package entry implements the entry role: it receives packets from the network
// fabric, forwards each one to its backend server, serves the request gateway,
// and accepts the announcements of backend servers.
//
// Packet workers make forwarding decisions on their own (package flow).
// Everything else runs on one goroutine, the event loop: it applies the
// configuration that a control replica sends, drives the agent (package agent),
// which resolves the packets that workers could not decide, and stores this
// instance's shards of request claims.
//
// # Usage
//
//	e, err := entry.Start(ctx, entry.Config{Settings: settings, Log: log})
//	...
//	e.Shutdown(ctx) // graceful shutdown
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
	readHeaderTimeout    = 5 * time.Second
	idleTimeout          = 2 * time.Minute
	defaultShutdownGrace = time.Second
	queueSize            = 1 << 14 // of tasks and of queries
)

// Config configures an entry instance.
type Config struct {
	Settings conf.Entry
	Log      *logrus.Entry
}

// Entry is a running entry instance.
type Entry struct {
	cfg          Config
	log          *logrus.Entry
	self         model.Instance
	start        time.Time
	balancer     *flow.Balancer // the agent's
	gateway      *gate.Gateway
	tasks        chan func()
	queries      chan agent.Query
	dataPlane    *dataPlane
	counters     counters
	traffic      traffic
	control      *links.Client[proto.ToControl, proto.ToEntry]
	httpServers  []*http.Server
	cancel       context.CancelFunc
	ctx          context.Context
	goroutines   sync.WaitGroup
	shuttingDown atomic.Bool   // reported as not ready, so that the fabric stops sending
	leaving      atomic.Bool   // heartbeats ask the leader to end the membership
	applied      atomic.Uint64 // index of the applied state
	// evacuationRevision is the version of the evacuated zones that is in force.
	evacuationRevision atomic.Uint64

	// The fields below belong to the event loop.
	state                *state.State
	gatewayOpen          bool // the gateway has been given the state
	agent                *agent.Agent
	claims               *shard.Store[claim.Key, claim.Record]
	peers                map[model.InstanceID]peer
	lease                leaseTracker
	reported             reportedProgress
	prober               prober
	pendingClaims        map[uint64]*pendingClaim
	pendingAnnouncements map[uint64]func(proto.Announced)
	pendingRenewals      map[model.ServerID]bool
	lastRequestID        uint64
	ticks                uint64
}

// Start opens the endpoints and runs the instance until ctx ends or Shutdown is
// called. It returns an error if an endpoint cannot be opened.
func Start(ctx context.Context, cfg Config) (*Entry, error) {
	s := cfg.Settings
	e := &Entry{
		cfg: cfg, log: cfg.Log.WithField("instance", s.Name), start: time.Now(),
		self: model.Instance{
			ID: model.InstanceID(s.Name), Zone: s.Zone, Peer: s.Peer, Gateway: s.Gateway,
			Incarnation: uint64(time.Now().UnixNano()),
		},
		lastRequestID: proto.FirstID(),
		agent: agent.New(agent.Config{Self: model.InstanceID(s.Name), FirstID: proto.FirstID(), Limits: flow.Limits{
			MaxFlows: s.Limits.MaxFlows, MaxHalfOpen: s.Limits.MaxHalfOpen, Seed: rand.Uint64()}}),
		tasks:                make(chan func(), queueSize),
		queries:              make(chan agent.Query, queueSize),
		state:                state.New(),
		peers:                map[model.InstanceID]peer{},
		pendingClaims:        map[uint64]*pendingClaim{},
		pendingAnnouncements: map[uint64]func(proto.Announced){},
		pendingRenewals:      map[model.ServerID]bool{},
	}
	e.ctx, e.cancel = context.WithCancel(ctx)
	e.lease.init()
	e.balancer = e.agent.Balancer()
	e.newClaimStore()
	e.gateway = gate.New(gate.Config{
		Self: e.self.ID, Zone: s.Zone, MaxRequests: s.Limits.MaxRequests, MaxBodyBytes: s.Limits.MaxBodyBytes,
		Claim: e.claim, IsMember: e.isMember, Log: e.log,
	})
	if err := e.openEndpoints(); err != nil {
		e.cancel()
		e.closeHTTPServers()
		return nil, err
	}
	e.connectControl()
	e.run()
	e.log.WithField("packets", s.Packets).WithField("gateway", s.Gateway).Info("entryStarted")
	return e, nil
}

func (e *Entry) newClaimStore() {
	e.claims = shard.New(shard.Config[claim.Key, claim.Record]{
		Self: e.self.ID, FirstID: proto.FirstID(), ReplicationFactor: claimReplicas, Salt: "claim", ShardOf: claim.ShardOf, Decide: claim.Decide,
		Merge: claim.Merge, OnResponse: e.handleClaimResponse,
		Fenced: func() bool { return !e.balancer.HasLease(e.now()) },
	})
}

// claimReplicas is the number of replicas of a claim. With three, a claim
// survives the loss of two instances at once, and a second loss right after the
// first one has been repaired.
const claimReplicas = 3

func (e *Entry) openEndpoints() error {
	dataPlane, err := openDataPlane(e)
	if err != nil {
		return fmt.Errorf("open packet endpoint: %w", err)
	}
	e.dataPlane = dataPlane
	if err := e.serveHTTP(e.cfg.Settings.Gateway.String(), e.gateway); err != nil {
		dataPlane.close()
		return fmt.Errorf("open gateway endpoint: %w", err)
	}
	if err := e.serveHTTP(e.cfg.Settings.Peer.String(), e.peerRoutes()); err != nil {
		dataPlane.close()
		return fmt.Errorf("open peer endpoint: %w", err)
	}
	return nil
}

func (e *Entry) serveHTTP(addr string, h http.Handler) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout}
	e.httpServers = append(e.httpServers, s)
	go s.Serve(l)
	return nil
}

func (e *Entry) run() {
	e.goroutines.Add(1)
	go func() {
		defer e.goroutines.Done()
		e.loop()
	}()
	e.dataPlane.run(&e.goroutines)
}

// now returns the time since the instance started, in nanoseconds of the
// monotonic clock.
func (e *Entry) now() int64 { return int64(time.Since(e.start)) }

// Shutdown stops the instance gracefully. The instance reports itself as not
// ready and continues to forward packets for a grace period, so that the fabric
// can stop sending to it. It then finishes the requests in flight while it still
// holds its lease, leaves the membership, and keeps running for a moment so that
// the other instances can sync its records. Shutdown returns an error if ctx ends
// before the requests in flight have finished.
func (e *Entry) Shutdown(ctx context.Context) error {
	defer e.Close()
	e.shuttingDown.Store(true)
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
	e.post(e.sendHeartbeat)
	deadline := time.Now().Add(leaveTimeout)
	for e.isMember(e.self.ID) && time.Now().Before(deadline) && ctx.Err() == nil {
		timer.Sleep(ctx, leavePollInterval)
	}
	timer.Sleep(ctx, syncGracePeriod)
	e.log.Info("shutdownFinished")
	return nil
}

const (
	leaveTimeout      = 3 * time.Second
	leavePollInterval = 20 * time.Millisecond
	// syncGracePeriod is how long a former member continues to answer sync
	// requests.
	syncGracePeriod = 300 * time.Millisecond
)

// Close stops the instance immediately.
func (e *Entry) Close() {
	e.cancel()
	e.dataPlane.close()
	e.closeHTTPServers()
	e.goroutines.Wait()
}

func (e *Entry) closeHTTPServers() {
	for _, s := range e.httpServers {
		s.Close()
	}
}

// post schedules f on the event loop. It returns false if the instance has
// stopped.
func (e *Entry) post(f func()) bool {
	select {
	case e.tasks <- f:
		return true
	case <-e.ctx.Done():
		return false
	}
}

// callOnLoop runs f on the event loop and waits until it returns. It returns
// false if the instance has stopped.
func (e *Entry) callOnLoop(f func()) bool {
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
	e.callOnLoop(func() { _, member = e.state.Instance(id) })
	return member
}

// ControlBytes returns the payload bytes of control traffic sent and received so
// far: configuration, heartbeats, membership and flow records. Request claims are
// not included, because they are part of the cost of the requests.
func (e *Entry) ControlBytes() int64 { return e.traffic.control.Total() + e.traffic.records.Total() }
