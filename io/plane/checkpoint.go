package plane

import (
	"context"
	"time"

	"boragepost/io/store"
)

// checkpointInterval bounds how often the checkpoint is written: at most one sync a
// second beside those of the log.
const checkpointInterval = time.Second

// restore takes in what was known before a restart, so that entry instances that
// start anew can serve before the replicas have elected a leader. Backend servers
// that do not announce themselves again are marked as silent like any other. The
// configuration was in force once and is only fed to entry instances; what this
// replica holds follows from the log alone.
func (g *registry) restore() {
	saved, err := g.r.store.Checkpoint()
	if err != nil {
		// A checkpoint is soft state, so the replica starts without it.
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

// checkpoint writes what is known to disk whenever it has changed, until ctx ends.
func (g *registry) checkpoint(ctx context.Context) {
	ticker := time.NewTicker(checkpointInterval)
	defer ticker.Stop()
	var written mark
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		c, now := g.known()
		if now == written {
			continue
		}
		if err := g.r.store.SaveCheckpoint(c); err != nil {
			g.r.log.WithError(err).Warn("checkpointNotSaved")
			continue
		}
		written = now
	}
}

// mark tells one state of what is known from another.
type mark struct{ digest, version uint64 }

func (g *registry) known() (store.Checkpoint, mark) {
	c := store.Checkpoint{Servers: g.all(), Configuration: g.r.Current()}
	g.mu.Lock()
	defer g.mu.Unlock()
	return c, mark{digest: g.roster.Digest(), version: c.Configuration.Version}
}
