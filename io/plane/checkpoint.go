package plane

import (
	"context"
	"slices"
	"sync"
	"time"

	"boragepost/core/roster"
	"boragepost/io/store"
	"boragepost/io/timer"
)

// checkpointInterval is the least time between two checkpoints, which adds at most
// one sync per second to those of the log.
const checkpointInterval = time.Second

// restoreCheckpoint loads the roster, the configuration and the evacuated zones from
// before a restart, so that newly started entry instances can serve before the replicas
// have elected a leader. Restored backend servers that do not announce themselves again are marked
// as silent like any other. The configuration may be outdated and is only published
// to entry instances; this replica's own copy comes from the log.
func (g *registry) restoreCheckpoint() {
	saved, err := g.r.store.Checkpoint()
	if err != nil {
		// The checkpoint is soft state, so the replica can start without it.
		g.r.log.WithError(err).Warn("checkpointNotRestored")
	}
	departed := g.restoreDepartures()
	age := saved.Age(timer.SinceBoot())
	for i, s := range slices.Concat(saved.Servers, departed) {
		s.Warming = max(s.Warming-age, 0)
		if i >= len(saved.Servers) {
			s.Warming = 0 // departures get no new flows
		}
		g.roster.Merge(g.r.now(), s.WithSilence(false))
	}
	g.hub.Configure(saved.Configuration)
	g.hub.SetEvacuations(saved.Evacuations)
	g.r.log.WithField("servers", len(saved.Servers)).WithField("departed", len(departed)).
		WithField("version", saved.Configuration.Version).WithField("evacuations", saved.Evacuations.Revision).Info("checkpointRestored")
}

// restoreDepartures returns the backend servers that have left since the checkpoint.
func (g *registry) restoreDepartures() []roster.Server {
	departed, skipped, err := g.r.store.Departures()
	switch {
	case err != nil:
		// The other replicas of the majority that acknowledged a departure have it too.
		g.r.log.WithError(err).Warn("departuresNotRestored")
	case skipped > 0:
		g.r.log.WithField("bytes", skipped).Warn("departuresSkipped")
	}
	return departed
}

// journal queues departures for the disk. The zero value is empty; it is safe for
// concurrent use.
type journal struct {
	mu      sync.Mutex
	pending []roster.Server
	onSaved []func()
	wake    chan struct{} // holds one element while records are pending
}

// woken returns a channel that receives after records were added.
func (j *journal) woken() <-chan struct{} {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.makeWake()
	return j.wake
}

func (j *journal) makeWake() {
	if j.wake == nil {
		j.wake = make(chan struct{}, 1)
	}
}

// add queues records. onSaved is called when they are synced, and never if that fails.
func (j *journal) add(servers []roster.Server, onSaved func()) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.makeWake()
	j.pending = append(j.pending, servers...)
	j.onSaved = append(j.onSaved, onSaved)
	select {
	case j.wake <- struct{}{}:
	default:
	}
}

func (j *journal) take() (servers []roster.Server, onSaved []func()) {
	j.mu.Lock()
	defer j.mu.Unlock()
	servers, onSaved = j.pending, j.onSaved
	j.pending, j.onSaved = nil, nil
	return servers, onSaved
}

// departures returns the records of the backend servers that leave or are gone.
func departures(servers []roster.Server) []roster.Server {
	return slices.DeleteFunc(slices.Clone(servers), func(s roster.Server) bool { return s.Phase == roster.Ready })
}

// diskWriter saves checkpoints and departures. Only its goroutine uses it.
type diskWriter struct {
	g *registry
	// saved identifies the contents of the latest checkpoint.
	saved checkpointVersion
	// journaled is set if the journal has records.
	journaled bool
}

// checkpointVersion identifies the contents of a checkpoint.
type checkpointVersion struct{ digest, version, evacuations uint64 }

// run saves departures at once, all that are queued in one write, and the roster, the
// configuration and the evacuated zones whenever they have changed, until ctx ends. It
// saves the evacuated zones at once, so that a replica that restarts does not give an
// instance the set from before an acknowledged order.
func (w *diskWriter) run(ctx context.Context) {
	ticker := time.NewTicker(checkpointInterval)
	defer ticker.Stop()
	woken := w.g.journal.woken()
	for {
		select {
		case <-ctx.Done():
			w.saveDepartures()
			w.saveCheckpoint()
			return
		case <-woken:
			w.saveDepartures()
		case <-w.g.save:
			w.saveCheckpoint()
		case <-ticker.C:
			w.saveCheckpoint()
		}
	}
}

func (w *diskWriter) saveDepartures() {
	servers, onSaved := w.g.journal.take()
	if len(servers) == 0 {
		return
	}
	w.journaled = true
	err := w.g.r.store.SaveDepartures(servers)
	w.g.r.counters.departures.WithLabelValues(outcome(err)).Inc()
	if err != nil {
		// Not acknowledged: the backend servers repeat it, here or at another replica.
		w.g.r.log.WithError(err).WithField("servers", len(servers)).Warn("departuresNotSaved")
		return
	}
	for _, f := range onSaved {
		f()
	}
}

func (w *diskWriter) saveCheckpoint() {
	c, version := w.g.checkpointContents()
	if version == w.saved && !w.journaled {
		return
	}
	if err := w.g.r.store.SaveCheckpoint(c); err != nil {
		w.g.r.log.WithError(err).Warn("checkpointNotSaved")
		return
	}
	w.saved = version
	if !w.journaled {
		return
	}
	if err := w.g.r.store.ClearDepartures(); err != nil {
		w.g.r.log.WithError(err).Warn("departuresNotCleared")
		return
	}
	w.journaled = false
}

func (g *registry) checkpointContents() (store.Checkpoint, checkpointVersion) {
	g.mu.Lock()
	defer g.mu.Unlock()
	// The published state, unlike the applied one, includes that of the checkpoint before,
	// which a replica that has just restarted may not have applied again yet.
	published := g.hub.State()
	c := store.Checkpoint{Servers: g.roster.Aged(g.r.now(), g.roster.All()), Configuration: published.Configuration,
		Evacuations: published.Evacuations, SavedAt: timer.SinceBoot()}
	return c, checkpointVersion{digest: g.roster.Digest(), version: c.Configuration.Version, evacuations: c.Evacuations.Revision}
}

// saveSoon makes the disk writer save a checkpoint without waiting for its interval.
func (g *registry) saveSoon() {
	select {
	case g.save <- struct{}{}:
	default: // one is due already
	}
}
