package quorum

import (
	"maps"
	"slices"
	"strings"
)

// MembershipLimits bounds a dynamic set of voters. Zero values take defaults.
type MembershipLimits struct {
	// MinVoters is the size of the set at which a voter that may come back is no
	// longer removed; one whose disk is known to be lost still is. If f disks may
	// be lost together it is 2f+1, so that each commit reaches more disks than can
	// be lost.
	MinVoters int
	// MaxVoters is the size of the set at which a learner becomes a voter only if
	// there is an unresponsive voter.
	MaxVoters int
	// VoterTimeoutTicks is how long a voter must be unresponsive before it may be
	// removed.
	VoterTimeoutTicks uint64
}

const (
	defaultMinVoters         = 3
	defaultMaxVoters         = 9
	defaultVoterTimeoutTicks = 60

	// learnerTimeoutFactor times VoterTimeoutTicks is how long the progress of an
	// unresponsive learner is kept.
	learnerTimeoutFactor = 2
)

func (l MembershipLimits) withDefaults() MembershipLimits {
	if l.MinVoters == 0 {
		l.MinVoters = defaultMinVoters
	}
	if l.MaxVoters == 0 {
		l.MaxVoters = defaultMaxVoters
	}
	if l.VoterTimeoutTicks == 0 {
		l.VoterTimeoutTicks = defaultVoterTimeoutTicks
	}
	return l
}

// idSeparator separates the address and the disk token of an identifier.
const idSeparator = "~"

// MakeID returns the identifier of a replica: its address and, unless it is an
// initial voter, a random token stored on its disk. The identifier is lost with
// the disk.
func MakeID(address, disk string) string {
	if disk == "" {
		return address
	}
	return address + idSeparator + disk
}

// AddressOf returns the address in a replica's identifier.
func AddressOf(id string) string {
	address, _, _ := strings.Cut(id, idSeparator)
	return address
}

// AddLearner starts to replicate the log to a replica that asks to join, so that
// it may become a voter. Only the leader of a dynamic set acts on it. A joining
// replica repeats its request until it hears from the leader.
func (n *Node) AddLearner(id string) {
	if n.role != Leader || !n.cfg.DynamicMembership || id == n.cfg.ID {
		return
	}
	if n.progress[id] == nil {
		n.trackProgress([]string{id})
		n.progress[id].ackedAt = 0
		n.sendAppend(id)
	}
	n.progress[id].joinRequestedAt = n.now
}

// changeMembership proposes at most one change of the voters. A change waits until
// the previous one and an entry of the leader's own term are committed, so that
// the quorums of successive sets always overlap.
//
// A voter whose disk is known to be lost is removed first: it can never vote
// again, so the smaller set needs no more of the other voters than the larger one
// did. Then a voter that leaves or is unresponsive is removed, if the set is larger
// than MinVoters. In an odd set that cannot shrink it is replaced by a caught-up
// learner in one change: a set with both would need the vote of the learner, which may
// be lost as well. Otherwise a caught-up learner is added.
//
// While a voter of an odd set is silent but not yet removable, no learner is added:
// the larger set would need one more vote, and not tolerate more losses.
func (n *Node) changeMembership() {
	mayChange := n.log.lastMembershipChange() <= n.log.commit && n.log.termAt(n.log.commit) == n.hardState.Term
	if !n.cfg.DynamicMembership || !mayChange {
		return
	}
	if n.log.voters.replacing() {
		n.endReplacement()
		return
	}
	if !n.IsVoter(n.cfg.ID) {
		n.stepDownRemoved()
		return
	}
	limits := n.membershipLimits()
	n.expireLearners(limits)
	size := len(n.log.voters.current)
	replaced, removable, caughtUp := n.replacedVoter(), n.removableVoter(limits), n.caughtUpLearner()
	mayGrow := size < limits.MaxVoters && (size%2 == 0 || !n.hasSilentVoter())
	switch {
	case replaced != "" && size >= limits.MinVoters:
		n.removeVoter(replaced)
	case removable != "" && size > limits.MinVoters:
		n.removeVoter(removable)
	case caughtUp != "" && removable != "" && size%2 == 1:
		voters := n.log.voters.current
		n.appendEntry(Entry{Voters: replace(voters, removable, caughtUp), Outgoing: voters})
	case caughtUp != "" && mayGrow:
		n.appendEntry(Entry{Voters: append(slices.Clone(n.log.voters.current), caughtUp)})
	}
}

// endReplacement ends a committed replacement: from the next entry on the outgoing set
// no longer decides.
func (n *Node) endReplacement() {
	next := n.log.voters.current
	for _, id := range n.log.voters.outgoing {
		if !slices.Contains(next, id) && id != n.cfg.ID && n.progress[id].leaveID == 0 {
			delete(n.progress, id)
		}
	}
	n.appendEntry(Entry{Voters: slices.Clone(next)})
}

// stepDownRemoved hands over to a voter. A voter may be elected while it is removed or
// replaced, and leads until that is committed.
func (n *Node) stepDownRemoved() {
	n.leaveGranted = n.Leaving()
	if target := n.transferTarget(); target != "" {
		n.send(target, Message{Kind: KindTransfer, Term: n.hardState.Term})
	}
	n.become(Follower, n.hardState.Term, "")
}

func (n *Node) membershipLimits() MembershipLimits { return n.cfg.MembershipLimits.withDefaults() }

// removeVoter removes a voter. One that leaves still receives appends, which tell it
// when it may stop.
func (n *Node) removeVoter(removed string) {
	if n.progress[removed].leaveID == 0 {
		delete(n.progress, removed)
	}
	n.appendEntry(Entry{Voters: slices.DeleteFunc(slices.Clone(n.log.voters.current), func(id string) bool { return id == removed })})
}

// caughtUpLearner returns a learner whose log holds all committed entries, or "".
func (n *Node) caughtUpLearner() string {
	for _, id := range slices.Sorted(maps.Keys(n.progress)) {
		p := n.progress[id]
		if !n.IsVoter(id) && p.match >= n.log.commit && p.leaveID == 0 && n.isResponsive(p) {
			return id
		}
	}
	return ""
}

// replacedVoter returns a voter at whose address a replica with another
// identifier responds, which means that its disk is lost, or "".
func (n *Node) replacedVoter() string {
	for _, id := range n.log.voters.current {
		if id == n.cfg.ID || n.isResponsive(n.progress[id]) {
			continue
		}
		for other, p := range n.progress {
			if other != id && AddressOf(other) == AddressOf(id) && n.isResponsive(p) {
				return id
			}
		}
	}
	return ""
}

// removableVoter returns a voter that leaves, or else the one that has been
// unresponsive for longest among those past VoterTimeoutTicks, or "". A leader that
// hears from no quorum cannot tell which side is silent.
func (n *Node) removableVoter(limits MembershipLimits) string {
	if !n.hearsQuorum(uint64(n.cfg.ElectionTicks)) {
		return ""
	}
	longest := ""
	for _, id := range n.log.voters.current {
		if id != n.cfg.ID && n.progress[id].leaveID != 0 {
			return id
		}
		if id == n.cfg.ID || n.now-n.progress[id].ackedAt <= limits.VoterTimeoutTicks {
			continue
		}
		if longest == "" || n.progress[id].ackedAt < n.progress[longest].ackedAt {
			longest = id
		}
	}
	return longest
}

// hasSilentVoter reports whether a voter is unresponsive.
func (n *Node) hasSilentVoter() bool {
	return slices.ContainsFunc(n.log.voters.current, func(id string) bool {
		return id != n.cfg.ID && !n.isResponsive(n.progress[id])
	})
}

// isResponsive reports whether a replica has acknowledged a message sent less than
// an election timeout ago.
func (n *Node) isResponsive(p *progress) bool {
	return p.ackedAt > 0 && n.now-p.ackedAt < uint64(n.cfg.ElectionTicks)
}

// expireLearners drops the progress of learners that neither acknowledge messages
// nor repeat their request to join.
func (n *Node) expireLearners(limits MembershipLimits) {
	for id, p := range n.progress {
		if !n.IsVoter(id) && n.now-max(p.ackedAt, p.joinRequestedAt) > learnerTimeoutFactor*limits.VoterTimeoutTicks {
			delete(n.progress, id)
		}
	}
}
