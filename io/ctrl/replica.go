// Package ctrl is the control role: one replica of the configuration log, the
// resource API, and the source of configuration for entry instances.
//
// A Replica runs the quorum state machine on one goroutine: it makes the
// machine's output durable, sends its messages, applies what was committed, and
// feeds committed commands to the linked entry instances. All other goroutines
// reach it through functions that they post.
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
	feedLength           = 4096
	submitTimeout        = 5 * time.Second
	postQueue            = 4096
)

// The errors of Submit. Both leave open whether the command will take effect; a
// resend with the same request identifier is safe.
var (
	ErrNoQuorum = errors.New("no leader with a quorum is reachable")
	ErrTimeout  = errors.New("the command was not confirmed in time")
)

// Config is what a replica needs to run.
type Config struct {
	Settings conf.Control
	Log      *logrus.Entry
	// Now returns the Unix time in milliseconds. Nil reads the system clock
	// once and then follows the monotonic clock.
	Now func() int64
}

// Replica is one running control replica.
type Replica struct {
	cfg     Config
	log     *logrus.Entry
	node    *quorum.Node
	store   *store.Store
	state   *state.State
	duties  *leader.Reconciler
	posts   chan func()
	peers   map[string]*links.Client[proto.ToReplica, proto.ToReplica]
	waiting map[uint64]waiter // by log index
	replies map[uint64]func(proto.Reply)
	replyID uint64
	feed    feed
	changed chan struct{} // closed and replaced after each apply
	meter   links.Meter
	server  *http.Server
	cancel  context.CancelFunc
	stopped chan struct{}
	start   time.Time
	ticks   uint64 // tick intervals since start
	failure error
}

// waiter is called with the result of the entry at its index, or without one
// when another entry took that index.
type waiter struct {
	term uint64
	done func(*model.Result)
}

// Start opens the data folder and runs a replica until ctx ends or Close is
// called. It returns an error when the folder or the endpoint cannot be opened.
func Start(ctx context.Context, cfg Config) (*Replica, error) {
	st, saved, err := store.Open(cfg.Settings.Data)
	if err != nil {
		return nil, fmt.Errorf("open data folder %s: %w", cfg.Settings.Data, err)
	}
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
	r.server = &http.Server{Handler: r.routes(ctx), ReadHeaderTimeout: headerTimeout}
	go r.server.Serve(listener)
	go r.run(ctx)
	r.log.WithField("listen", cfg.Settings.Listen).Info("controlStarted")
	return r, nil
}

const headerTimeout = 5 * time.Second

func newReplica(cfg Config, st *store.Store, saved quorum.PersistentState) (*Replica, error) {
	if cfg.Settings.SnapshotEvery == 0 {
		cfg.Settings.SnapshotEvery = defaultSnapshotEvery
	}
	r := &Replica{
		cfg: cfg, log: cfg.Log.WithField("replica", cfg.Settings.Name), store: st,
		state: state.New(), posts: make(chan func(), postQueue),
		peers: map[string]*links.Client[proto.ToReplica, proto.ToReplica]{}, waiting: map[uint64]waiter{},
		replies: map[uint64]func(proto.Reply){}, changed: make(chan struct{}),
		stopped: make(chan struct{}), start: time.Now(),
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

// Close stops the replica and waits until its data folder is closed.
func (r *Replica) Close() error {
	r.cancel()
	<-r.stopped
	return r.failure
}

// Done is closed when the replica has stopped, which it also does by itself
// when its disk fails.
func (r *Replica) Done() <-chan struct{} { return r.stopped }

// post runs f on the replica's goroutine. It reports false when the replica has
// stopped.
func (r *Replica) post(f func()) bool {
	select {
	case r.posts <- f:
		return true
	case <-r.stopped:
		return false
	}
}

// read runs f on the replica's goroutine and waits for it.
func (r *Replica) read(f func()) bool {
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
		case f := <-r.posts:
			r.passTime()
			f()
			r.drainPosts()
		case <-ticker.C:
			r.passTime()
			r.lead()
		}
		if err := r.flush(); err != nil {
			r.failure = err
			r.log.WithError(err).Error("controlDiskFailed")
			r.cancel()
			return
		}
	}
}

// drainPosts runs what else has been posted, so that one sync serves all of it.
func (r *Replica) drainPosts() {
	for i := 0; i < postQueue; i++ {
		select {
		case f := <-r.posts:
			f()
		default:
			return
		}
	}
}

// passTime tells the state machine how much time has passed, also across a pause
// of the process, before it acts on anything.
func (r *Replica) passTime() {
	ticks := uint64(r.now() / tickInterval)
	r.node.Tick(ticks - r.ticks)
	r.ticks = ticks
}

// lead does the leader's own work.
func (r *Replica) lead() {
	if r.node.Role() != quorum.Leader {
		r.duties = nil
		return
	}
	if !r.node.HasLease() {
		return
	}
	if r.duties == nil {
		r.duties = leader.New(leader.Timing{
			InstanceLease: time.Duration(r.cfg.Settings.InstanceLease),
			ServerLease:   time.Duration(r.cfg.Settings.ServerLease),
		}, r.now())
		r.log.WithField("term", r.node.Term()).Info("leaderElected")
	}
	for _, c := range r.duties.Tick(r.now(), r.cfg.Now(), r.state) {
		r.propose(c, func(*model.Result) {})
	}
}

func (r *Replica) now() time.Duration { return time.Since(r.start) }

// flush carries out the state machine's output until there is none left.
func (r *Replica) flush() error {
	for {
		out := r.node.TakeOutput()
		if err := r.persist(out); err != nil {
			return err
		}
		for _, m := range out.Messages {
			r.peers[m.To].Send(proto.ToReplica{Quorum: &m})
		}
		if len(out.Committed) == 0 && out.Snapshot == nil {
			return nil
		}
		if err := r.apply(out.Committed); err != nil {
			return err
		}
	}
}

func (r *Replica) persist(out quorum.Output) error {
	if out.Snapshot == nil {
		return r.store.Save(out.HardState, out.Append)
	}
	if err := r.store.SaveSnapshot(*out.Snapshot, r.node.HardState(), r.node.Tail()); err != nil {
		return fmt.Errorf("install snapshot: %w", err)
	}
	restored, err := state.Restore(out.Snapshot.Data)
	if err != nil {
		return fmt.Errorf("install snapshot: %w", err)
	}
	r.state = restored
	r.feed.closeAll()
	r.feed = newFeed(restored.Index())
	r.log.WithField("index", restored.Index()).Info("snapshotInstalled")
	return nil
}

func (r *Replica) apply(entries []quorum.Entry) error {
	for _, e := range entries {
		var c model.Command
		if len(e.Data) > 0 {
			if err := cbor.Unmarshal(e.Data, &c); err != nil {
				return fmt.Errorf("decode command at index %d: %w", e.Index, err)
			}
		}
		result := r.state.Apply(e.Index, c)
		if result.Replayed {
			// Entry instances do not remember results and must not run it again.
			c = model.Command{}
		}
		r.feed.add(proto.Applied{Index: e.Index, Command: c})
		r.answer(e, result)
	}
	if len(entries) > 0 {
		r.feed.push()
		close(r.changed)
		r.changed = make(chan struct{})
	}
	return r.maybeSnapshot()
}

func (r *Replica) answer(e quorum.Entry, result model.Result) {
	w, ok := r.waiting[e.Index]
	if !ok {
		return
	}
	delete(r.waiting, e.Index)
	if w.term != e.Term {
		w.done(nil)
		return
	}
	w.done(&result)
}

func (r *Replica) maybeSnapshot() error {
	if len(r.node.Tail()) < r.cfg.Settings.SnapshotEvery {
		return nil
	}
	data, err := r.state.Snapshot()
	if err != nil {
		return err
	}
	snap := r.node.Compact(r.state.Index(), data)
	if err := r.store.SaveSnapshot(snap, r.node.HardState(), r.node.Tail()); err != nil {
		return fmt.Errorf("save snapshot: %w", err)
	}
	r.log.WithField("index", snap.Index).Info("snapshotSaved")
	return nil
}

// propose appends a command to the log. It must run on the replica's goroutine.
// done gets nil when the command lost its place in the log.
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
	if old, taken := r.waiting[index]; taken {
		old.done(nil)
	}
	r.waiting[index] = waiter{term: term, done: done}
}
