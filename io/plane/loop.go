package plane

import (
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"boragepost/core/config"
	"boragepost/core/quorum"
	"boragepost/io/proto"
	"boragepost/io/timer"
)

func (r *Replica) run() {
	defer close(r.stopped)
	defer r.store.Close()
	defer r.server.Close()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-r.ctx.Done():
			return
		case f := <-r.posts:
			r.passTime()
			f()
			r.drainPosts()
		case <-ticker.C:
			r.passTime()
			r.tick()
		}
		r.flush()
	}
}

// drainPosts runs what else has been posted, so that one sync serves all of it.
func (r *Replica) drainPosts() {
	for range postQueue {
		select {
		case f := <-r.posts:
			f()
		default:
			return
		}
	}
}

// passTime tells the node how much time has passed, also across a pause of the
// process or the machine, before it acts on anything.
func (r *Replica) passTime() {
	ticks := uint64(r.now() / tickInterval)
	if ticks > r.ticks {
		r.node.Tick(ticks - r.ticks)
		r.ticks = ticks
	}
}

func (r *Replica) tick() {
	now := r.now()
	contact := r.node.HasActiveLeader()
	if contact {
		r.contact.Store(int64(now))
	}
	if r.registry.hub.SetContact(contact) {
		r.log.WithField("contact", contact).Info("contactChanged")
	}
	member := r.node.IsVoter(r.id)
	if (!member || !contact) && now-r.joinedAt >= joinInterval {
		r.joinedAt = now
		r.mesh.broadcast(proto.ToPlane{Join: r.id})
	}
	known := slices.Compact(slices.Sorted(slices.Values(r.knownAddresses())))
	r.mesh.link(known)
	r.registry.hub.SetReplicas(known)
	r.registry.setVoters(len(r.node.Voters()))
	r.expireReads(now)
}

// flush carries out the node's output until there is none left.
func (r *Replica) flush() {
	for {
		out := r.node.TakeOutput()
		if !r.persist(out) {
			return
		}
		for _, m := range out.Messages {
			r.mesh.send(m.To, proto.ToPlane{Quorum: &m})
		}
		r.noteLeader()
		if out.Snapshot == nil && len(out.Committed) == 0 {
			break
		}
		r.apply(out)
	}
	r.confirmReads()
}

// persist makes the node's output durable. It reports false when the replica
// stops.
func (r *Replica) persist(out quorum.Output) bool {
	return r.untilDurable(func() error {
		if out.Snapshot == nil {
			return r.store.Save(out.HardState, out.Append)
		}
		return r.store.SaveSnapshot(*out.Snapshot, r.node.HardState(), r.node.Tail())
	})
}

// untilDurable repeats a write until the disk takes it; meanwhile the node stands
// still, so that the others elect another leader. It reports false when the
// replica stops.
func (r *Replica) untilDurable(write func() error) bool {
	start := r.now()
	for {
		err := write()
		if err == nil {
			r.counters.syncSeconds.Observe((r.now() - start).Seconds())
			if r.failing {
				r.failing = false
				r.log.Info("diskRegained")
			}
			return true
		}
		if !r.failing {
			r.failing = true
			r.log.WithError(err).Error("diskFailed")
		}
		timer.Sleep(r.ctx, diskRetry)
		if r.ctx.Err() != nil {
			return false
		}
	}
}

// apply applies what was committed.
func (r *Replica) apply(out quorum.Output) {
	before := r.held.Configuration.Version
	if out.Snapshot != nil {
		var held config.State
		if err := cbor.Unmarshal(out.Snapshot.Data, &held); err != nil {
			r.log.WithError(err).WithField("index", out.Snapshot.Index).Error("snapshotNotDecoded")
		} else if held.Configuration.Version >= before {
			r.held = held
		}
		r.log.WithField("index", out.Snapshot.Index).Info("snapshotInstalled")
	}
	for _, e := range out.Committed {
		r.applyEntry(e)
	}
	r.answerAwaited()
	if version := r.held.Configuration.Version; version != before {
		r.current.Store(&r.held.Configuration)
		close(r.changed)
		r.changed = make(chan struct{})
		r.registry.hub.Configure(r.held.Configuration)
		r.log.WithField("version", version).WithField("former", before).
			WithField("index", r.node.Applied()).Info("configurationInForce")
	}
	r.maybeSnapshot()
}

func (r *Replica) applyEntry(e quorum.Entry) {
	if len(e.Voters) > 0 {
		r.log.WithField("peers", e.Voters).WithField("index", e.Index).Info("replicasChanged")
	}
	if len(e.Data) == 0 {
		return
	}
	var c config.Configuration
	if err := cbor.Unmarshal(e.Data, &c); err != nil {
		r.log.WithError(err).WithField("index", e.Index).Error("entryNotDecoded")
		return
	}
	r.held, _ = r.held.Apply(c)
}

// maybeSnapshot replaces a log that has grown long.
func (r *Replica) maybeSnapshot() {
	if len(r.node.Tail()) < snapshotEntries && r.node.TailBytes() < snapshotBytes {
		return
	}
	data, err := cbor.Marshal(r.held)
	if err != nil {
		r.log.WithError(err).Error("snapshotNotEncoded")
		return
	}
	snap := r.node.Compact(r.node.Applied(), data)
	if r.untilDurable(func() error { return r.store.SaveSnapshot(snap, r.node.HardState(), r.node.Tail()) }) {
		r.log.WithField("index", snap.Index).Info("snapshotSaved")
	}
}

// noteLeader logs a change of leader or term.
func (r *Replica) noteLeader() {
	leader, term := r.node.Leader(), r.node.Term()
	if leader == r.leader && term == r.leaderTerm {
		return
	}
	r.counters.elections.Inc()
	r.log.WithField("leader", leader).WithField("term", term).WithField("formerLeader", r.leader).Info("leaderChanged")
	r.leader, r.leaderTerm = leader, term
	r.outliers.leader.Store(&leader)
}
