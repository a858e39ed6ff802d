// Package ctrl implements the control role: one replica of the configuration log,
// the resource API, and the configuration feed of entry instances.
//
// A Replica runs the quorum state machine on one goroutine, the event loop: it
// makes the state machine's output durable, sends its messages, applies
// committed entries, and streams committed commands to the linked entry
// instances. All other goroutines access the replica through functions that
// they post to the loop.
//
// # Usage
//
//	r, err := ctrl.Start(ctx, ctrl.Config{Settings: settings, Log: log})
//	defer r.Close()
package ctrl

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"

	"boragepost/core/leader"
	"boragepost/core/model"
	"boragepost/core/quorum"
	"boragepost/core/state"
	"boragepost/io/conf"
	"boragepost/io/links"
	"boragepost/io/proto"
	"boragepost/io/store"
)

const (
	tickInterval         = 50 * time.Millisecond
	electionTicks        = 10
	heartbeatTicks       = 2
	defaultSnapshotEvery = 2000
	feedCapacity         = 4096
	submitTimeout        = 5 * time.Second
	taskQueueSize        = 4096
)

// The errors of Submit. After each of them the command may still take effect.
// Submitting it again with the same request identifier is safe.
var (
	ErrNoQuorum = errors.New("no leader with a quorum is reachable")
	ErrTimeout  = errors.New("the command was not confirmed in time")
	// ErrUnavailable means that this replica is stopping or cannot write to its disk.
	ErrUnavailable = errors.New("this replica is stopping or cannot write to its disk")
)

// Config configures a replica.
type Config struct {
	Settings conf.Control
	Log      *logrus.Entry
	// Now returns the Unix time in milliseconds. If nil, the system clock is read
	// once and advanced by the monotonic clock.
	Now func() int64
	// BeforeWrite, if set, is called before each write to disk, which fails with its
	// error. Tests inject full disks with it.
	BeforeWrite func() error
}

// Replica is a running control replica.
type Replica struct {
	cfg              Config
	log              *logrus.Entry
	node             *quorum.Node
	store            *store.Store
	retrier          store.Retrier
	state            *state.State
	reconciler       *leader.Reconciler
	tasks            chan func()
	peers            map[string]*links.Client[proto.ToReplica, proto.ToReplica]
	pendingProposals map[uint64]pendingProposal // by log index
	pendingForwards  map[uint64]func(proto.Reply)
	lastForwardID    uint64
	feed             feed
	applied          chan struct{} // closed and replaced when the state changes
	meter            links.Meter
	server           *http.Server
	cancel           context.CancelFunc
	stopped          chan struct{}
	start            time.Time
	elapsedTicks     uint64 // tick intervals since start
	fatalErr         error
}

// pendingProposal is a proposal whose log entry has not been applied yet. done
// is called with the result, or with nil if an entry of another term took the
// index.
type pendingProposal struct {
	term uint64
	done func(*model.Result)
}

// Start opens the data directory and runs a replica until ctx ends or Close is
// called. It returns an error if the directory or the endpoint cannot be opened.
func Start(ctx context.Context, cfg Config) (*Replica, error) {
	st, saved, err := store.Open(cfg.Settings.Data)
	if err != nil {
		return nil, fmt.Errorf("open data directory %s: %w", cfg.Settings.Data, err)
	}
	st.BeforeWrite = cfg.BeforeWrite
	r, err := newReplica(cfg, st, saved)
	if err != nil {
		st.Close()
		return nil, err
	}
	listener, err := net.Listen("tcp", cfg.Settings.Listen.String())
	if err != nil {
		st.Close()
		return nil, fmt.Errorf("listen for control links: %w", err)
	}
	ctx, r.cancel = context.WithCancel(ctx)
	for name, addr := range cfg.Settings.Replicas {
		if name != cfg.Settings.Name {
			r.peers[name] = links.NewClient(ctx, addr.String(), proto.ReplicaPath,
				links.Options[proto.ToReplica, proto.ToReplica]{Meter: &r.meter})
		}
	}
	r.server = &http.Server{Handler: r.routes(ctx), ReadHeaderTimeout: readHeaderTimeout}
	go r.server.Serve(listener)
	go r.run(ctx)
	r.log.WithField("listen", cfg.Settings.Listen).Info("controlStarted")
	return r, nil
}

const readHeaderTimeout = 5 * time.Second

func newReplica(cfg Config, st *store.Store, saved quorum.PersistentState) (*Replica, error) {
	if cfg.Settings.SnapshotEvery == 0 {
		cfg.Settings.SnapshotEvery = defaultSnapshotEvery
	}
	r := &Replica{
		cfg: cfg, log: cfg.Log.WithField("replica", cfg.Settings.Name), store: st,
		state: state.New(), tasks: make(chan func(), taskQueueSize),
		peers: map[string]*links.Client[proto.ToReplica, proto.ToReplica]{}, pendingProposals: map[uint64]pendingProposal{},
		pendingForwards: map[uint64]func(proto.Reply){}, applied: make(chan struct{}),
		stopped: make(chan struct{}), start: time.Now(), lastForwardID: proto.FirstID(),
	}
	if r.cfg.Now == nil {
		base := r.start.UnixMilli()
		r.cfg.Now = func() int64 { return base + time.Since(r.start).Milliseconds() }
	}
	if saved.Snapshot.Index > 0 {
		restored, err := state.Restore(saved.Snapshot.Data)
		if err != nil {
			return nil, fmt.Errorf("restore snapshot: %w", err)
		}
		r.state = restored
	}
	r.feed = newFeed(r.state.Index())
	// Entry instances turn to another replica.
	r.retrier = store.Retrier{Log: r.log, OnFailed: func() { r.feed.closeAll() }}
	var names []string
	for name := range cfg.Settings.Replicas {
		names = append(names, name)
	}
	r.node = quorum.New(quorum.Config{
		ID: cfg.Settings.Name, InitialVoters: names,
		ElectionTicks: electionTicks, HeartbeatTicks: heartbeatTicks, Rand: rand.IntN,
	}, saved)
	return r, nil
}

// Close stops the replica and waits until its data directory is closed. It
// returns the error that had stopped the replica before, if any.
func (r *Replica) Close() error {
	r.cancel()
	<-r.stopped
	return r.fatalErr
}

// Done returns a channel that is closed when the replica has stopped. A replica
// also stops on its own when its stored state cannot be decoded.
func (r *Replica) Done() <-chan struct{} { return r.stopped }

// post schedules f on the event loop. It returns false if the replica has
// stopped.
func (r *Replica) post(f func()) bool {
	select {
	case r.tasks <- f:
		return true
	case <-r.stopped:
		return false
	}
}

// callOnLoop runs f on the event loop and waits until it returns. It returns
// false if the replica has stopped, or if the event loop waits for the disk.
func (r *Replica) callOnLoop(f func()) bool {
	if r.retrier.Failing() {
		return false
	}
	done := make(chan struct{})
	if !r.post(func() { f(); close(done) }) {
		return false
	}
	select {
	case <-done:
		return true
	case <-r.stopped:
		return false
	}
}

func (r *Replica) run(ctx context.Context) {
	defer close(r.stopped)
	defer r.store.Close()
	defer r.server.Close()
	defer r.feed.closeAll()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-r.tasks:
			r.advanceClock()
			f()
			r.runQueuedTasks()
		case <-ticker.C:
			r.advanceClock()
			r.reconcile()
		}
		if err := r.processOutput(ctx); err != nil {
			if ctx.Err() != nil {
				return
			}
			r.fatalErr = err
			r.log.WithError(err).Error("controlDiskFailed")
			r.cancel()
			return
		}
	}
}

// runQueuedTasks runs all other queued tasks, so that a single sync covers them.
func (r *Replica) runQueuedTasks() {
	for i := 0; i < taskQueueSize; i++ {
		select {
		case f := <-r.tasks:
			f()
		default:
			return
		}
	}
}

// advanceClock advances the state machine's clock. It runs before any other
// input, so that the state machine also accounts for a pause of the process
// before it acts.
func (r *Replica) advanceClock() {
	elapsedTicks := uint64(r.now() / tickInterval)
	r.node.Tick(elapsedTicks - r.elapsedTicks)
	r.elapsedTicks = elapsedTicks
}

// reconcile proposes the commands that the reconciler returns if this replica
// is the leader.
func (r *Replica) reconcile() {
	if r.node.Role() != quorum.Leader {
		r.reconciler = nil
		return
	}
	if !r.node.HasLease() {
		return
	}
	if r.reconciler == nil {
		r.reconciler = leader.New(leader.Timing{
			InstanceLease: time.Duration(r.cfg.Settings.InstanceLease),
			ServerLease:   time.Duration(r.cfg.Settings.ServerLease),
		}, r.now())
		r.log.WithField("term", r.node.Term()).Info("leaderElected")
	}
	for _, c := range r.reconciler.Tick(r.now(), r.cfg.Now(), r.state) {
		r.propose(c, func(*model.Result) {})
	}
}

func (r *Replica) now() time.Duration { return time.Since(r.start) }

// processOutput processes the state machine's output until there is none left. While the
// disk cannot be written it waits, so that a failing leader is replaced by an election.
func (r *Replica) processOutput(ctx context.Context) error {
	for {
		out := r.node.TakeOutput()
		if err := r.persist(ctx, out); err != nil {
			return err
		}
		for _, m := range out.Messages {
			r.peers[m.To].Send(proto.ToReplica{Quorum: &m})
		}
		if len(out.Committed) == 0 && out.Snapshot == nil {
			return nil
		}
		if err := r.apply(ctx, out.Committed); err != nil {
			return err
		}
	}
}

func (r *Replica) persist(ctx context.Context, out quorum.Output) error {
	saved := r.retrier.Write(ctx, func() error {
		if out.Snapshot == nil {
			return r.store.Save(out.HardState, out.Append)
		}
		return r.store.SaveSnapshot(*out.Snapshot, r.node.HardState(), r.node.Tail())
	})
	if !saved {
		return ctx.Err()
	}
	if out.Snapshot == nil {
		return nil
	}
	restored, err := state.Restore(out.Snapshot.Data)
	if err != nil {
		return fmt.Errorf("install snapshot: %w", err)
	}
	former := r.state.EvacuationVersion()
	r.state = restored
	r.logEvacuations(former)
	r.feed.closeAll()
	r.feed = newFeed(restored.Index())
	r.notifyApplied()
	r.log.WithField("index", restored.Index()).Info("snapshotInstalled")
	return nil
}

// notifyApplied wakes the reads and watches that wait for a newer state.
func (r *Replica) notifyApplied() {
	close(r.applied)
	r.applied = make(chan struct{})
}

func (r *Replica) apply(ctx context.Context, entries []quorum.Entry) error {
	for _, e := range entries {
		var c model.Command
		if len(e.Data) > 0 {
			if err := cbor.Unmarshal(e.Data, &c); err != nil {
				return fmt.Errorf("decode command at index %d: %w", e.Index, err)
			}
		}
		former := r.state.EvacuationVersion()
		result := r.state.Apply(e.Index, c)
		r.logEvacuations(former)
		if result.Replayed {
			// Entry instances do not store results, so they would apply the
			// duplicate again.
			c = model.Command{}
		}
		r.feed.add(proto.Applied{Index: e.Index, Command: c})
		r.resolveProposal(e, result)
	}
	if len(entries) > 0 {
		r.feed.push()
		r.notifyApplied()
	}
	return r.snapshotIfDue(ctx)
}

// logEvacuations logs the set of evacuated zones if its revision is not the former one.
func (r *Replica) logEvacuations(former uint64) {
	if revision := r.state.EvacuationVersion(); revision != former {
		r.log.WithFields(logrus.Fields{"revision": revision, "former": former, "zones": r.state.EvacuatedZones()}).
			Info("evacuationInForce")
	}
}

func (r *Replica) resolveProposal(e quorum.Entry, result model.Result) {
	proposal, ok := r.pendingProposals[e.Index]
	if !ok {
		return
	}
	delete(r.pendingProposals, e.Index)
	if proposal.term != e.Term {
		proposal.done(nil)
		return
	}
	proposal.done(&result)
}

func (r *Replica) snapshotIfDue(ctx context.Context) error {
	if len(r.node.Tail()) < r.cfg.Settings.SnapshotEvery {
		return nil
	}
	data, err := r.state.Snapshot()
	if err != nil {
		return err
	}
	snap := r.node.Compact(r.state.Index(), data)
	if !r.retrier.Write(ctx, func() error { return r.store.SaveSnapshot(snap, r.node.HardState(), r.node.Tail()) }) {
		return ctx.Err()
	}
	r.log.WithField("index", snap.Index).Info("snapshotSaved")
	return nil
}

// propose appends a command to the log. It must run on the event loop. done is
// called with nil if the command cannot be proposed or its entry is overwritten.
func (r *Replica) propose(c model.Command, done func(*model.Result)) {
	if c.Time == 0 {
		c.Time = r.cfg.Now()
	}
	data, err := cbor.Marshal(c)
	if err != nil {
		done(nil)
		return
	}
	index, term, ok := r.node.Propose(data)
	if !ok {
		done(nil)
		return
	}
	if previous, taken := r.pendingProposals[index]; taken {
		previous.done(nil)
	}
	r.pendingProposals[index] = pendingProposal{term: term, done: done}
}
