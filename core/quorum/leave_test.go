package quorum_test

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"boragepost/core/quorum"
)

const (
	// turnoverCatchUpTicks is how long a replica counts as lost after it has started:
	// twice the default voter timeout.
	turnoverCatchUpTicks = 120
	// leaveGraceTicks is how long a replica that stops may wait for the grant.
	leaveGraceTicks = 90
	maxDownTicks    = 60
	// replacementTicks is the time from a loss to the start of a successor.
	replacementTicks = 20
)

// turnover plays losses and replacements of replicas, of which at most tolerance at a
// time count as lost.
type turnover struct {
	*dynamicCluster
	t         *rapid.T
	tolerance int
	started   int
}

// newTurnover returns a set that tolerates one or two losses.
func newTurnover(t *rapid.T) *turnover {
	return newTurnoverOf(t, rapid.IntRange(1, 2).Draw(t, "tolerance"))
}

func newTurnoverOf(t *rapid.T, tolerance int) *turnover {
	initialVoters := []string{"a", "b", "c", "d", "e"}[:2*tolerance+1]
	c := newDynamicClusterOf(t, quorum.MembershipLimits{MinVoters: 2*tolerance + 1}, initialVoters...)
	d := &turnover{dynamicCluster: c, t: t, tolerance: tolerance}
	d.advance(40)
	return d
}

func (d *turnover) pick(label string) *replica {
	return d.replicas[rapid.IntRange(0, len(d.replicas)-1).Draw(d.t, label)]
}

// pickLost returns up to tolerance replicas, at least one.
func (d *turnover) pickLost() []*replica {
	first := rapid.IntRange(0, len(d.replicas)-1).Draw(d.t, "first")
	var lost []*replica
	for i := range rapid.IntRange(1, d.tolerance).Draw(d.t, "lost") {
		lost = append(lost, d.replicas[(first+i)%len(d.replicas)])
	}
	return lost
}

func (d *turnover) ticks(label string, most int) int {
	return rapid.IntRange(0, most).Draw(d.t, label)
}

// startSuccessor starts an empty replica at a new address.
func (d *turnover) startSuccessor() *replica {
	d.started++
	return d.add(quorum.MakeID(fmt.Sprint("successor", d.started), "disk"), nil)
}

// advanceMessages plays ticks and single messages, so that a replica may end between any
// two messages of a change of the voters.
func (d *turnover) advanceMessages(steps int) {
	for range steps {
		if len(d.messages) > 0 {
			d.deliver(0)
			continue
		}
		if d.now-d.lastJoinAt > 10 {
			d.lastJoinAt = d.now
			d.join()
		}
		d.tick()
	}
}

// end ends a replica for good.
func (d *turnover) end(r *replica) {
	d.replicas = slices.DeleteFunc(d.replicas, func(o *replica) bool { return o == r })
}

// stop lets replicas ask to leave at the same time and ends each as soon as it may
// stop, or after the grace period.
func (d *turnover) stop(leaving ...*replica) {
	for _, r := range leaving {
		d.started++
		r.node.RequestLeave(uint64(d.started))
	}
	for range leaveGraceTicks {
		for _, r := range leaving {
			if r.node.LeaveGranted() {
				d.end(r)
			}
		}
		if !slices.ContainsFunc(leaving, func(r *replica) bool { return slices.Contains(d.replicas, r) }) {
			return
		}
		d.advance(1)
	}
	for _, r := range leaving {
		d.end(r)
	}
}

// wipe restarts replicas without their disks and gives them time to catch up.
func (d *turnover) wipe(lost ...*replica) {
	for _, r := range lost {
		d.end(r)
	}
	d.advance(d.ticks("down", maxDownTicks))
	for _, r := range lost {
		d.started++
		d.add(quorum.MakeID(quorum.AddressOf(r.id), fmt.Sprint("disk", d.started)), nil)
	}
	d.advance(turnoverCatchUpTicks)
}

// replacePlanned starts successors, and stops as many replicas once these have caught up.
func (d *turnover) replacePlanned(count int) { d.stop(d.succeed(count)...) }

// succeed starts successors and returns as many of the older replicas once these have
// caught up.
func (d *turnover) succeed(count int) []*replica {
	old := slices.Clone(d.replicas)
	for range count {
		d.startSuccessor()
	}
	// A new leader learns of the learners at their next requests to join.
	d.advance(turnoverCatchUpTicks + d.ticks("sinceJoin", 12))
	first := d.ticks("first", len(old)-1)
	return slices.Concat(old, old)[first : first+count]
}

// restartPlanned stops a replica and starts it again with its disk.
func (d *turnover) restartPlanned() {
	r := d.pick("replica")
	d.stop(r)
	d.advance(d.ticks("down", maxDownTicks))
	d.replicas = append(d.replicas, r)
	d.restart(r)
	d.advance(turnoverCatchUpTicks)
}

// replaceLost starts the successors of replicas that ended without notice, at most
// lateTicks later.
func (d *turnover) replaceLost(lateTicks int, lost ...*replica) {
	for _, r := range lost {
		d.end(r)
	}
	d.advance(d.ticks("late", lateTicks))
	for range lost {
		d.startSuccessor()
	}
	d.advance(turnoverCatchUpTicks)
}

// loseSuccessor ends a successor for good before the replica that it was started for
// has been stopped.
func (d *turnover) loseSuccessor() {
	s := d.startSuccessor()
	d.advance(d.ticks("age", turnoverCatchUpTicks))
	d.replaceLost(maxDownTicks, s)
}

func (d *turnover) freeze() {
	r := d.pick("replica")
	r.paused = true
	d.advance(d.ticks("frozen", 2*turnoverCatchUpTicks))
	r.paused = false
	d.advance(turnoverCatchUpTicks)
}

// expectCommit checks that a proposal is committed within a few elections.
func (d *turnover) expectCommit(after string) {
	before := d.highest()
	for range 8 {
		for _, r := range d.replicas {
			if r.node.Role() == quorum.Leader {
				d.propose(r)
			}
		}
		d.advance(10)
		if d.highest() > before && d.leads() {
			return
		}
	}
	d.t.Fatalf("nothing is committed after: %s%s", after, d.describe())
}

func (d *turnover) leads() bool { return d.leader() != nil }

// leader returns a leader that a quorum acknowledges, or nil.
func (d *turnover) leader() *replica {
	i := slices.IndexFunc(d.replicas, func(r *replica) bool {
		return r.node.Role() == quorum.Leader && r.node.HasActiveLeader()
	})
	if i < 0 {
		return nil
	}
	return d.replicas[i]
}

// TestTurnoverKeepsTheQuorum guards against voters that have ended for good and still
// count: with them, the loss of one more disk used to leave no quorum.
func TestTurnoverKeepsTheQuorum(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		d := newTurnover(t)
		for range rapid.IntRange(1, 6).Draw(t, "steps") {
			step := rapid.SampledFrom([]string{"planned", "several", "restart", "lost", "wipe", "successorLost", "freeze"}).Draw(t, "step")
			switch step {
			case "planned":
				d.replacePlanned(1)
			case "several":
				d.replacePlanned(rapid.IntRange(2, len(d.replicas)).Draw(t, "count"))
			case "restart":
				d.restartPlanned()
			case "lost":
				d.replaceLost(maxDownTicks, d.pickLost()...)
			case "wipe":
				d.wipe(d.pickLost()...)
			case "successorLost":
				d.loseSuccessor()
			case "freeze":
				d.freeze()
			}
			if rapid.Bool().Draw(t, "pause") {
				d.expectCommit(step)
			}
		}
		d.expectCommit("all")
	})
}

// TestPlannedReplacementOfSeveralKeepsTheQuorum guards against a new leader that lets replicas
// end as voters because their successors, more than fit into the set, have not yet asked it
// to join.
func TestPlannedReplacementOfSeveralKeepsTheQuorum(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		d := newTurnoverOf(t, 2)
		for range rapid.IntRange(1, 3).Draw(t, "more") {
			d.startSuccessor()
		}
		d.advance(turnoverCatchUpTicks)
		size := len(d.replicas)
		d.stop(d.succeed(rapid.IntRange(size-2, size-1).Draw(t, "count"))...)
		d.expectCommit("replacement of several")
	})
}

// TestDiskLostDuringLeaveKeepsTheQuorum guards against the loss of disks between any two
// messages of the departure of one or several replicas.
func TestDiskLostDuringLeaveKeepsTheQuorum(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		d := newTurnover(t)
		leaving := d.succeed(rapid.IntRange(1, len(d.replicas)).Draw(t, "count"))
		for i, r := range leaving {
			r.node.RequestLeave(uint64(i + 1))
		}
		for range rapid.IntRange(0, 40*len(leaving)).Draw(t, "steps") {
			d.advanceMessages(1)
			for _, r := range leaving {
				if r.node.LeaveGranted() {
					d.end(r)
				}
			}
		}
		lost := d.pickLost()
		if leader := d.leader(); leader != nil && rapid.Bool().Draw(t, "loseLeader") {
			lost = []*replica{leader}
		}
		for _, r := range lost {
			d.end(r)
		}
		d.stop(slices.DeleteFunc(slices.Clone(leaving), func(r *replica) bool { return !slices.Contains(d.replicas, r) })...)
		for _, r := range lost {
			d.started++
			d.add(quorum.MakeID(quorum.AddressOf(r.id), fmt.Sprint("disk", d.started)), nil)
		}
		d.advance(turnoverCatchUpTicks)
		d.expectCommit("lost disk")
	})
}

// TestLostSuccessorKeepsTheQuorum guards against a set that grows by a successor while
// the voter that it is to replace still counts: if the successor is lost as well, no
// quorum used to be left.
func TestLostSuccessorKeepsTheQuorum(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		d := newTurnover(t)
		d.end(d.pick("lost"))
		d.advance(replacementTicks)
		s := d.startSuccessor()
		d.advance(d.ticks("age", replacementTicks))
		d.replaceLost(maxDownTicks, s)
		d.expectCommit("lost successor")
	})
}

// TestStaleLeaveHasNoEffect guards against a request or a grant of an earlier stop
// of the same replica: neither may remove or release the process that runs now.
func TestStaleLeaveHasNoEffect(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		d := newTurnover(t)
		d.startSuccessor()
		d.advance(turnoverCatchUpTicks)
		r := d.pick("replica")
		if r.node.Role() == quorum.Leader {
			return
		}
		leader := d.find(r.node.Leader())
		stale := []quorum.Message{}
		r.node.RequestLeave(1)
		for range 20 {
			d.tick()
			for len(d.messages) > 0 {
				if m := d.messages[0]; m.LeaveID != 0 {
					stale = append(stale, m)
				}
				d.deliver(0)
			}
		}
		d.restart(r)
		d.advance(turnoverCatchUpTicks)
		d.messages = append(d.messages, stale...)
		d.advance(5)
		if leader.node.Role() == quorum.Leader && !leader.node.IsVoter(r.id) {
			t.Fatalf("%s was removed by a request of its earlier stop%s", r.id, d.describe())
		}
		r.node.RequestLeave(2)
		for _, m := range stale {
			r.node.Step(m)
		}
		if r.node.LeaveGranted() {
			t.Fatalf("%s may stop by a grant of its earlier stop%s", r.id, d.describe())
		}
	})
}

// TestSuccessorLostDuringChangeKeepsTheQuorum guards against a change of the voters that
// can no longer be committed when the successor is lost before it has acknowledged it.
func TestSuccessorLostDuringChangeKeepsTheQuorum(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		d := newTurnover(t)
		for _, lost := range d.pickLost() {
			d.end(lost)
		}
		d.advance(replacementTicks)
		s := d.startSuccessor()
		d.advanceMessages(rapid.IntRange(0, 600).Draw(t, "steps"))
		d.replaceLost(maxDownTicks, s)
		d.expectCommit("successor lost during a change")
	})
}

// TestReplacedVoterReturns guards against a change of the voters that a voter which was
// only silent disturbs when it returns: it may be elected while it is being replaced. A
// disk is lost at the same moment.
func TestReplacedVoterReturns(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		d := newTurnover(t)
		silent := d.pick("silent")
		silent.isolated = true
		d.advance(replacementTicks)
		s := d.startSuccessor()
		replacing := func(r *replica) bool { return r.node.IsVoter(silent.id) && r.node.IsVoter(s.id) }
		for range 600 {
			if slices.ContainsFunc(d.replicas, replacing) {
				break
			}
			d.advanceMessages(1)
		}
		silent.isolated = false
		d.advanceMessages(rapid.IntRange(0, 40).Draw(t, "steps"))
		if lost := d.pick("lost"); lost != silent && lost != s {
			d.wipe(lost)
		}
		d.advance(turnoverCatchUpTicks)
		d.expectCommit("a replaced voter has returned")
	})
}

// TestDiskLostDuringReplacementKeepsTheQuorum guards against the loss of a disk between any
// two messages of the replacement of a voter that ended without notice.
func TestDiskLostDuringReplacementKeepsTheQuorum(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		d := newTurnoverOf(t, 2)
		d.end(d.pick("ended"))
		d.advance(replacementTicks)
		d.startSuccessor()
		d.advanceMessages(rapid.IntRange(0, 800).Draw(t, "steps"))
		d.wipe(d.pick("lost"))
		d.expectCommit("disk lost during a replacement")
	})
}
