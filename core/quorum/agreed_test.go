package quorum_test

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"boragepost/core/quorum"
)

// agreedCluster is a cluster whose set of voters is part of the log. Replicas
// that have lost their disk come back under a new identifier.
type agreedCluster struct {
	*cluster
	joinAt uint64
	lostAt uint64 // tick of the latest lost disk
	disks  int
	reads  []pendingRead
}

// pendingRead is a question that a leader has yet to prove.
type pendingRead struct {
	leader  *replica
	term    uint64
	round   uint64
	index   uint64 // commit index of the leader
	highest uint64 // highest index that was committed anywhere
}

func newAgreedCluster(t *rapid.T) *agreedCluster {
	c := &agreedCluster{cluster: &cluster{
		t: t, committed: map[uint64]quorum.Entry{}, leaders: map[uint64]string{}, pairs: map[string]bool{}}}
	founders := []string{"a", "b", "c"}
	for _, id := range founders {
		c.add(id, founders)
	}
	return c
}

func (c *agreedCluster) add(id string, founders []string) *replica {
	r := &replica{id: id, agreed: true, peers: founders}
	c.replicas = append(c.replicas, r)
	c.boot(r)
	return r
}

// join lets replicas without a leader, or without a vote, ask all others.
func (c *agreedCluster) join() {
	for _, r := range c.replicas {
		if r.frozen || r.cut || r.node.IsVoter(r.id) && r.node.HasActiveLeader() {
			continue
		}
		for _, other := range c.replicas {
			if !other.frozen && !other.cut {
				other.node.AddLearner(r.id)
			}
		}
	}
}

func (c *agreedCluster) advance(ticks int) {
	for range ticks {
		if c.now-c.joinAt > 10 {
			c.joinAt = c.now
			c.join()
		}
		c.run(1)
		c.checkReads()
	}
}

// catchUpTicks is how long a replica with a new disk counts as lost.
const catchUpTicks = 80

// settled reports whether another disk may be lost: the latest replacement has
// had its time, and the voters that the newest log names all have their disks and
// that log.
func (c *agreedCluster) settled() bool {
	if c.disks > 0 && c.now-c.lostAt < catchUpTicks {
		return false
	}
	newest := c.replicas[0]
	for _, r := range c.replicas {
		term, index := r.end()
		newestTerm, newestIndex := newest.end()
		if term > newestTerm || term == newestTerm && index > newestIndex {
			newest = r
		}
	}
	peers := newest.node.Voters()
	newestTerm, newestIndex := newest.end()
	for _, id := range peers {
		r := c.find(id)
		if r == nil {
			return false
		}
		if term, index := r.end(); term != newestTerm || index != newestIndex {
			return false
		}
	}
	return len(peers) >= 3
}

// end returns the term and the index of the end of a replica's stored log.
func (r *replica) end() (term, index uint64) {
	if n := len(r.disk.Entries); n > 0 {
		return r.disk.Entries[n-1].Term, r.disk.Entries[n-1].Index
	}
	return r.disk.Snapshot.Term, r.disk.Snapshot.Index
}

// loseDisk replaces a replica by an empty one, at its address or at another.
func (c *agreedCluster) loseDisk(r *replica, address string) {
	c.disks++
	c.lostAt = c.now
	c.replicas = slices.DeleteFunc(c.replicas, func(o *replica) bool { return o == r })
	c.add(quorum.MakeID(address, fmt.Sprint("disk", c.disks)), nil)
}

func (c *agreedCluster) highest() uint64 {
	highest := uint64(0)
	for index := range c.committed {
		highest = max(highest, index)
	}
	return highest
}

func (c *agreedCluster) read(r *replica) {
	if r.frozen {
		return
	}
	c.wake(r)
	if round, ok := r.node.RequestRead(); ok {
		c.reads = append(c.reads, pendingRead{
			leader: r, term: r.node.Term(), round: round, index: r.node.Commit(), highest: c.highest()})
	}
	c.flush(r)
}

// checkReads checks that no confirmed answer is older than what was committed
// when it was asked for.
func (c *agreedCluster) checkReads() {
	c.reads = slices.DeleteFunc(c.reads, func(q pendingRead) bool {
		n := q.leader.node
		if n.Term() != q.term || n.Role() != quorum.Leader {
			return true
		}
		if n.ConfirmedReadRound() < q.round {
			return false
		}
		if q.index < q.highest {
			c.t.Fatalf("%s proves index %d in term %d, but %d was committed before", q.leader.id, q.index, q.term, q.highest)
		}
		return true
	})
}

// TestAgreedSetKeepsCommittedEntries runs random histories in which replicas also
// lose their disks or are replaced at other addresses.
func TestAgreedSetKeepsCommittedEntries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newAgreedCluster(t)
		c.advance(30)
		pick := func() *replica { return c.replicas[rapid.IntRange(0, len(c.replicas)-1).Draw(t, "replica")] }
		t.Repeat(map[string]func(*rapid.T){
			"":       func(t *rapid.T) { c.checkReads() },
			"run":    func(t *rapid.T) { c.advance(rapid.IntRange(1, 90).Draw(t, "ticks")) },
			"freeze": func(t *rapid.T) { pick().frozen = true },
			"thaw":   func(t *rapid.T) { pick().frozen = false },
			"cut":    func(t *rapid.T) { pick().cut = true },
			"join":   func(t *rapid.T) { pick().cut = false },
			"cutPair": func(t *rapid.T) {
				clear(c.pairs)
				c.pairs[pick().id+pick().id] = true
			},
			"crash":    func(t *rapid.T) { c.boot(pick()) },
			"crashAll": func(t *rapid.T) { c.crashAll() },
			"propose": func(t *rapid.T) {
				if r := pick(); !r.frozen {
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
				if r := pick(); c.settled() {
					c.loseDisk(r, quorum.AddressOf(r.id))
				}
			},
			"replace": func(t *rapid.T) {
				if r := pick(); c.settled() {
					c.loseDisk(r, fmt.Sprint("new", c.disks))
				}
			},
			"addReplica": func(t *rapid.T) {
				if len(c.replicas) < 6 {
					c.disks++
					c.add(quorum.MakeID(fmt.Sprint("more", c.disks), "disk"), nil)
				}
			},
			"compact": func(t *rapid.T) { c.compact(pick()) },
		})
		c.healAgreed()
	})
}

func (c *agreedCluster) crashAll() {
	for _, r := range c.replicas {
		c.boot(r)
	}
}

func (c *agreedCluster) compact(r *replica) {
	tail := r.node.Tail()
	if len(tail) < 3 || r.node.Commit() <= tail[0].Index {
		return
	}
	r.disk.Snapshot = r.node.Compact(r.node.Commit(), []byte("state"))
	r.disk.Entries = slices.Clone(r.node.Tail())
}

// healAgreed ends all faults and checks that proposals are accepted again, and
// that every replica votes.
func (c *agreedCluster) healAgreed() {
	for _, r := range c.replicas {
		r.cut, r.frozen = false, false
	}
	clear(c.pairs)
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
			c.t.Fatalf("%s does not vote after all faults have ended%s", r.id, c.describe())
		}
	}
}

func (c *agreedCluster) describe() string {
	text := ""
	for _, r := range c.replicas {
		text += fmt.Sprintf("\n%s role=%d term=%d leader=%s peers=%v commit=%d last=%d", r.id, r.node.Role(),
			r.node.Term(), r.node.Leader(), r.node.Voters(), r.node.Commit(), r.node.LastIndex())
	}
	return text
}

// TestStaleLeaderProvesNothing asks a leader that was cut off, again and again,
// while the others elect another leader that commits.
func TestStaleLeaderProvesNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newAgreedCluster(t)
		c.advance(40 + rapid.IntRange(0, 20).Draw(t, "start"))
		i := slices.IndexFunc(c.replicas, func(r *replica) bool { return r.node.Role() == quorum.Leader })
		if i < 0 {
			t.Fatalf("no leader was elected%s", c.describe())
		}
		old := c.replicas[i]
		old.cut = true
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
