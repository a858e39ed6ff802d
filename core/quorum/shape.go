package quorum

import (
	"slices"
	"strings"
)

// MembershipLimits bounds an agreed set of voters. Zero values take defaults.
type MembershipLimits struct {
	// MinVoters is the number of voters below which none is dropped that may come
	// back. With f disks that may be lost together it is 2f+1, so that each
	// commit reaches more disks than can be lost.
	MinVoters int
	// MaxVoters is the number of voters above which learners stay learners.
	MaxVoters int
	// VoterTimeoutTicks is the silence after which a voter may be dropped.
	VoterTimeoutTicks uint64
}

const (
	defaultFloor       = 3
	defaultCeiling     = 9
	defaultSilentTicks = 60

	// learnerSilence is how many silent windows a learner is followed for.
	learnerSilence = 2
)

func (s MembershipLimits) withDefaults() MembershipLimits {
	if s.MinVoters == 0 {
		s.MinVoters = defaultFloor
	}
	if s.MaxVoters == 0 {
		s.MaxVoters = defaultCeiling
	}
	if s.VoterTimeoutTicks == 0 {
		s.VoterTimeoutTicks = defaultSilentTicks
	}
	return s
}

// idSeparator stands between the address and the disk of an identifier.
const idSeparator = "~"

// MakeID returns the identifier of a replica: its address and, unless it is a
// founder, a token drawn for its disk. A disk that was lost takes the identifier
// with it.
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

// AddLearner lets a replica learn the log, so that it may become a voter. Only a
// leader of an agreed set acts on it. A newcomer repeats its request until it
// hears from the leader.
func (n *Node) AddLearner(id string) {
	if n.role != Leader || !n.cfg.DynamicMembership || id == n.cfg.ID {
		return
	}
	if n.progress[id] == nil {
		n.track([]string{id})
		n.progress[id].ackedAt = 0
		n.sendAppend(id)
	}
	n.progress[id].joinedAt = n.now
}

// reshape proposes at most one change of the voters. One change waits for the
// commitment of the one before and for an entry of the leader's own term, so the
// quorums of neighbouring sets always overlap.
//
// A voter whose disk is known to be lost is dropped first: it can never vote
// again, so the smaller set asks no more of the others than the larger one did.
// Then a learner that has caught up is added, and a silent voter is dropped that
// is thereby replaced.
func (n *Node) reshape() {
	settled := n.log.shapedAt() <= n.log.commit && n.log.termAt(n.log.commit) == n.hard.Term
	if !n.cfg.DynamicMembership || !settled {
		return
	}
	shape := n.cfg.MembershipLimits.withDefaults()
	n.forgetLearners(shape)
	size := len(n.log.peers)
	superseded, silent, ready := n.supersededVoter(), n.silentVoter(shape), n.readyLearner()
	switch {
	case superseded != "" && size >= shape.MinVoters:
		n.drop(superseded)
	case ready != "" && (size < shape.MaxVoters || silent != ""):
		n.extend(Entry{Voters: append(slices.Clone(n.log.peers), ready)})
	case silent != "" && size > shape.MinVoters:
		n.drop(silent)
	}
}

func (n *Node) drop(lost string) {
	delete(n.progress, lost)
	n.extend(Entry{Voters: slices.DeleteFunc(slices.Clone(n.log.peers), func(id string) bool { return id == lost })})
}

// readyLearner returns a learner that holds everything committed, or "".
func (n *Node) readyLearner() string {
	for id, p := range n.progress {
		if !n.IsVoter(id) && p.match >= n.log.commit && n.answers(p) {
			return id
		}
	}
	return ""
}

// supersededVoter returns a voter at whose address another replica answers, so
// that its disk is lost, or "".
func (n *Node) supersededVoter() string {
	for _, id := range n.log.peers {
		if id == n.cfg.ID || n.answers(n.progress[id]) {
			continue
		}
		for other, p := range n.progress {
			if other != id && AddressOf(other) == AddressOf(id) && n.answers(p) {
				return id
			}
		}
	}
	return ""
}

// silentVoter returns the voter that has been silent for longest, and for too
// long, or "".
func (n *Node) silentVoter(shape MembershipLimits) string {
	longest := ""
	for _, id := range n.log.peers {
		if id == n.cfg.ID || n.now-n.progress[id].ackedAt <= shape.VoterTimeoutTicks {
			continue
		}
		if longest == "" || n.progress[id].ackedAt < n.progress[longest].ackedAt {
			longest = id
		}
	}
	return longest
}

// answers reports whether a replica has acknowledged something recently.
func (n *Node) answers(p *progress) bool {
	return p.ackedAt > 0 && n.now-p.ackedAt < uint64(n.cfg.ElectionTicks)
}

// forgetLearners stops following learners that neither answer nor ask.
func (n *Node) forgetLearners(shape MembershipLimits) {
	for id, p := range n.progress {
		if !n.IsVoter(id) && n.now-max(p.ackedAt, p.joinedAt) > learnerSilence*shape.VoterTimeoutTicks {
			delete(n.progress, id)
		}
	}
}
