package feed

import (
	"maps"
	"slices"
	"sync"
	"time"

	"boragepost/core/roster"
)

// batchDelay is how long a changed record waits for others. When many backend servers
// start or leave together, their records are sent in one message. The delay is a
// hundredth of the shortest time in which a change must be in force, 3 s.
const batchDelay = 30 * time.Millisecond

// Batcher collects the records of backend servers that change shortly after each
// other. The zero value is ready to use.
type Batcher struct {
	mu      sync.Mutex
	pending map[uint64]roster.Server
}

// Add adds changed records to the current batch. The call that starts a batch also
// sets its flush function, which is called after batchDelay with the latest record of
// each backend server in the batch.
func (b *Batcher) Add(changed []roster.Server, flush func([]roster.Server)) {
	if len(changed) == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.pending == nil {
		b.pending = map[uint64]roster.Server{}
		time.AfterFunc(batchDelay, func() { flush(b.takeBatch()) })
	}
	for _, s := range changed {
		b.pending[s.ID] = s
	}
}

func (b *Batcher) takeBatch() []roster.Server {
	b.mu.Lock()
	defer b.mu.Unlock()
	servers := slices.Collect(maps.Values(b.pending))
	b.pending = nil
	return servers
}
