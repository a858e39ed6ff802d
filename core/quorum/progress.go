package quorum

import "slices"

// progress is the leader's view of the log of one voter or learner.
//
// A new peer is probed: empty appends find the last index at which both logs
// match. From there on entries are pipelined, up to maxBytesInFlight. Entries
// that are not acknowledged within an election timeout count as lost and are sent
// again.
type progress struct {
	match, next     uint64
	probing         bool   // next is an estimate
	advancedAt      uint64 // tick at which match grew, or entries were sent with none in flight
	ackedAt         uint64 // tick at which the latest acknowledged message was sent; 0 for a new learner
	learner         bool
	snapshotSentAt  uint64 // tick at which a snapshot was sent; 0 for none
	readRound       uint64 // latest read round that the peer acknowledged
	joinRequestedAt uint64 // tick of a learner's latest request to join
	leaveID         uint64 // number of the peer's request to leave, or 0
}

// sendAppend sends a peer a snapshot, the entries that it lacks, or a heartbeat.
func (n *Node) sendAppend(id string) {
	p := n.progress[id]
	if p.next > p.match+1 && !p.probing && n.now-p.advancedAt >= uint64(n.cfg.ElectionTicks) {
		p.next, p.advancedAt = p.match+1, n.now
	}
	switch {
	case p.next <= n.log.snapshot.Index:
		n.sendSnapshot(id, p)
	case p.probing:
		n.sendEntries(id, p.next-1, nil)
	default:
		n.sendPipelined(id, p)
	}
}

// sendPipelined sends the entries after those in flight, or a heartbeat if there
// are none or maxBytesInFlight is reached.
func (n *Node) sendPipelined(id string, p *progress) {
	entries := n.log.slice(p.next, min(n.log.last(), p.next+maxEntriesPerMessage-1))
	inFlight := n.log.slice(max(p.match, n.log.snapshot.Index)+1, p.next-1)
	if dataSize(inFlight) >= maxBytesInFlight {
		entries = nil
	}
	if len(entries) == 0 {
		// The heartbeat follows the entries in flight, so that it also commits them.
		n.sendEntries(id, p.next-1, nil)
		return
	}
	if len(inFlight) == 0 {
		p.advancedAt = n.now
	}
	entries = limitSize(entries)
	n.sendEntries(id, p.next-1, entries)
	p.next += uint64(len(entries))
}

// sendHeartbeat sends an empty append at the index that the peer has
// acknowledged, so that it is never rejected.
func (n *Node) sendHeartbeat(id string, p *progress) {
	before := p.match
	if before < n.log.snapshot.Index {
		before = 0 // matches any log
	}
	n.sendEntries(id, before, nil)
}

func (n *Node) sendEntries(id string, before uint64, entries []Entry) {
	m := Message{
		Kind: KindAppend, Term: n.hardState.Term, Index: before, LogTerm: n.log.termAt(before),
		Entries: slices.Clone(entries), Commit: n.log.commit, SentTick: n.now, ReadRound: n.readRound,
	}
	if leaveID := n.progress[id].leaveID; leaveID != 0 && n.mayLeave(id) {
		m.LeaveID = leaveID
	}
	n.send(id, m)
}

// sendSnapshot sends the snapshot to a peer that lacks compacted entries, and
// heartbeats while the snapshot is in flight.
func (n *Node) sendSnapshot(id string, p *progress) {
	if p.snapshotSentAt != 0 && n.now-p.snapshotSentAt < uint64(n.cfg.ElectionTicks) {
		n.sendHeartbeat(id, p)
		return
	}
	p.snapshotSentAt = n.now
	snap := n.log.snapshot
	n.send(id, Message{Kind: KindSnapshot, Term: n.hardState.Term, Snapshot: &snap, SentTick: n.now})
}

func (n *Node) handleAppendReply(m Message) {
	if n.role != Leader {
		return
	}
	p := n.progress[m.From]
	if p == nil {
		return // no longer a voter or learner
	}
	p.recordLeave(m)
	p.ackedAt = max(p.ackedAt, m.SentTick)
	p.readRound = max(p.readRound, m.ReadRound)
	p.learner = m.Learner
	if m.Reject {
		n.handleReject(m, p)
		return
	}
	p.snapshotSentAt = 0
	if p.probing {
		p.probing, p.next = false, m.Index+1
	}
	if m.Index > p.match {
		p.match, p.advancedAt = m.Index, n.now
	}
	p.next = max(p.next, p.match+1)
	before := n.log.commit
	n.advanceCommit()
	switch {
	case n.log.commit > before:
		n.broadcastAppend()
	case p.next <= n.log.last():
		n.sendAppend(m.From)
	}
}

// handleReject probes at a lower index after a peer has rejected an append whose
// previous entry it lacks. Rejections of appends sent before the latest step back
// are stale.
func (n *Node) handleReject(m Message, p *progress) {
	if m.Learner {
		// A replica of a fixed set keeps its identifier when it loses its disk, so
		// its log may have become shorter than match.
		p.match = min(p.match, m.Index)
	}
	stale := m.RejectedIndex <= p.match
	if p.probing {
		stale = m.RejectedIndex != p.next-1
	}
	if stale {
		return
	}
	p.probing = true
	p.next = max(1, min(m.RejectedIndex, m.Index+1))
	n.sendAppend(m.From)
}

// limitSize returns the leading entries that fit into one message.
func limitSize(entries []Entry) []Entry {
	size := 0
	for i, e := range entries {
		size += len(e.Data)
		if size > maxBytesPerMessage && i > 0 {
			return entries[:i]
		}
	}
	return entries
}

func dataSize(entries []Entry) int {
	size := 0
	for _, e := range entries {
		size += len(e.Data)
	}
	return size
}
