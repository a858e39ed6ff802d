package plane

import (
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"boragepost/core/config"
	"boragepost/core/quorum"
	"boragepost/io/proto"
)

func (r *Replica) run() {
	defer close(r.stopped)
	defer r.store.Close()
	defer r.diskWriterDone.Wait()
	defer r.server.Close()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-r.ctx.Done():
			return
		case f := <-r.tasks:
			r.advanceTicks()
			f()
			r.drainTasks()
		case <-ticker.C:
			r.advanceTicks()
			r.tick()
		}
		r.processOutput()
	}
}

// drainTasks runs the tasks that are already queued, so that one sync covers all of
// them.
func (r *Replica) drainTasks() {
	for range taskQueueLen {
		select {
		case f := <-r.tasks:
			f()
		default:
			return
		}
	}
}

// advanceTicks advances the node's clock before the node processes anything. The
// elapsed time includes pauses of the process and suspension of the machine.
func (r *Replica) advanceTicks() {
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
		r.contactAt.Store(int64(now))
	}
	r.registry.updateContact()
	voter := r.node.IsVoter(r.id)
	if (!voter || !contact) && !r.node.Leaving() && now-r.joinSentAt >= joinInterval {
		r.joinSentAt = now
		r.mesh.broadcast(proto.ToPlane{Join: r.id})
	}
	known := slices.Compact(slices.Sorted(slices.Values(r.knownAddresses())))
	r.mesh.link(known)
	r.registry.hub.SetReplicas(known)
	r.registry.setVoters(r.node.Voters())
	r.expireReads(now)
	r.granter.tick(now)
}

// processOutput persists, sends and applies the node's output until there is none
// left.
func (r *Replica) processOutput() {
	for {
		out := r.node.TakeOutput()
		if !r.persist(out) {
			return
		}
		for _, m := range out.Messages {
			r.mesh.send(m.To, proto.ToPlane{Quorum: &m})
		}
		r.recordLeader()
		if out.Snapshot == nil && len(out.Committed) == 0 {
			break
		}
		r.apply(out)
	}
	r.completeReads()
}

// persist writes the node's output to disk. It reports false when the replica
// stops.
func (r *Replica) persist(out quorum.Output) bool {
	return r.retryWrite(func() error {
		if out.Snapshot == nil {
			return r.store.Save(out.HardState, out.Append)
		}
		return r.store.SaveSnapshot(*out.Snapshot, r.node.HardState(), r.node.Tail())
	})
}

// retryWrite repeats a write until it succeeds. Meanwhile the node processes
// nothing, so that a failing leader is replaced by an election. It reports false
// when the replica stops.
func (r *Replica) retryWrite(write func() error) bool {
	start := r.now()
	if !r.retrier.Write(r.ctx, write) {
		return false
	}
	r.counters.syncSeconds.Observe((r.now() - start).Seconds())
	return true
}

// apply applies a snapshot and committed entries to the state.
func (r *Replica) apply(out quorum.Output) {
	before, sets := r.state.Configuration.Version, []config.Evacuations{r.state.Evacuations}
	if out.Snapshot != nil {
		var state config.State
		if err := cbor.Unmarshal(out.Snapshot.Data, &state); err != nil {
			r.log.WithError(err).WithField("index", out.Snapshot.Index).Error("snapshotNotDecoded")
		} else {
			r.state = r.state.Merge(state)
			r.observeEvacuations()
			sets = append(sets, r.state.Evacuations)
		}
		r.log.WithField("index", out.Snapshot.Index).Info("snapshotInstalled")
	}
	for _, e := range out.Committed {
		r.applyEntry(e)
		sets = append(sets, r.state.Evacuations)
	}
	sets = slices.CompactFunc(sets, func(a, b config.Evacuations) bool { return a.Revision == b.Revision })
	r.notifyApplied()
	version := r.state.Configuration.Version
	if version != before {
		r.storeCurrent() // TreatAsCold needs its limits
	}
	if len(sets) > 1 {
		r.publishEvacuations(sets)
	}
	if version != before {
		close(r.configChanged)
		r.configChanged = make(chan struct{})
		if r.caughtUp {
			r.registry.hub.Configure(r.state.Configuration)
		}
		r.log.WithField("version", version).WithField("former", before).
			WithField("index", r.node.Applied()).Info("configurationInForce")
	}
	r.compactLog()
}

// publishWhenCaughtUp publishes the configuration once a read has shown that the log is
// applied up to what was committed before the start. Until then, entry instances get at
// most that of the checkpoint, which has the evacuations beside it: a configuration
// from the first part of a long log precedes evacuations that were acknowledged long ago.
func (r *Replica) publishWhenCaughtUp() {
	// The read is repeated until it succeeds or the replica stops.
	_, _ = readState(r.ctx, r, func(s config.State) struct{} {
		r.caughtUp = true
		r.registry.hub.SetEvacuations(s.Evacuations)
		r.registry.hub.Configure(s.Configuration)
		return struct{}{}
	})
}

func (r *Replica) applyEntry(e quorum.Entry) {
	if len(e.Voters) > 0 {
		r.log.WithField("peers", e.Voters).WithField("outgoing", e.Outgoing).WithField("index", e.Index).Info("replicasChanged")
	}
	if len(e.Data) == 0 {
		return
	}
	var c config.Command
	if err := cbor.Unmarshal(e.Data, &c); err != nil {
		r.log.WithError(err).WithField("index", e.Index).Error("entryNotDecoded")
		return
	}
	r.state = r.state.ApplyCommand(e.Index, c)
	if c.Evacuation != nil {
		r.observeEvacuations()
	}
}

// compactLog replaces the log by a snapshot when it exceeds snapshotEntries or
// snapshotBytes.
func (r *Replica) compactLog() {
	if len(r.node.Tail()) < snapshotEntries && r.node.TailBytes() < snapshotBytes {
		return
	}
	data, err := cbor.Marshal(r.state)
	if err != nil {
		r.log.WithError(err).Error("snapshotNotEncoded")
		return
	}
	snap := r.node.Compact(r.node.Applied(), data)
	if r.retryWrite(func() error { return r.store.SaveSnapshot(snap, r.node.HardState(), r.node.Tail()) }) {
		r.log.WithField("index", snap.Index).Info("snapshotSaved")
	}
}

// recordLeader logs and counts a change of leader or term, and publishes the leader
// for outliers.
func (r *Replica) recordLeader() {
	leader, term := r.node.Leader(), r.node.Term()
	if leader == r.loggedLeader && term == r.loggedTerm {
		return
	}
	r.counters.leaderChanges.Inc()
	r.log.WithField("leader", leader).WithField("term", term).WithField("formerLeader", r.loggedLeader).Info("leaderChanged")
	r.loggedLeader, r.loggedTerm = leader, term
	r.outliers.leader.Store(&leader)
}
