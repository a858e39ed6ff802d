package load

// A backend server may start again under its identifier. What was observed of an
// earlier start says nothing about the present one, also when a message about it
// arrives late.

// RecordStart records the incarnation of a backend server. Failures, ejections, learned
// speeds, unanswered opening packets and requests in flight of earlier starts no longer
// count.
func (t *Tracker) RecordStart(id, incarnation uint64) {
	former, known := t.starts[id]
	if known && incarnation <= former {
		return
	}
	if t.starts == nil {
		t.starts = map[uint64]uint64{}
	}
	t.starts[id] = incarnation
	if !known {
		return
	}
	delete(t.failures, id)
	delete(t.speeds, id)
	if s := t.servers[id]; s != nil {
		s.unanswered, s.suspectUntil, s.avoidance, s.ejectedUntil = 0, 0, 0, 0
	}
	for _, f := range t.flows {
		if f.server == id && f.state != idle {
			t.release(f)
		}
	}
}

// ForgetStart drops the incarnation of a backend server that is no longer known, and makes
// Expire drop the rest once its flows have ended.
func (t *Tracker) ForgetStart(id uint64) {
	delete(t.starts, id)
	delete(t.speeds, id)
	if s := t.servers[id]; s != nil {
		s.unanswered, s.ejectedUntil = 0, 0
	}
}
