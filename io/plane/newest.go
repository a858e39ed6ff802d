package plane

import (
	"context"
	"slices"
	"time"

	"boragepost/core/config"
	"boragepost/io/proto"
)

// read is a question that the leader has yet to prove.
type read struct {
	round uint64
	index uint64
	term  uint64
	at    time.Duration
	done  func(index uint64)
}

// awaited is an index that has to be applied here.
type awaited struct {
	index uint64
	done  func()
}

const (
	// readRetry is how often an unanswered question is asked again, possibly of
	// another leader.
	readRetry = 250 * time.Millisecond
	// readTimeout is when a question is given up; its caller has gone by then.
	readTimeout = 2 * time.Second
)

// ReadLatest returns the configuration in force, proved to be the newest at some
// moment after the call. It returns ErrNoQuorum when there is no proof before
// ctx ends.
func (r *Replica) ReadLatest(ctx context.Context) (config.Configuration, error) {
	start := r.now()
	c, err := r.askUntilProved(ctx)
	r.counters.reads.WithLabelValues(outcome(err)).Inc()
	r.counters.readSeconds.Observe((r.now() - start).Seconds())
	return c, err
}

func (r *Replica) askUntilProved(ctx context.Context) (config.Configuration, error) {
	got := make(chan config.Configuration, 1)
	answer := func() {
		select {
		case got <- r.held.Configuration:
		default:
		}
	}
	retry := time.NewTicker(readRetry)
	defer retry.Stop()
	for {
		if !r.post(ctx, func() { r.ask(func(index uint64) { r.await(index, answer) }) }) {
			return config.Configuration{}, ErrNoQuorum
		}
		select {
		case c := <-got:
			return c, nil
		case <-retry.C:
		case <-ctx.Done():
			return config.Configuration{}, ErrNoQuorum
		case <-r.stopped:
			return config.Configuration{}, ErrStopped
		}
	}
}

// ask finds out the newest index, here or from the leader.
func (r *Replica) ask(done func(index uint64)) {
	if r.prove(done) {
		return
	}
	r.readID++
	r.asked[r.readID] = done
	delete(r.asked, r.readID-maxAsked)
	r.mesh.send(r.node.Leader(), proto.ToPlane{ReadIndexRequest: &proto.ReadIndexRequest{From: r.id, ID: r.readID}})
}

// maxAsked bounds the questions that wait for a leader.
const maxAsked = 1024

// prove starts a round of acknowledgements that proves the present commit index
// to be the newest. It reports false when this replica cannot lead one.
func (r *Replica) prove(done func(index uint64)) bool {
	round, ok := r.node.RequestRead()
	if !ok {
		return false
	}
	r.reads = append(r.reads, read{
		round: round, index: r.node.Commit(), term: r.node.Term(), at: r.now(), done: done})
	return true
}

// confirmReads answers the questions whose round a quorum has acknowledged.
func (r *Replica) confirmReads() {
	confirmed := r.node.ConfirmedReadRound()
	r.reads = slices.DeleteFunc(r.reads, func(q read) bool {
		if q.term != r.node.Term() {
			return true // the leader may have changed; the caller asks again
		}
		if q.round > confirmed {
			return false
		}
		q.done(q.index)
		return true
	})
}

func (r *Replica) expireReads(now time.Duration) {
	r.reads = slices.DeleteFunc(r.reads, func(q read) bool { return now-q.at > readTimeout })
}

// await runs done once an index has been applied here.
func (r *Replica) await(index uint64, done func()) {
	if r.node.Applied() >= index {
		done()
		return
	}
	if len(r.awaited) >= maxAsked {
		r.awaited = r.awaited[1:]
	}
	r.awaited = append(r.awaited, awaited{index: index, done: done})
}

func (r *Replica) answerAwaited() {
	r.awaited = slices.DeleteFunc(r.awaited, func(a awaited) bool {
		if r.node.Applied() < a.index {
			return false
		}
		a.done()
		return true
	})
}

// onRead proves the newest index for another replica.
func (r *Replica) onRead(q proto.ReadIndexRequest) {
	r.prove(func(index uint64) {
		r.mesh.send(q.From, proto.ToPlane{ReadIndexResponse: &proto.ReadIndexResponse{ID: q.ID, Index: index}})
	})
}

func (r *Replica) onProof(p proto.ReadIndexResponse) {
	done := r.asked[p.ID]
	delete(r.asked, p.ID)
	if done != nil {
		done(p.Index)
	}
}
