package quorum

// raftLog holds the latest snapshot and the entries after it. entries[i] has index
// snapshot.Index+1+i.
type raftLog struct {
	snapshot      Snapshot
	entries       []Entry
	commit        uint64
	unsaved       uint64 // lowest index not yet returned by takeUnsaved; 0 for none
	dynamic       bool   // entries may replace the voters
	initialVoters []string
	voters        voterSets // committed or not: those of the last entry with Voters
}

func newLog(saved PersistentState, cfg Config) raftLog {
	l := raftLog{snapshot: saved.Snapshot, commit: saved.Snapshot.Index, dynamic: cfg.DynamicMembership, initialVoters: cfg.InitialVoters}
	for _, e := range saved.Entries {
		if e.Index > l.snapshot.Index {
			l.entries = append(l.entries, e)
		}
	}
	l.voters = l.votersAt(l.last())
	return l
}

// votersAt returns the voters as of an index that the log holds.
func (l *raftLog) votersAt(index uint64) voterSets {
	if !l.dynamic {
		return voterSets{current: l.initialVoters}
	}
	for i := index; i > l.snapshot.Index; i-- {
		if e := l.entries[i-l.snapshot.Index-1]; len(e.Voters) > 0 {
			return voterSets{current: e.Voters, outgoing: e.Outgoing}
		}
	}
	if len(l.snapshot.Voters) > 0 {
		return voterSets{current: l.snapshot.Voters, outgoing: l.snapshot.Outgoing}
	}
	return voterSets{current: l.initialVoters}
}

// lastMembershipChange returns the index of the last entry that changes the
// voters, or 0 if the log holds none.
func (l *raftLog) lastMembershipChange() uint64 {
	for i := len(l.entries) - 1; i >= 0; i-- {
		if len(l.entries[i].Voters) > 0 {
			return l.entries[i].Index
		}
	}
	return 0
}

func (l *raftLog) last() uint64 { return l.snapshot.Index + uint64(len(l.entries)) }

// termAt returns the term of an index, or 0 if the log does not hold it.
func (l *raftLog) termAt(index uint64) uint64 {
	switch {
	case index == l.snapshot.Index:
		return l.snapshot.Term
	case index < l.snapshot.Index || index > l.last():
		return 0
	default:
		return l.entries[index-l.snapshot.Index-1].Term
	}
}

// slice returns the entries from lo to hi inclusive.
func (l *raftLog) slice(lo, hi uint64) []Entry {
	if lo > hi {
		return nil
	}
	base := l.snapshot.Index + 1
	return l.entries[lo-base : hi-base+1]
}

// append adds an entry, replacing any entries at or after its index.
func (l *raftLog) append(e Entry) {
	replaces := e.Index <= l.last()
	l.entries = append(l.entries[:e.Index-l.snapshot.Index-1:e.Index-l.snapshot.Index-1], e)
	if l.unsaved == 0 || e.Index < l.unsaved {
		l.unsaved = e.Index
	}
	if replaces || len(e.Voters) > 0 {
		// A replaced entry may have changed the voters.
		l.voters = l.votersAt(l.last())
	}
}

// merge appends the entries that the log lacks and drops a conflicting suffix.
func (l *raftLog) merge(entries []Entry) {
	for _, e := range entries {
		if e.Index <= l.snapshot.Index || l.termAt(e.Index) == e.Term {
			continue
		}
		l.append(e)
	}
}

func (l *raftLog) takeUnsaved() []Entry {
	if l.unsaved == 0 {
		return nil
	}
	from := max(l.unsaved, l.snapshot.Index+1)
	l.unsaved = 0
	return append([]Entry(nil), l.slice(from, l.last())...)
}

// compact replaces the log up to snap.Index by the snapshot.
func (l *raftLog) compact(snap Snapshot) {
	if snap.Index <= l.snapshot.Index {
		return
	}
	l.entries = append([]Entry(nil), l.slice(snap.Index+1, l.last())...)
	l.snapshot = snap
}

// restore applies a snapshot from the leader. It keeps the entries after the
// snapshot only if the log holds the snapshot's last entry.
func (l *raftLog) restore(snap Snapshot) {
	if l.termAt(snap.Index) == snap.Term {
		l.compact(snap)
	} else {
		l.entries, l.snapshot, l.unsaved = nil, snap, 0
	}
	l.commit = max(l.commit, snap.Index)
	l.voters = l.votersAt(l.last())
}
