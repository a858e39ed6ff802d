package quorum

import "slices"

// progress is what a leader knows of one voter or learner.
//
// A new peer is probed: empty appends find the end of the log that both share.
// From there entries are sent without waiting for each answer, up to
// maxBytesInFlight. What is not acknowledged for an election timeout counts as
// lost and is sent again.
type progress struct {
	match, next uint64
	probing     bool   // next is a guess
	movedAt     uint64 // tick at which match grew, or entries were sent after a rest
	ackedAt     uint64 // send tick of the latest acknowledged message
	learner     bool
	snapshotAt  uint64 // tick at which a snapshot was sent; 0 for none
	round       uint64 // latest read round that the peer acknowledged
	joinedAt    uint64 // tick at which a learner last asked to join
}

// sendAppend sends a peer what it lacks, or a heartbeat.
func (n *Node) sendAppend(id string) {
	p := n.progress[id]
	if p.next > p.match+1 && !p.probing && n.now-p.movedAt >= uint64(n.cfg.ElectionTicks) {
		p.next, p.movedAt = p.match+1, n.now
	}
	switch {
	case p.next <= n.log.snapshot.Index:
		n.sendSnapshot(id, p)
	case p.probing:
		n.sendEntries(id, p.next-1, nil)
	default:
		n.sendNext(id, p)
	}
}

// sendNext sends the entries after those that are under way, if the peer may get
// more, or else a heartbeat.
func (n *Node) sendNext(id string, p *progress) {
	entries := n.log.slice(p.next, min(n.log.last(), p.next+maxEntriesPerMessage-1))
	underWay := n.log.slice(max(p.match, n.log.snapshot.Index)+1, p.next-1)
	if bytesOf(underWay) >= maxBytesInFlight {
		entries = nil
	}
	if len(entries) == 0 {
		// It rests on what is under way, so that it also commits that.
		n.sendEntries(id, p.next-1, nil)
		return
	}
	if len(underWay) == 0 {
		p.movedAt = n.now
	}
	entries = fitting(entries)
	n.sendEntries(id, p.next-1, entries)
	p.next += uint64(len(entries))
}

// sendHeartbeat sends an append that holds for what the peer has acknowledged, so
// that it is never refused.
func (n *Node) sendHeartbeat(id string, p *progress) {
	before := p.match
	if before < n.log.snapshot.Index {
		before = 0 // holds for any log
	}
	n.sendEntries(id, before, nil)
}

func (n *Node) sendEntries(id string, before uint64, entries []Entry) {
	n.send(id, Message{
		Kind: KindAppend, Term: n.hard.Term, Index: before, LogTerm: n.log.termAt(before),
		Entries: slices.Clone(entries), Commit: n.log.commit, Sent: n.now, Round: n.round,
	})
}

// sendSnapshot sends the snapshot to a peer that lacks entries which are gone, and
// heartbeats while it is under way.
func (n *Node) sendSnapshot(id string, p *progress) {
	if p.snapshotAt != 0 && n.now-p.snapshotAt < uint64(n.cfg.ElectionTicks) {
		n.sendHeartbeat(id, p)
		return
	}
	p.snapshotAt = n.now
	snap := n.log.snapshot
	n.send(id, Message{Kind: KindSnapshot, Term: n.hard.Term, Snapshot: &snap, Sent: n.now})
}

func (n *Node) onAppendReply(m Message) {
	if n.role != Leader {
		return
	}
	p := n.progress[m.From]
	if p == nil {
		return // no longer a voter or learner
	}
	p.ackedAt = max(p.ackedAt, m.Sent)
	p.round = max(p.round, m.Round)
	p.learner = m.Learner
	if m.Reject {
		n.onRefusal(m, p)
		return
	}
	p.snapshotAt = 0
	if p.probing {
		p.probing, p.next = false, m.Index+1
	}
	if m.Index > p.match {
		p.match, p.movedAt = m.Index, n.now
	}
	p.next = max(p.next, p.match+1)
	before := n.log.commit
	n.advanceCommit()
	switch {
	case n.log.commit > before:
		n.broadcast()
	case p.next <= n.log.last():
		n.sendAppend(m.From)
	}
}

// onRefusal goes back in the log of a peer that lacks what was sent before the
// entries. Refusals of what was sent before the last step back say nothing new.
func (n *Node) onRefusal(m Message, p *progress) {
	if m.Learner {
		// A replica of a fixed set that has lost its disk keeps its identifier.
		p.match = min(p.match, m.Index)
	}
	stale := m.Before <= p.match
	if p.probing {
		stale = m.Before != p.next-1
	}
	if stale {
		return
	}
	p.probing = true
	p.next = max(1, min(m.Before, m.Index+1))
	n.sendAppend(m.From)
}

// fitting returns the first entries that go into one message.
func fitting(entries []Entry) []Entry {
	size := 0
	for i, e := range entries {
		size += len(e.Data)
		if size > maxBytesPerMessage && i > 0 {
			return entries[:i]
		}
	}
	return entries
}

func bytesOf(entries []Entry) int {
	size := 0
	for _, e := range entries {
		size += len(e.Data)
	}
	return size
}
