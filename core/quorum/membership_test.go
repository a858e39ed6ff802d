package quorum_test

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"boragepost/core/quorum"
)

// dynamicCluster is a cluster with dynamic membership. A replica that has lost its
// disk rejoins under a new identifier.
type dynamicCluster struct {
	*cluster
	lastJoinAt uint64
	diskLostAt uint64 // tick of the latest lost disk
	diskCount  int
	reads      []pendingRead
	limits     quorum.MembershipLimits
}

// pendingRead is a read that a leader has yet to confirm.
type pendingRead struct {
	leader  *replica
	term    uint64
	round   uint64
	index   uint64 // commit index of the leader
	highest uint64 // highest index committed by any replica
}

func newDynamicCluster(t *rapid.T) *dynamicCluster {
	return newDynamicClusterOf(t, quorum.MembershipLimits{}, "a", "b", "c")
}

func newDynamicClusterOf(t *rapid.T, limits quorum.MembershipLimits, initialVoters ...string) *dynamicCluster {
	c := &dynamicCluster{limits: limits, cluster: &cluster{
		t: t, committed: map[uint64]quorum.Entry{}, leaders: map[uint64]string{}, cutPairs: map[string]bool{}}}
	for _, id := range initialVoters {
		c.add(id, initialVoters)
	}
	return c
}

func (c *dynamicCluster) add(id string, initialVoters []string) *replica {
	r := &replica{id: id, dynamic: true, limits: c.limits, voters: initialVoters}
	c.replicas = append(c.replicas, r)
	c.restart(r)
	return r
}

// join sends a request to join from each replica that has no leader or is no voter
// to all others.
func (c *dynamicCluster) join() {
	for _, r := range c.replicas {
		if r.paused || r.isolated || r.node.IsVoter(r.id) && r.node.HasActiveLeader() {
			continue
		}
		for _, other := range c.replicas {
			if !other.paused && !other.isolated {
				other.node.AddLearner(r.id)
			}
		}
	}
}

func (c *dynamicCluster) advance(ticks int) {
	for range ticks {
		if c.now-c.lastJoinAt > 10 {
			c.lastJoinAt = c.now
			c.join()
		}
		c.run(1)
		c.checkReads()
	}
}

// catchUpTicks is how long a replica with a new disk is given to catch up before
// another disk may be lost.
const catchUpTicks = 80

// toleratesDiskLoss reports whether another disk may be lost: the latest
// replacement has had catchUpTicks, and all voters of the most up-to-date log have
// their disks and the same last entry.
func (c *dynamicCluster) toleratesDiskLoss() bool {
	if c.diskCount > 0 && c.now-c.diskLostAt < catchUpTicks {
		return false
	}
	mostUpToDate := c.replicas[0]
	for _, r := range c.replicas {
		term, index := r.lastEntry()
		lastTerm, lastIndex := mostUpToDate.lastEntry()
		if term > lastTerm || term == lastTerm && index > lastIndex {
			mostUpToDate = r
		}
	}
	voters := mostUpToDate.node.Voters()
	lastTerm, lastIndex := mostUpToDate.lastEntry()
	for _, id := range voters {
		r := c.find(id)
		if r == nil {
			return false
		}
		if term, index := r.lastEntry(); term != lastTerm || index != lastIndex {
			return false
		}
	}
	return len(voters) >= 3
}

// lastEntry returns the term and the index of the last entry of a replica's
// persisted log.
func (r *replica) lastEntry() (term, index uint64) {
	if n := len(r.disk.Entries); n > 0 {
		return r.disk.Entries[n-1].Term, r.disk.Entries[n-1].Index
	}
	return r.disk.Snapshot.Term, r.disk.Snapshot.Index
}

// loseDisk replaces a replica by an empty one, at its address or at another.
func (c *dynamicCluster) loseDisk(r *replica, address string) {
	c.diskCount++
	c.diskLostAt = c.now
	c.replicas = slices.DeleteFunc(c.replicas, func(o *replica) bool { return o == r })
	c.add(quorum.MakeID(address, fmt.Sprint("disk", c.diskCount)), nil)
}

func (c *dynamicCluster) highest() uint64 {
	highest := uint64(0)
	for index := range c.committed {
		highest = max(highest, index)
	}
	return highest
}

func (c *dynamicCluster) read(r *replica) {
	if r.paused {
		return
	}
	c.advanceClock(r)
	if round, ok := r.node.RequestRead(); ok {
		c.reads = append(c.reads, pendingRead{
			leader: r, term: r.node.Term(), round: round, index: r.node.Commit(), highest: c.highest()})
	}
	c.flush(r)
}

// checkReads checks that every confirmed read covers all entries that were
// committed when it was requested.
func (c *dynamicCluster) checkReads() {
	c.reads = slices.DeleteFunc(c.reads, func(q pendingRead) bool {
		n := q.leader.node
		if n.Term() != q.term || n.Role() != quorum.Leader {
			return true
		}
		if n.ConfirmedReadRound() < q.round {
			return false
		}
		if q.index < q.highest {
			c.t.Fatalf("%s confirms a read at index %d in term %d, but %d was committed before", q.leader.id, q.index, q.term, q.highest)
		}
		return true
	})
}

// TestDynamicMembershipKeepsCommittedEntries runs random histories in which
// replicas also lose their disks or are replaced at other addresses.
func TestDynamicMembershipKeepsCommittedEntries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newDynamicCluster(t)
		c.advance(30)
		pick := func() *replica { return c.replicas[rapid.IntRange(0, len(c.replicas)-1).Draw(t, "replica")] }
		t.Repeat(map[string]func(*rapid.T){
			"":       func(t *rapid.T) { c.checkReads() },
			"run":    func(t *rapid.T) { c.advance(rapid.IntRange(1, 90).Draw(t, "ticks")) },
			"freeze": func(t *rapid.T) { pick().paused = true },
			"thaw":   func(t *rapid.T) { pick().paused = false },
			"cut":    func(t *rapid.T) { pick().isolated = true },
			"join":   func(t *rapid.T) { pick().isolated = false },
			"cutPair": func(t *rapid.T) {
				clear(c.cutPairs)
				c.cutPairs[pick().id+pick().id] = true
			},
			"crash":    func(t *rapid.T) { c.restart(pick()) },
			"crashAll": func(t *rapid.T) { c.crashAll() },
			"propose": func(t *rapid.T) {
				if r := pick(); !r.paused {
					c.propose(r)
				}
			},
			"read": func(t *rapid.T) { c.read(pick()) },
			"deliver": func(t *rapid.T) {
				if len(c.messages) > 0 {
					c.deliver(rapid.IntRange(0, len(c.messages)-1).Draw(t, "message"))
				}
			},
			"lose": func(t *rapid.T) {
				if len(c.messages) > 0 {
					i := rapid.IntRange(0, len(c.messages)-1).Draw(t, "message")
					c.messages = slices.Delete(c.messages, i, i+1)
				}
			},
			"wipe": func(t *rapid.T) {
				if r := pick(); c.toleratesDiskLoss() {
					c.loseDisk(r, quorum.AddressOf(r.id))
				}
			},
			"replace": func(t *rapid.T) {
				if r := pick(); c.toleratesDiskLoss() {
					c.loseDisk(r, fmt.Sprint("new", c.diskCount))
				}
			},
			"addReplica": func(t *rapid.T) {
				if len(c.replicas) < 6 {
					c.diskCount++
					c.add(quorum.MakeID(fmt.Sprint("more", c.diskCount), "disk"), nil)
				}
			},
			"compact": func(t *rapid.T) { c.compact(pick()) },
		})
		c.healDynamic()
	})
}

func (c *dynamicCluster) crashAll() {
	for _, r := range c.replicas {
		c.restart(r)
	}
}

func (c *dynamicCluster) compact(r *replica) {
	tail := r.node.Tail()
	if len(tail) < 3 || r.node.Commit() <= tail[0].Index {
		return
	}
	r.disk.Snapshot = r.node.Compact(r.node.Commit(), []byte("state"))
	r.disk.Entries = slices.Clone(r.node.Tail())
}

// healDynamic ends all faults and checks that proposals are committed again and that
// every replica is a voter.
func (c *dynamicCluster) healDynamic() {
	for _, r := range c.replicas {
		r.isolated, r.paused = false, false
	}
	clear(c.cutPairs)
	c.advance(400)
	before := c.highest()
	for _, r := range c.replicas {
		c.propose(r)
	}
	c.advance(40)
	if c.highest() <= before {
		c.t.Fatalf("nothing is committed after all faults have ended%s", c.describe())
	}
	for _, r := range c.replicas {
		if !r.node.IsVoter(r.id) {
			c.t.Fatalf("%s is no voter after all faults have ended%s", r.id, c.describe())
		}
	}
}

func (c *dynamicCluster) describe() string {
	text := ""
	for _, r := range c.replicas {
		text += fmt.Sprintf("\n%s role=%d term=%d leader=%s voters=%v commit=%d last=%d", r.id, r.node.Role(),
			r.node.Term(), r.node.Leader(), r.node.Voters(), r.node.Commit(), r.node.LastIndex())
	}
	return text
}

// TestIsolatedLeaderConfirmsNoStaleRead guards against stale reads: it requests
// reads from an isolated leader while the others elect a new leader that commits
// entries.
func TestIsolatedLeaderConfirmsNoStaleRead(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newDynamicCluster(t)
		c.advance(40 + rapid.IntRange(0, 20).Draw(t, "start"))
		i := slices.IndexFunc(c.replicas, func(r *replica) bool { return r.node.Role() == quorum.Leader })
		if i < 0 {
			t.Fatalf("no leader was elected%s", c.describe())
		}
		old := c.replicas[i]
		old.isolated = true
		for range 60 {
			c.advance(1)
			for _, r := range c.replicas {
				if r != old && r.node.Role() == quorum.Leader {
					c.propose(r)
				}
			}
			c.read(old)
		}
	})
}
