// Package plane implements the control role for networks that carry a flow cookie. A
// replica replicates the configuration and the evacuated zones by consensus and keeps
// the roster of backend servers.
//
// The configuration, the evacuated zones and the set of voters are committed by a quorum and synced to
// disk before they are acknowledged (package core/quorum). The roster is soft state
// (package core/roster): any replica records announcements without the quorum and
// without its disk, and sends the changes to the other replicas and to the entry
// instances that subscribe to it.
//
// One goroutine, the event loop, runs the quorum node and waits for the disk. The
// roster has a lock of its own, so that an announcement never waits for a disk.
//
// Replicas discover each other through the addresses of a few seeds. The seeds are
// also the initial voters: they start with empty disks and Config.Bootstrap. A
// replica that starts later with an empty disk joins under a new identifier and
// votes once it has caught up.
//
// # Usage
//
//	r, err := plane.Start(ctx, plane.Config{Listen: addr, Seeds: seeds, Data: dir, Log: log})
//	err = r.Propose(ctx, configuration)    // returns when it is committed and applied
//	c, err := r.ReadLatest(ctx)            // linearizable read
//	err = r.Evacuate(ctx, zone, true)      // returns when it is committed and applied
//	err = r.Announce(ctx, server)          // from a backend server
//	err = r.Leave(ctx)                     // before a planned stop
//	err = r.Close()
package plane

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"

	"boragepost/core/cold"
	"boragepost/core/config"
	"boragepost/core/quorum"
	"boragepost/io/links"
	"boragepost/io/proto"
	"boragepost/io/store"
	"boragepost/io/timer"
)

const (
	tickInterval = 50 * time.Millisecond
	// electionTicks times tickInterval, 500 ms, is five heartbeats, so that one
	// retransmission of a leader's packets does not cause an election.
	electionTicks  = 10
	heartbeatTicks = 2
	// joinInterval is how often a replica that is not a voter, or has no contact with
	// a leader, asks to join.
	joinInterval = 500 * time.Millisecond
	// contactTimeout is how long the event loop may go without recording contact with
	// a leader before InContact reports false: twice the shortest election timeout.
	contactTimeout = 2 * electionTicks * tickInterval
	taskQueueLen   = 4096

	// A snapshot replaces the log when it has grown past either limit. Both are
	// small compared with a disk of 100 MB.
	snapshotEntries = 512
	snapshotBytes   = 4 << 20
)

// Errors of calls that depend on other replicas. A caller may retry at this or
// another replica.
var (
	// ErrNoQuorum means that no quorum has confirmed the call in time.
	ErrNoQuorum = errors.New("no quorum of control replicas has confirmed this in time")
	// ErrStopped means that this replica is stopping.
	ErrStopped = errors.New("the control replica is stopping")
)

// Config configures a control replica.
type Config struct {
	// Listen is the address at which replicas and entry instances reach this
	// replica, so it must not be a wildcard.
	Listen netip.AddrPort
	// Bind is the address to listen on if it differs from Listen, for example
	// behind a proxy or address translation. Zero means Listen.
	Bind netip.AddrPort
	// Seeds are link addresses of replicas, from which the others are discovered.
	Seeds []netip.AddrPort
	// Zone is the availability zone of the replica, or "" if that is unknown.
	Zone string
	// Bootstrap makes the replica an initial voter if its data directory is empty and
	// it is one of the seeds.
	Bootstrap bool
	Data      string
	// FaultTolerance is the number of disks that may be lost at the same time.
	FaultTolerance int
	// VoterTimeout is how long a voter may be silent before it may be removed.
	VoterTimeout time.Duration
	// ServerTimeout is how long a backend server may go without an announcement
	// before it is marked as silent.
	ServerTimeout time.Duration
	// ColdBound is the limit for cold backend servers that the entry instances keep. If
	// it is not set, no grants are made.
	ColdBound cold.Bound
	// BeforeWrite, if set, is called before each write to disk, which fails with its
	// error. Tests inject full disks with it.
	BeforeWrite func() error
	Log         *logrus.Entry
}

// Replica is one running control replica.
type Replica struct {
	cfg             Config
	log             *logrus.Entry
	id              string
	node            *quorum.Node
	store           *store.Store
	retrier         store.Retrier
	state           config.State // used by the event loop only
	current         atomic.Pointer[config.Configuration]
	evacuations     atomic.Pointer[config.Evacuations]
	registry        registry
	outliers        outliers
	granter         granter
	mesh            mesh
	counters        *counters
	tasks           chan func()
	proposedVersion uint64 // highest version that this replica has proposed in proposedTerm
	proposedTerm    uint64
	pendingReads    []readRequest                 // await a round of acknowledgements
	forwardedReads  map[uint64]func(index uint64) // callbacks of reads sent to the leader, by identifier
	applyWaiters    []applyWaiter
	readID          uint64 // of the latest read, counted from proto.FirstID
	joinSentAt      time.Duration
	configChanged   chan struct{} // closed and replaced when current changes
	// evacuationsChanged is closed and replaced when the evacuated zones change, and
	// evacuationWaiters are the orders that wait for that.
	evacuationsChanged chan struct{}
	evacuationWaiters  []*evacuationWaiter
	contactAt          atomic.Int64 // time of the latest contact with the leader
	meter              links.Meter
	server             *http.Server
	ctx                context.Context
	cancel             context.CancelFunc
	stopped            chan struct{}
	diskWriterDone     sync.WaitGroup
	start              time.Duration
	ticks              uint64
	// caughtUp is set when the log is applied up to what was committed before the start.
	caughtUp bool
	// loggedLeader and loggedTerm are the leader and the term that were logged last.
	loggedLeader string
	loggedTerm   uint64
}

// Start opens the data directory and runs a replica until ctx ends or Close is
// called. It returns an error when it cannot open the directory or listen on the
// address.
func Start(ctx context.Context, cfg Config) (*Replica, error) {
	st, saved, err := store.Open(cfg.Data)
	if err != nil {
		return nil, fmt.Errorf("open data directory %s: %w", cfg.Data, err)
	}
	st.BeforeWrite = cfg.BeforeWrite
	r, err := newReplica(ctx, cfg, st, saved)
	if err != nil {
		st.Close()
		return nil, err
	}
	mux := http.NewServeMux()
	mux.Handle(proto.PlanePath, links.HeartbeatHandler(r.ctx, &r.meter, proto.LinkHeartbeat, r.servePlane))
	mux.Handle(proto.RelayPath, r.registry.hub.Handler(r.ctx, &r.meter))
	r.server, err = links.Serve(cmp.Or(cfg.Bind, cfg.Listen), mux)
	if err != nil {
		r.cancel()
		st.Close()
		return nil, fmt.Errorf("serve links: %w", err)
	}
	r.mesh.link(r.knownAddresses())
	go r.run()
	go r.publishWhenCaughtUp()
	go r.registry.run(r.ctx)
	r.diskWriterDone.Go(func() { (&diskWriter{g: &r.registry}).run(r.ctx) })
	r.log.WithField("listen", cfg.Listen).WithField("version", r.state.Configuration.Version).
		WithField("peers", r.node.Voters()).Info("controlStarted")
	return r, nil
}

func newReplica(ctx context.Context, cfg Config, st *store.Store, saved quorum.PersistentState) (*Replica, error) {
	identity, err := loadIdentity(cfg, st)
	if err != nil {
		return nil, err
	}
	r := &Replica{
		cfg: cfg, id: identity.ID, store: st, tasks: make(chan func(), taskQueueLen),
		forwardedReads: map[uint64]func(uint64){}, configChanged: make(chan struct{}), evacuationsChanged: make(chan struct{}),
		stopped: make(chan struct{}), start: timer.SinceBoot(), readID: proto.FirstID(),
	}
	r.log = cfg.Log.WithField("replica", r.id)
	r.retrier.Log = r.log
	r.ctx, r.cancel = context.WithCancel(ctx)
	if saved.Snapshot.Index > 0 {
		if err := cbor.Unmarshal(saved.Snapshot.Data, &r.state); err != nil {
			return nil, fmt.Errorf("restore snapshot: %w", err)
		}
	}
	r.storeCurrent()
	evacuations := r.state.Evacuations
	r.evacuations.Store(&evacuations)
	r.node = quorum.New(quorum.Config{
		ID: r.id, InitialVoters: identity.InitialVoters, DynamicMembership: true,
		MembershipLimits: quorum.MembershipLimits{MinVoters: 2*cfg.FaultTolerance + 1, VoterTimeoutTicks: uint64(cfg.VoterTimeout / tickInterval)},
		ElectionTicks:    electionTicks, HeartbeatTicks: heartbeatTicks, Rand: rand.IntN,
	}, saved)
	r.contactAt.Store(-int64(contactTimeout))
	r.counters = newCounters(r)
	r.counters.evacuated.Set(evacuations.Zones)
	r.mesh.init(r)
	r.registry.init(r)
	r.outliers.r = r
	r.granter.init(r)
	return r, nil
}

// loadIdentity returns the identity in the data directory. It creates one if there is
// none, or if the stored one belongs to another address.
func loadIdentity(cfg Config, st *store.Store) (store.Identity, error) {
	identity, found, err := st.Identity()
	if err != nil {
		return identity, err
	}
	address := cfg.Listen.String()
	if found && quorum.AddressOf(identity.ID) == address {
		return identity, nil
	}
	bootstrap := cfg.Bootstrap && !found && slices.Contains(cfg.Seeds, cfg.Listen)
	if bootstrap {
		identity = store.Identity{ID: quorum.MakeID(address, "")}
		for _, s := range cfg.Seeds {
			identity.InitialVoters = append(identity.InitialVoters, quorum.MakeID(s.String(), ""))
		}
	} else {
		identity = store.Identity{ID: quorum.MakeID(address, fmt.Sprintf("%08x", rand.Uint32()))}
	}
	if err := st.SaveIdentity(identity); err != nil {
		return identity, err
	}
	return identity, nil
}

// Close stops the replica and waits until its data directory is closed.
func (r *Replica) Close() error {
	r.cancel()
	<-r.stopped
	return nil
}

// Propose commits a configuration unless an equal or higher version is in force,
// and returns once an equal or higher version is committed, hence durable, and
// applied here. It returns ErrNoQuorum when this does not happen before ctx ends.
// The configuration may still come into force after that; proposing it again is
// safe.
func (r *Replica) Propose(ctx context.Context, c config.Configuration) error {
	start := r.now()
	err := r.proposeUntilApplied(ctx, c)
	r.counters.proposals.WithLabelValues(outcome(err)).Inc()
	r.counters.proposeSeconds.Observe((r.now() - start).Seconds())
	return err
}

func (r *Replica) proposeUntilApplied(ctx context.Context, c config.Configuration) error {
	retry := time.NewTicker(proposeRetryInterval)
	defer retry.Stop()
	for {
		var configChanged chan struct{}
		done := false
		if !r.runOnLoop(ctx, func() {
			configChanged = r.configChanged
			done = r.state.Configuration.Version >= c.Version
			if !done {
				r.proposeOrForward(c)
			}
		}) {
			return ErrNoQuorum
		}
		if done {
			return nil
		}
		select {
		case <-configChanged:
		case <-retry.C:
		case <-ctx.Done():
			return ErrNoQuorum
		}
	}
}

// proposeRetryInterval is how often a proposal is repeated while it is not
// committed: about the duration of an election.
const proposeRetryInterval = 250 * time.Millisecond

// proposeOrForward appends a configuration to the log if this replica leads, and
// otherwise sends it to the leader.
func (r *Replica) proposeOrForward(c config.Configuration) {
	if r.node.Role() != quorum.Leader {
		r.mesh.send(r.node.Leader(), proto.ToPlane{Proposal: &c})
		return
	}
	if r.proposedTerm != r.node.Term() {
		r.proposedTerm, r.proposedVersion = r.node.Term(), 0
	}
	if c.Version <= r.proposedVersion || c.Version <= r.state.Configuration.Version {
		return
	}
	data, err := cbor.Marshal(config.Command{Configuration: c})
	if err != nil {
		r.log.WithError(err).WithField("version", c.Version).Error("configurationNotEncoded")
		return
	}
	r.proposedVersion = c.Version
	r.node.Propose(data)
}

// Current returns the configuration that this replica has applied, which may be
// out of date.
func (r *Replica) Current() config.Configuration { return *r.current.Load() }

// storeCurrent publishes a copy of the configuration, since the event loop overwrites
// its own.
func (r *Replica) storeCurrent() {
	c := r.state.Configuration
	r.current.Store(&c)
}

// InContact reports whether the replica leads with a quorum or has recently heard
// from a leader.
func (r *Replica) InContact() bool {
	return r.now()-time.Duration(r.contactAt.Load()) < contactTimeout
}

func (r *Replica) now() time.Duration { return timer.SinceBoot() - r.start }

// enqueue queues f for the event loop. It reports false when ctx ends or the
// replica stops before f is queued.
func (r *Replica) enqueue(ctx context.Context, f func()) bool {
	select {
	case r.tasks <- f:
		return true
	case <-ctx.Done():
		return false
	case <-r.stopped:
		return false
	}
}

// runOnLoop runs f on the event loop and waits for it. When it reports false f may
// still run later.
func (r *Replica) runOnLoop(ctx context.Context, f func()) bool {
	done := make(chan struct{})
	if !r.enqueue(ctx, func() { f(); close(done) }) {
		return false
	}
	select {
	case <-done:
		return true
	case <-ctx.Done():
		return false
	case <-r.stopped:
		return false
	}
}

func (r *Replica) knownAddresses() []string {
	var out []string
	for _, s := range r.cfg.Seeds {
		out = append(out, s.String())
	}
	for _, id := range r.node.Voters() {
		out = append(out, quorum.AddressOf(id))
	}
	if leader := r.node.Leader(); leader != "" {
		// A joining replica knows no voters yet, and must be able to answer the
		// leader.
		out = append(out, quorum.AddressOf(leader))
	}
	return out
}
