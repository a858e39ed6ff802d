package feed

import (
	"maps"
	"slices"
	"sync"
	"time"

	"boragepost/core/roster"
)

// gatherTime is how long a changed record waits for others. When many backend
// servers start or leave together, one message tells of them instead of one for
// each; it is a hundredth of the shortest time within which a change has to be
// known everywhere, 3 s.
const gatherTime = 30 * time.Millisecond

// Batcher collects the records of backend servers that change shortly after each
// other. The zero value is empty.
type Batcher struct {
	mu      sync.Mutex
	pending map[uint64]roster.Server
}

// Add takes records, of which the latest of a backend server counts, and calls tell
// with all that came in when gatherTime has passed since the first one.
func (g *Batcher) Add(changed []roster.Server, tell func([]roster.Server)) {
	if len(changed) == 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.pending == nil {
		g.pending = map[uint64]roster.Server{}
		time.AfterFunc(gatherTime, func() { tell(g.take()) })
	}
	for _, s := range changed {
		g.pending[s.ID] = s
	}
}

func (g *Batcher) take() []roster.Server {
	g.mu.Lock()
	defer g.mu.Unlock()
	servers := slices.Collect(maps.Values(g.pending))
	g.pending = nil
	return servers
}
