package plane

import (
	"context"
	"time"

	"boragepost/io/store"
)

// checkpointInterval is the least time between two checkpoints, which adds at most
// one sync per second to those of the log.
const checkpointInterval = time.Second

// restoreCheckpoint loads the roster and the configuration from before a restart, so
// that newly started entry instances can serve before the replicas have elected a
// leader. Restored backend servers that do not announce themselves again are marked
// as silent like any other. The configuration may be outdated and is only published
// to entry instances; this replica's own copy comes from the log.
func (g *registry) restoreCheckpoint() {
	saved, err := g.r.store.Checkpoint()
	if err != nil {
		// The checkpoint is soft state, so the replica can start without it.
		g.r.log.WithError(err).Warn("checkpointNotRestored")
		return
	}
	for _, s := range saved.Servers {
		g.roster.Merge(g.r.now(), s.WithSilence(false))
	}
	g.hub.Configure(saved.Configuration)
	g.r.log.WithField("servers", len(saved.Servers)).WithField("version", saved.Configuration.Version).
		Info("checkpointRestored")
}

// saveCheckpoints saves the roster and the configuration whenever they have changed,
// until ctx ends.
func (g *registry) saveCheckpoints(ctx context.Context) {
	ticker := time.NewTicker(checkpointInterval)
	defer ticker.Stop()
	var written checkpointVersion
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		c, version := g.checkpointContents()
		if version == written {
			continue
		}
		if err := g.r.store.SaveCheckpoint(c); err != nil {
			g.r.log.WithError(err).Warn("checkpointNotSaved")
			continue
		}
		written = version
	}
}

// checkpointVersion identifies the contents of a checkpoint.
type checkpointVersion struct{ digest, version uint64 }

func (g *registry) checkpointContents() (store.Checkpoint, checkpointVersion) {
	c := store.Checkpoint{Servers: g.all(), Configuration: g.r.Current()}
	g.mu.Lock()
	defer g.mu.Unlock()
	return c, checkpointVersion{digest: g.roster.Digest(), version: c.Configuration.Version}
}
