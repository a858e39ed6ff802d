// Package plane is the control role for networks that carry a flow cookie: a
// replica of the agreed configuration, and a holder of the roster of backend
// servers.
//
// The configuration, and the set of replicas itself, are agreed by a quorum and
// synced to disk before they are acknowledged (package core/quorum). The roster
// is soft state (package core/roster): any replica takes announcements without
// the quorum and without its disk, and tells the others and the entry instances
// that are linked to it.
//
// One goroutine, the loop, runs the quorum node, and waits for the disk. The
// roster has a lock of its own, so that an announcement never waits for a disk.
//
// Replicas find each other from the addresses of a few seeds. The founders, who
// start with empty disks and are told so, are the seeds; whoever starts later
// with an empty disk joins under a new identifier and votes when it has caught
// up.
//
// # Usage
//
//	r, err := plane.Start(ctx, plane.Config{Listen: addr, Seeds: seeds, Data: dir, Log: log})
//	err = r.Offer(ctx, configuration)      // acknowledged when in force
//	c, err := r.Newest(ctx)                // proved to be the newest
//	err = r.Announce(ctx, server)          // from a backend server
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
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"

	"boragepost/core/config"
	"boragepost/core/quorum"
	"boragepost/io/links"
	"boragepost/io/proto"
	"boragepost/io/store"
	"boragepost/io/timer"
)

const (
	tickInterval = 50 * time.Millisecond
	// electionTicks times tickInterval, 500 ms, is five heartbeats, so that a
	// leader whose packets are retransmitted once keeps its office.
	electionTicks  = 10
	heartbeatTicks = 2
	// joinInterval is how often a replica without a leader asks to join.
	joinInterval = 500 * time.Millisecond
	// diskRetry is the pause before a failed write is tried again.
	diskRetry = 200 * time.Millisecond
	// contactTimeout is how long the loop may be silent before the replica counts
	// as out of contact: twice the shortest election timeout.
	contactTimeout = 2 * electionTicks * tickInterval
	postQueue      = 4096

	// A snapshot replaces the log when it has grown past either limit; both are
	// small against a disk of 100 MB.
	snapshotEntries = 512
	snapshotBytes   = 4 << 20
)

// The errors of calls that need other replicas. A caller may try again, here or
// at another replica.
var (
	// ErrNoQuorum says that no quorum has confirmed the call in time.
	ErrNoQuorum = errors.New("no quorum of control replicas has confirmed this in time")
	// ErrStopped says that this replica is stopping.
	ErrStopped = errors.New("the control replica is stopping")
)

// Config is what a replica needs to run.
type Config struct {
	// Listen is the address for links; replicas and entry instances reach this
	// replica there, so it must not be a wildcard.
	Listen netip.AddrPort
	// Bind is the address to listen at, if something stands between; zero is
	// Listen itself.
	Bind netip.AddrPort
	// Seeds are link addresses of some replicas.
	Seeds []netip.AddrPort
	// Bootstrap makes the replica a founder if its data folder is empty and it is
	// one of the seeds.
	Bootstrap bool
	Data      string
	// FaultTolerance is the number of disks that may be lost together.
	FaultTolerance int
	// VoterTimeout is the silence after which a voter may be dropped.
	VoterTimeout time.Duration
	// ServerTimeout is the silence after which a backend server counts as lost.
	ServerTimeout time.Duration
	Log           *logrus.Entry
}

// Replica is one running control replica.
type Replica struct {
	cfg      Config
	log      *logrus.Entry
	id       string
	node     *quorum.Node
	store    *store.Store
	held     config.State // of the loop
	current  atomic.Pointer[config.Configuration]
	registry registry
	outliers outliers
	mesh     mesh
	counters *counters
	posts    chan func()
	offered  uint64 // highest version that this leader has in its log
	term     uint64 // term of offered
	reads    []read
	asked    map[uint64]func(index uint64) // reads that wait for the leader
	awaited  []awaited
	readID   uint64
	joinedAt time.Duration
	changed  chan struct{} // closed and replaced when current changes
	contact  atomic.Int64  // time of the latest contact with the leader
	meter    links.Meter
	server   *http.Server
	ctx      context.Context
	cancel   context.CancelFunc
	stopped  chan struct{}
	start    time.Duration
	ticks    uint64
	failing  bool // the latest write failed
	// leader and leaderTerm are those that were last logged.
	leader     string
	leaderTerm uint64
}

// Start opens the data folder and runs a replica until ctx ends or Close is
// called. It returns an error when the folder or the address cannot be opened.
func Start(ctx context.Context, cfg Config) (*Replica, error) {
	st, saved, err := store.Open(cfg.Data)
	if err != nil {
		return nil, fmt.Errorf("open data folder %s: %w", cfg.Data, err)
	}
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
	go r.registry.run(r.ctx)
	go r.registry.checkpoint(r.ctx)
	r.log.WithField("listen", cfg.Listen).WithField("version", r.held.Configuration.Version).
		WithField("peers", r.node.Voters()).Info("controlStarted")
	return r, nil
}

func newReplica(ctx context.Context, cfg Config, st *store.Store, saved quorum.PersistentState) (*Replica, error) {
	identity, err := identify(cfg, st)
	if err != nil {
		return nil, err
	}
	r := &Replica{
		cfg: cfg, id: identity.ID, store: st, posts: make(chan func(), postQueue),
		asked: map[uint64]func(uint64){}, changed: make(chan struct{}),
		stopped: make(chan struct{}), start: timer.SinceBoot(),
	}
	r.log = cfg.Log.WithField("replica", r.id)
	r.ctx, r.cancel = context.WithCancel(ctx)
	if saved.Snapshot.Index > 0 {
		if err := cbor.Unmarshal(saved.Snapshot.Data, &r.held); err != nil {
			return nil, fmt.Errorf("restore snapshot: %w", err)
		}
	}
	r.current.Store(&r.held.Configuration)
	r.node = quorum.New(quorum.Config{
		ID: r.id, InitialVoters: identity.InitialVoters, DynamicMembership: true,
		MembershipLimits: quorum.MembershipLimits{MinVoters: 2*cfg.FaultTolerance + 1, VoterTimeoutTicks: uint64(cfg.VoterTimeout / tickInterval)},
		ElectionTicks:    electionTicks, HeartbeatTicks: heartbeatTicks, Rand: rand.IntN,
	}, saved)
	r.contact.Store(-int64(contactTimeout))
	r.counters = newCounters(r)
	r.mesh.init(r)
	r.registry.init(r)
	r.outliers.r = r
	return r, nil
}

// identify returns the identity of the data folder, and gives it one at its
// first use.
func identify(cfg Config, st *store.Store) (store.Identity, error) {
	identity, found, err := st.Identity()
	if err != nil {
		return identity, err
	}
	address := cfg.Listen.String()
	if found && quorum.AddressOf(identity.ID) == address {
		return identity, nil
	}
	founder := cfg.Bootstrap && !found && slices.Contains(cfg.Seeds, cfg.Listen)
	if founder {
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

// Close stops the replica and waits until its data folder is closed.
func (r *Replica) Close() error {
	r.cancel()
	<-r.stopped
	return nil
}

// Propose puts a configuration into force unless an equal or higher version is in
// force already, and returns once the outcome is durable. It returns ErrNoQuorum
// when that cannot be confirmed before ctx ends; the configuration may still come
// into force then, and offering it again is safe.
func (r *Replica) Propose(ctx context.Context, c config.Configuration) error {
	start := r.now()
	err := r.offerUntilHeld(ctx, c)
	r.counters.offers.WithLabelValues(outcome(err)).Inc()
	r.counters.offerSeconds.Observe((r.now() - start).Seconds())
	return err
}

func (r *Replica) offerUntilHeld(ctx context.Context, c config.Configuration) error {
	retry := time.NewTicker(offerRetry)
	defer retry.Stop()
	for {
		var changed chan struct{}
		done := false
		if !r.read(ctx, func() {
			changed = r.changed
			done = r.held.Configuration.Version >= c.Version
			if !done {
				r.offer(c)
			}
		}) {
			return ErrNoQuorum
		}
		if done {
			return nil
		}
		select {
		case <-changed:
		case <-retry.C:
		case <-ctx.Done():
			return ErrNoQuorum
		}
	}
}

// offerRetry is how often an offer is repeated while there is no outcome: about
// how long an election takes.
const offerRetry = 250 * time.Millisecond

// offer proposes a configuration here or sends it to the leader.
func (r *Replica) offer(c config.Configuration) {
	if r.node.Role() != quorum.Leader {
		r.mesh.send(r.node.Leader(), proto.ToPlane{Proposal: &c})
		return
	}
	if r.term != r.node.Term() {
		r.term, r.offered = r.node.Term(), 0
	}
	if c.Version <= r.offered || c.Version <= r.held.Configuration.Version {
		return
	}
	data, err := cbor.Marshal(c)
	if err != nil {
		r.log.WithError(err).WithField("version", c.Version).Error("configurationNotEncoded")
		return
	}
	r.offered = c.Version
	r.node.Propose(data)
}

// Current returns the configuration that this replica knows to be in force,
// which may not be the newest.
func (r *Replica) Current() config.Configuration { return *r.current.Load() }

// InContact reports whether the replica leads with a quorum or hears a leader.
func (r *Replica) InContact() bool {
	return r.now()-time.Duration(r.contact.Load()) < contactTimeout
}

func (r *Replica) now() time.Duration { return timer.SinceBoot() - r.start }

// post runs f on the loop. It reports false when ctx ends or the replica stops
// before the loop has taken it.
func (r *Replica) post(ctx context.Context, f func()) bool {
	select {
	case r.posts <- f:
		return true
	case <-ctx.Done():
		return false
	case <-r.stopped:
		return false
	}
}

// read runs f on the loop and waits for it. When it reports false f may still
// run later.
func (r *Replica) read(ctx context.Context, f func()) bool {
	done := make(chan struct{})
	if !r.post(ctx, func() { f(); close(done) }) {
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
		// A newcomer knows no voters yet, and has to answer this one.
		out = append(out, quorum.AddressOf(leader))
	}
	return out
}
