package agent

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"boragepost/core/flow"
	"boragepost/core/shard"
)

const (
	maxQuestions     = 1 << 14
	maxHeldPackets   = 4 // per question
	questionTimeout  = 3 * time.Second
	questionInterval = 100 * time.Millisecond
	// islandPatience is how long an island waits for a keeper, counted from when
	// it became one at the earliest. Instances that
	// lose the same leader become islands within half a second of each other;
	// the keeper answers when it has become one too.
	islandPatience = 1500 * time.Millisecond
)

// Query is a packet that the balancer could not decide, or a flow that it
// reports.
type Query struct {
	Verdict flow.Verdict
	Header  flow.Header
	Packet  []byte // nil for a report
}

// question is a question to a record keeper that has not been answered.
type question struct {
	id      uint64
	key     flow.Key
	ask     flow.Record
	header  flow.Header
	packets [][]byte
	prepare bool // the confirmation of a version waits for the answer
	since   int64
	asked   int64
}

// questions holds the open questions.
type questions struct {
	byID     map[uint64]*question
	byKey    map[flow.Key]*question // without those of preparations
	last     uint64
	prepares int
}

func (q *questions) init() {
	q.byID = map[uint64]*question{}
	q.byKey = map[flow.Key]*question{}
}

func (q *questions) add(n *question) {
	q.last++
	n.id = q.last
	q.byID[n.id] = n
	if n.prepare {
		q.prepares++
		return
	}
	q.byKey[n.key] = n
}

func (q *questions) drop(n *question) {
	delete(q.byID, n.id)
	if n.prepare {
		q.prepares--
		return
	}
	delete(q.byKey, n.key)
}

// inOrder returns the open questions, oldest first.
func (q *questions) inOrder() []*question {
	return slices.SortedFunc(maps.Values(q.byID), func(a, b *question) int { return cmp.Compare(a.id, b.id) })
}

// askAgain withdraws the open questions and asks them anew. An answer that a
// keeper gave before a bucket began to move is not recorded there, so it must not
// be used after this instance has confirmed the move.
func (a *Agent) askAgain() {
	for _, q := range a.questions.inOrder() {
		if q.prepare {
			continue
		}
		delete(a.questions.byID, q.id)
		a.questions.last++
		q.id = a.questions.last
		a.questions.byID[q.id] = q
		a.ask(q)
	}
}

// prepare asks the keepers to record the flows that a beginning move must not
// mistake for new ones. The version is confirmed when all have been recorded.
func (a *Agent) prepare(reports []flow.Report) {
	for _, r := range reports {
		a.questions.add(&question{key: r.Key, ask: r.QueryArg, prepare: true, since: a.now, asked: a.now})
	}
	for _, q := range a.questions.inOrder() {
		if q.prepare && q.since == a.now {
			a.ask(q)
		}
	}
	a.confirm()
}

func (a *Agent) confirm() {
	if a.questions.prepares == 0 {
		a.confirmed = a.version
	}
}

func (a *Agent) query(q Query) {
	if open := a.questions.byKey[q.Verdict.Key]; open != nil {
		if q.Packet != nil && len(open.packets) < maxHeldPackets {
			open.packets = append(open.packets, q.Packet)
			open.header = q.Header
		}
		return
	}
	if len(a.questions.byID) >= maxQuestions {
		a.counts.Refused++
		return
	}
	n := &question{key: q.Verdict.Key, ask: q.Verdict.QueryArg, header: q.Header, since: a.now, asked: a.now}
	if q.Packet != nil {
		n.packets = [][]byte{q.Packet}
	}
	a.questions.add(n)
	a.ask(n)
}

func (a *Agent) ask(q *question) {
	a.counts.QueriesSent++
	q.asked = a.now
	a.send(a.store.Request(q.id, q.key, q.ask))
}

// onAnswer runs when a record keeper has answered.
func (a *Agent) onAnswer(answer shard.Response[flow.Record]) {
	q := a.questions.byID[answer.ID]
	if q == nil || answer.Status != shard.OK {
		return // the question is asked again at a later tick
	}
	a.questions.drop(q)
	if q.prepare {
		a.confirm()
		return
	}
	v := a.balancer.HandleResponse(a.now, q.header, answer.Value)
	for _, p := range q.packets {
		a.out.Packets = append(a.out.Packets, Held{Verdict: v, Packet: p})
	}
}

// answerAlone ends a question whose keeper does not answer an island. The flow is
// reported once the instance is a member again.
func (a *Agent) answerAlone(q *question) {
	a.questions.drop(q)
	if len(q.packets) == 0 {
		return // a report; the next packet of the flow repeats it
	}
	v := a.balancer.DecideFromTable(a.now, q.header)
	for _, p := range q.packets {
		a.out.Packets = append(a.out.Packets, Held{Verdict: v, Packet: p})
	}
}

// retryQuestions asks unanswered questions again. A question that belongs to a
// preparation is repeated until it is answered; others end, and the caller's
// retransmission starts anew.
func (a *Agent) retryQuestions() {
	for _, q := range a.questions.inOrder() {
		if a.island != 0 && a.now-max(q.since, a.island) > nanos(islandPatience) && !q.prepare {
			a.answerAlone(q)
			continue
		}
		if a.now-q.since > nanos(questionTimeout) && !q.prepare {
			a.counts.Expired++
			a.questions.drop(q)
			continue
		}
		if a.now-q.asked >= nanos(questionInterval) {
			a.ask(q)
		}
	}
}
