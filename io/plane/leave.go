package plane

import (
	"context"
	"math/rand/v2"
	"time"
)

// Leave prepares a planned stop: it asks the leader to remove this replica from the
// voters and returns when the replica may stop. A leader first hands over to another
// replica. Without a successor, at the smallest set that tolerates the configured
// losses, the replica stays a voter and Leave returns at once. Leave returns
// ErrNoQuorum when no leader grants it before ctx ends; the replica then counts as a
// voter until the others remove it. Until Close the replica goes on as before.
func (r *Replica) Leave(ctx context.Context) error {
	start := r.now()
	request := rand.Uint64() | 1 // not 0
	if !r.runOnLoop(ctx, func() { r.node.RequestLeave(request) }) {
		return ErrNoQuorum
	}
	poll := time.NewTicker(tickInterval)
	defer poll.Stop()
	for {
		granted, voter := false, false
		if !r.runOnLoop(ctx, func() { granted, voter = r.node.LeaveGranted(), r.node.IsVoter(r.id) }) {
			return ErrNoQuorum
		}
		if granted {
			r.log.WithField("voter", voter).WithField("after", r.now()-start).Info("leaveGranted")
			return nil
		}
		select {
		case <-poll.C:
		case <-ctx.Done():
			return ErrNoQuorum
		}
	}
}
