package quorum

import (
	"slices"
	"strings"
)

// Shape bounds an agreed set of voters. Zero values take defaults.
type Shape struct {
	// Floor is the number of voters below which none is dropped. With f disks
	// that may be lost together it is 2f+1, so that each commit reaches more
	// disks than can be lost.
	Floor int
	// Ceiling is the number of voters above which learners stay learners.
	Ceiling int
	// SilentTicks is the silence after which a voter may be dropped.
	SilentTicks uint64
}

const (
	defaultFloor       = 3
	defaultCeiling     = 9
	defaultSilentTicks = 60

	// learnerSilence is how many silent windows a learner is followed for.
	learnerSilence = 2
)

func (s Shape) withDefaults() Shape {
	if s.Floor == 0 {
		s.Floor = defaultFloor
	}
	if s.Ceiling == 0 {
		s.Ceiling = defaultCeiling
	}
	if s.SilentTicks == 0 {
		s.SilentTicks = defaultSilentTicks
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

// Admit lets a replica learn the log, so that it may become a voter. Only a
// leader of an agreed set acts on it. A newcomer repeats its request until it
// hears from the leader.
func (n *Node) Admit(id string) {
	if n.role != Leader || !n.cfg.Agreed || id == n.cfg.ID {
		return
	}
	if n.progress[id] == nil {
		n.track([]string{id})
		n.progress[id].ackedAt = 0
		n.sendAppend(id)
	}
	n.progress[id].joinedAt = n.now
}

// reshape proposes at most one change of the voters: a learner that has caught
// up is added, then a voter that is lost is dropped. One change waits for the
// commitment of the one before and for an entry of the leader's own term, so the
// quorums of neighbouring sets always overlap.
func (n *Node) reshape() {
	settled := n.log.shapedAt() <= n.log.commit && n.log.termAt(n.log.commit) == n.hard.Term
	if !n.cfg.Agreed || !settled {
		return
	}
	shape := n.cfg.Shape.withDefaults()
	n.forgetLearners(shape)
	peers := n.log.peers
	lost := n.lostVoter(shape)
	if id := n.readyLearner(); id != "" && (len(peers) < shape.Ceiling || lost != "") {
		n.extend(Entry{Peers: append(slices.Clone(peers), id)})
		return
	}
	if lost != "" && len(peers) > shape.Floor {
		next := slices.DeleteFunc(slices.Clone(peers), func(id string) bool { return id == lost })
		delete(n.progress, lost)
		n.extend(Entry{Peers: next})
	}
}

// readyLearner returns a learner that holds everything committed, or "".
func (n *Node) readyLearner() string {
	for id, p := range n.progress {
		if !n.Voter(id) && p.match >= n.log.commit && n.answers(p) {
			return id
		}
	}
	return ""
}

// lostVoter returns the voter whose disk has been replaced, or else the one that
// has been silent for longest and for too long, or "".
func (n *Node) lostVoter(shape Shape) string {
	lost := ""
	for _, id := range n.log.peers {
		if id == n.cfg.ID {
			continue
		}
		if n.superseded(id) {
			return id
		}
		if n.now-n.progress[id].ackedAt <= shape.SilentTicks {
			continue
		}
		if lost == "" || n.progress[id].ackedAt < n.progress[lost].ackedAt {
			lost = id
		}
	}
	return lost
}

// superseded reports whether another replica answers at the address of id.
func (n *Node) superseded(id string) bool {
	for other, p := range n.progress {
		if other != id && AddressOf(other) == AddressOf(id) && n.answers(p) && !n.answers(n.progress[id]) {
			return true
		}
	}
	return false
}

// answers reports whether a replica has acknowledged something recently.
func (n *Node) answers(p *progress) bool {
	return p.ackedAt > 0 && n.now-p.ackedAt < uint64(n.cfg.ElectionTicks)
}

// forgetLearners stops following learners that neither answer nor ask.
func (n *Node) forgetLearners(shape Shape) {
	for id, p := range n.progress {
		if !n.Voter(id) && n.now-max(p.ackedAt, p.joinedAt) > learnerSilence*shape.SilentTicks {
			delete(n.progress, id)
		}
	}
}
