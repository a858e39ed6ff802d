package plane

import (
	"context"
	"slices"
	"time"

	"boragepost/core/roster"
)

// checkpointInterval bounds how often the roster is written to disk: at most one
// sync a second beside those of the log.
const checkpointInterval = time.Second

// restore takes in the backend servers that were known before a restart. They
// keep the traffic spread until they have announced themselves anew; those that
// do not are marked as silent like any other.
func (g *registry) restore() {
	servers, err := g.r.store.Roster()
	if err != nil {
		// The roster is soft state, so the replica starts without it.
		g.r.log.WithError(err).Warn("rosterNotRestored")
		return
	}
	for _, s := range servers {
		g.roster.Merge(g.r.now(), s.WithSilence(false))
	}
	g.r.log.WithField("servers", len(servers)).Info("rosterRestored")
}

// checkpoint writes the roster to disk whenever it has changed, until ctx ends.
func (g *registry) checkpoint(ctx context.Context) {
	ticker := time.NewTicker(checkpointInterval)
	defer ticker.Stop()
	written := g.digest()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		servers, digest := g.copy()
		if digest == written {
			continue
		}
		if err := g.r.store.SaveRoster(servers); err != nil {
			g.r.log.WithError(err).Warn("rosterNotSaved")
			continue
		}
		written = digest
	}
}

func (g *registry) digest() uint64 {
	_, digest := g.copy()
	return digest
}

// copy returns the records and their digest.
func (g *registry) copy() ([]roster.Server, uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Collect(g.roster.All()), g.roster.Digest()
}
