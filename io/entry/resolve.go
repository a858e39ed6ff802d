package entry

import (
	"time"

	"boragepost/core/flow"
	"boragepost/core/shard"
)

const (
	maxQuestions     = 1 << 14
	maxHeldPackets   = 4 // per question
	questionTimeout  = 3 * time.Second
	questionInterval = 100 * time.Millisecond
)

// query is a packet that a worker could not decide, or a flow that it reports.
type query struct {
	verdict flow.Verdict
	header  flow.Header
	packet  []byte // nil for a report
}

// question is a question to a record keeper that has not been answered.
type question struct {
	id      uint64
	key     flow.Key
	ask     flow.Record
	header  flow.Header
	packets [][]byte
	prepare bool // counts towards the confirmation of a version
	since   int64
	asked   int64
}

// resolver holds the open questions.
type resolver struct {
	byID  map[uint64]*question
	byKey map[flow.Key]*question
}

func (r *resolver) init() {
	r.byID = map[uint64]*question{}
	r.byKey = map[flow.Key]*question{}
}

func (r *resolver) drop(q *question) {
	delete(r.byID, q.id)
	if r.byKey[q.key] == q {
		delete(r.byKey, q.key)
	}
}

func (e *Entry) onQuery(q query) {
	open := e.resolver.byKey[q.verdict.Key]
	if open != nil {
		if q.packet != nil && len(open.packets) < maxHeldPackets {
			open.packets = append(open.packets, q.packet)
			open.header = q.header
		}
		return
	}
	var packets [][]byte
	if q.packet != nil {
		packets = [][]byte{q.packet}
	}
	e.ask(q.verdict.Key, q.verdict.Question, q.header, packets, false)
}

func (e *Entry) ask(key flow.Key, ask flow.Record, h flow.Header, packets [][]byte, prepare bool) {
	if len(e.resolver.byID) >= maxQuestions && !prepare {
		e.counters.questionsRefused.Add(1)
		return
	}
	e.nextID++
	q := &question{id: e.nextID, key: key, ask: ask, header: h, packets: packets, prepare: prepare,
		since: e.now(), asked: e.now()}
	e.resolver.byID[q.id] = q
	if !prepare {
		e.resolver.byKey[key] = q
	}
	e.counters.questions.Add(1)
	e.sendFlows(e.flows.Ask(q.id, key, ask))
}

// onFlowAnswer runs when a record keeper has answered.
func (e *Entry) onFlowAnswer(a shard.Answer[flow.Record]) {
	q := e.resolver.byID[a.ID]
	if q == nil || a.Status != shard.OK {
		return // the question is asked again at a later tick
	}
	e.resolver.drop(q)
	if q.prepare {
		e.reports--
		e.confirmIfReported()
		return
	}
	v := e.balancer.Learn(e.now(), q.header, a.Value)
	for _, p := range q.packets {
		e.plane.sendHeld(v, p)
	}
}

// retryQuestions asks unanswered questions again. A report that belongs to the
// preparation of a move is repeated until it is answered; other questions end,
// and the caller's retransmission starts anew.
func (e *Entry) retryQuestions(now int64) {
	for _, q := range e.resolver.byID {
		if now-q.since > int64(questionTimeout) && !q.prepare {
			e.counters.questionsExpired.Add(1)
			e.resolver.drop(q)
			continue
		}
		if now-q.asked < int64(questionInterval) {
			continue
		}
		q.asked = now
		e.sendFlows(e.flows.Ask(q.id, q.key, q.ask))
	}
}
