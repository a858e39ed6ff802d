package quorum_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/cespare/xxhash/v2"
	"pgregory.net/rapid"

	"boragepost/core/quorum"
)

// The default seed is fixed, so that every run checks the same histories; the
// command line may set another.
func init() {
	flag.Set("rapid.seed", "1")
	flag.Set("rapid.nofailfile", "true")
	flag.Set("rapid.checks", "1500")
}

// replica is a node and its disk, which survives a restart of the node.
type replica struct {
	id       string
	node     *quorum.Node
	disk     quorum.PersistentState
	isolated bool   // isolated from all others
	paused   bool   // receives no ticks and messages, like a paused process
	clock    uint64 // tick up to which its clock has advanced
	dynamic  bool   // dynamic membership
	limits   quorum.MembershipLimits
	voters   []string
}

// cluster carries messages between replicas. It checks that all replicas commit
// the same entries, that each term has at most one leader and that with a fixed
// set of voters at most one replica has the leader lease.
type cluster struct {
	t         *rapid.T
	replicas  []*replica
	messages  []quorum.Message
	committed map[uint64]quorum.Entry
	leaders   map[uint64]string // by term
	cutPairs  map[string]bool   // concatenated identifiers of pairs that cannot reach each other
	proposed  int
	now       uint64 // ticks
}

func newCluster(t *rapid.T) *cluster {
	c := &cluster{t: t, committed: map[uint64]quorum.Entry{}, leaders: map[uint64]string{}, cutPairs: map[string]bool{}}
	for _, id := range []string{"a", "b", "c"} {
		r := &replica{id: id, voters: []string{"a", "b", "c"}}
		c.replicas = append(c.replicas, r)
		c.restart(r)
	}
	return c
}

func (c *cluster) restart(r *replica) {
	r.clock = c.now
	random := rand.New(rand.NewPCG(xxhash.Sum64String(r.id), uint64(len(c.committed))))
	config := quorum.Config{ID: r.id, InitialVoters: r.voters, DynamicMembership: r.dynamic, MembershipLimits: r.limits, Rand: random.IntN}
	r.node = quorum.New(config, quorum.PersistentState{HardState: r.disk.HardState, Snapshot: r.disk.Snapshot, Entries: slices.Clone(r.disk.Entries)})
}

// flush carries out a replica's output: persists, sends and applies it.
func (c *cluster) flush(r *replica) {
	out := r.node.TakeOutput()
	if out.HardState != nil {
		r.disk.HardState = *out.HardState
	}
	if out.Snapshot != nil {
		r.disk.Snapshot, r.disk.Entries = *out.Snapshot, nil
	}
	for _, e := range out.Append {
		r.disk.Entries = slices.DeleteFunc(r.disk.Entries, func(old quorum.Entry) bool { return old.Index >= e.Index })
		r.disk.Entries = append(r.disk.Entries, e)
	}
	c.messages = append(c.messages, out.Messages...)
	for _, e := range out.Committed {
		c.recordCommit(r, e)
	}
	if r.node.Role() == quorum.Leader {
		c.recordLeader(r)
	}
}

func (c *cluster) recordCommit(r *replica, e quorum.Entry) {
	earlier, exists := c.committed[e.Index]
	if exists && (earlier.Term != e.Term || string(earlier.Data) != string(e.Data) ||
		!slices.Equal(earlier.Voters, e.Voters) || !slices.Equal(earlier.Outgoing, e.Outgoing)) {
		c.t.Fatalf("%s commits %d@%d %q, but %d@%d %q was committed there", r.id,
			e.Index, e.Term, e.Data, earlier.Index, earlier.Term, earlier.Data)
	}
	c.committed[e.Index] = e
}

func (c *cluster) recordLeader(r *replica) {
	if other, ok := c.leaders[r.node.Term()]; ok && other != r.id {
		c.t.Fatalf("%s and %s both lead term %d", other, r.id, r.node.Term())
	}
	c.leaders[r.node.Term()] = r.id
}

// advanceClock advances a replica's clock to the present tick.
func (c *cluster) advanceClock(r *replica) {
	r.node.Tick(c.now - r.clock)
	r.clock = c.now
	c.flush(r)
}

func (c *cluster) tick() {
	c.now++
	leaseHolder := ""
	for _, r := range c.replicas {
		if r.paused {
			continue
		}
		c.advanceClock(r)
		if r.node.HasLease() && !r.dynamic {
			if leaseHolder != "" {
				c.t.Fatalf("%s and %s both hold the leader lease", leaseHolder, r.id)
			}
			leaseHolder = r.id
		}
	}
}

// find returns the replica with an identifier, or nil if its disk was lost.
func (c *cluster) find(id string) *replica {
	i := slices.IndexFunc(c.replicas, func(r *replica) bool { return r.id == id })
	if i < 0 {
		return nil
	}
	return c.replicas[i]
}

func (c *cluster) deliver(i int) {
	m := c.messages[i]
	c.messages = slices.Delete(c.messages, i, i+1)
	from, to := c.find(m.From), c.find(m.To)
	if from == nil || to == nil || from.isolated || to.isolated || to.paused || c.cutPairs[from.id+to.id] || c.cutPairs[to.id+from.id] {
		return
	}
	c.advanceClock(to)
	to.node.Step(m)
	c.flush(to)
}

func (c *cluster) run(ticks int) {
	for range ticks {
		c.tick()
		for range 6 {
			for i := len(c.messages); i > 0; i-- {
				c.deliver(0)
			}
		}
	}
}

func (c *cluster) propose(r *replica) {
	c.proposed++
	c.advanceClock(r)
	r.node.Propose([]byte(fmt.Sprint("value ", c.proposed)))
	c.flush(r)
}

// TestCommittedEntriesAreNeverLost runs random histories of elections, crashes,
// lost disks, partitions, process pauses, and lost, late and reordered messages.
func TestCommittedEntriesAreNeverLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t)
		c.run(40)
		pick := func() *replica { return c.replicas[rapid.IntRange(0, 2).Draw(t, "replica")] }
		t.Repeat(map[string]func(*rapid.T){
			"tick":   func(t *rapid.T) { c.tick() },
			"run":    func(t *rapid.T) { c.run(rapid.IntRange(1, 30).Draw(t, "ticks")) },
			"freeze": func(t *rapid.T) { pick().paused = true },
			"thaw":   func(t *rapid.T) { pick().paused = false },
			"cut":    func(t *rapid.T) { pick().isolated = true },
			"join":   func(t *rapid.T) { pick().isolated = false },
			"cutPair": func(t *rapid.T) {
				clear(c.cutPairs)
				c.cutPairs[pick().id+pick().id] = true
			},
			"crash": func(t *rapid.T) { c.restart(pick()) },
			"propose": func(t *rapid.T) {
				if r := pick(); !r.paused {
					c.propose(r)
				}
			},
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
			"loseDisk": func(t *rapid.T) {
				r := pick()
				for _, other := range c.replicas {
					if other.node.Recovering() {
						return // one lost disk at a time
					}
				}
				r.disk = quorum.PersistentState{}
				c.restart(r)
			},
			"compact": func(t *rapid.T) {
				r := pick()
				if tail := r.node.Tail(); len(tail) > 3 && r.node.Commit() > tail[0].Index {
					snap := r.node.Compact(r.node.Commit(), []byte("state"))
					r.disk.Snapshot = snap
					r.disk.Entries = slices.Clone(r.node.Tail())
				}
			},
		})
		c.heal()
	})
}

// heal ends all faults and checks that proposals are committed again.
func (c *cluster) heal() {
	for _, r := range c.replicas {
		r.isolated, r.paused = false, false
	}
	clear(c.cutPairs)
	c.run(120)
	before := len(c.committed)
	for _, r := range c.replicas {
		c.propose(r)
	}
	c.run(40)
	if len(c.committed) <= before {
		text := ""
		for _, r := range c.replicas {
			text += fmt.Sprintf("\n%s role=%d term=%d leader=%s recovering=%v commit=%d last=%d snapshot=%d", r.id, r.node.Role(),
				r.node.Term(), r.node.Leader(), r.node.Recovering(), r.node.Commit(), len(r.node.Tail()), r.disk.Snapshot.Index)
		}
		c.t.Fatalf("nothing is committed after all faults have ended%s", text)
	}
}

// TestRestartedReplicaHonorsLeaderLease guards against two simultaneous leases. It
// restarts a follower whose latest acknowledgement extends the leader's lease,
// while a replica that is cut off from the leader requests votes.
func TestRestartedReplicaHonorsLeaderLease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t)
		c.run(40)
		var leader, others = -1, []*replica{}
		for i, r := range c.replicas {
			if r.node.Role() == quorum.Leader {
				leader = i
				continue
			}
			others = append(others, r)
		}
		if leader < 0 || len(others) != 2 {
			t.Fatalf("no leader was elected")
		}
		c.cutPairs[c.replicas[leader].id+others[0].id] = true
		c.run(rapid.IntRange(20, 60).Draw(t, "ticks"))
		c.restart(others[1])
		c.run(20)
	})
}

// TestFixedSetReplicaWithLostDiskCatchesUp guards against a leader that relies on
// the match index from before a follower of a fixed set lost its disk.
func TestFixedSetReplicaWithLostDiskCatchesUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t)
		c.run(40)
		for _, r := range c.replicas {
			c.propose(r)
		}
		c.run(20)
		for _, r := range c.replicas {
			if r.node.Role() == quorum.Leader {
				continue
			}
			r.disk = quorum.PersistentState{}
			c.restart(r)
			c.run(60)
			if r.node.Recovering() || r.node.Commit() != c.find(r.node.Leader()).node.Commit() {
				t.Fatalf("%s: recovering=%v, commit=%d", r.id, r.node.Recovering(), r.node.Commit())
			}
		}
	})
}
