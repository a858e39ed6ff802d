package plane

import (
	"context"
	"slices"
	"time"

	"boragepost/core/config"
	"boragepost/io/proto"
)

// readRequest is a read at the leader that waits for a round of acknowledgements.
type readRequest struct {
	round uint64
	index uint64
	term  uint64
	at    time.Duration
	done  func(index uint64)
}

// applyWaiter is a callback that runs once an index is applied here.
type applyWaiter struct {
	index uint64
	done  func()
}

const (
	// readRetryInterval is how often an unconfirmed read is repeated, possibly at
	// another leader.
	readRetryInterval = 250 * time.Millisecond
	// readTimeout is the age at which a read is dropped. Its caller has timed out by
	// then.
	readTimeout = 2 * time.Second
)

// ReadLatest returns the configuration in force by a linearizable read: the result
// was the newest at some moment during the call. It returns ErrNoQuorum when no
// quorum confirms this before ctx ends.
func (r *Replica) ReadLatest(ctx context.Context) (config.Configuration, error) {
	start := r.now()
	c, err := readState(ctx, r, func(s config.State) config.Configuration { return s.Configuration })
	r.counters.reads.WithLabelValues(outcome(err)).Inc()
	r.counters.readSeconds.Observe((r.now() - start).Seconds())
	return c, err
}

// readState returns what get returns for the state of a linearizable read. get runs on
// the event loop, and may run again after readState has returned.
func readState[T any](ctx context.Context, r *Replica, get func(config.State) T) (T, error) {
	var none T
	result := make(chan T, 1)
	deliver := func() {
		v := get(r.state)
		select {
		case result <- v:
		default:
		}
	}
	retry := time.NewTicker(readRetryInterval)
	defer retry.Stop()
	for {
		if !r.enqueue(ctx, func() { r.readIndex(func(index uint64) { r.awaitApplied(index, deliver) }) }) {
			return none, ErrNoQuorum
		}
		select {
		case v := <-result:
			return v, nil
		case <-retry.C:
		case <-ctx.Done():
			return none, ErrNoQuorum
		case <-r.stopped:
			return none, ErrStopped
		}
	}
}

// readIndex requests the latest commit index here, if this replica leads, or from
// the leader, and passes it to done.
func (r *Replica) readIndex(done func(index uint64)) {
	if r.startReadRound(done) {
		return
	}
	r.readID++
	r.forwardedReads[r.readID] = done
	delete(r.forwardedReads, r.readID-maxPendingReads)
	r.mesh.send(r.node.Leader(), proto.ToPlane{ReadIndexRequest: &proto.ReadIndexRequest{From: r.id, ID: r.readID}})
}

// maxPendingReads bounds the reads that wait for a leader, and those that wait for an
// index to be applied.
const maxPendingReads = 1024

// startReadRound starts a round of acknowledgements that confirms the current commit
// index as the latest. It reports false when this replica cannot start one because
// it does not lead or has not committed an entry of its term yet.
func (r *Replica) startReadRound(done func(index uint64)) bool {
	round, ok := r.node.RequestRead()
	if !ok {
		return false
	}
	r.pendingReads = append(r.pendingReads, readRequest{
		round: round, index: r.node.Commit(), term: r.node.Term(), at: r.now(), done: done})
	return true
}

// completeReads completes the reads whose round a quorum has acknowledged.
func (r *Replica) completeReads() {
	confirmed := r.node.ConfirmedReadRound()
	r.pendingReads = slices.DeleteFunc(r.pendingReads, func(q readRequest) bool {
		if q.term != r.node.Term() {
			return true // the leader may have changed; the caller repeats the read
		}
		if q.round > confirmed {
			return false
		}
		q.done(q.index)
		return true
	})
}

func (r *Replica) expireReads(now time.Duration) {
	r.pendingReads = slices.DeleteFunc(r.pendingReads, func(q readRequest) bool { return now-q.at > readTimeout })
}

// awaitApplied runs done once an index has been applied here.
func (r *Replica) awaitApplied(index uint64, done func()) {
	if r.node.Applied() >= index {
		done()
		return
	}
	if len(r.applyWaiters) >= maxPendingReads {
		r.applyWaiters = r.applyWaiters[1:]
	}
	r.applyWaiters = append(r.applyWaiters, applyWaiter{index: index, done: done})
}

func (r *Replica) notifyApplied() {
	r.applyWaiters = slices.DeleteFunc(r.applyWaiters, func(a applyWaiter) bool {
		if r.node.Applied() < a.index {
			return false
		}
		a.done()
		return true
	})
}

// handleReadIndexRequest answers another replica's request for the latest commit
// index.
func (r *Replica) handleReadIndexRequest(q proto.ReadIndexRequest) {
	r.startReadRound(func(index uint64) {
		r.mesh.send(q.From, proto.ToPlane{ReadIndexResponse: &proto.ReadIndexResponse{ID: q.ID, Index: index}})
	})
}

func (r *Replica) handleReadIndexResponse(p proto.ReadIndexResponse) {
	done := r.forwardedReads[p.ID]
	delete(r.forwardedReads, p.ID)
	if done != nil {
		done(p.Index)
	}
}
