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
	maxPendingQueries  = 1 << 14
	maxHeldPackets     = 4 // per query
	queryTimeout       = 3 * time.Second
	queryRetryInterval = 100 * time.Millisecond
	// autonomousQueryTimeout is the query timeout in autonomous mode. It counts
	// from the start of the query or of autonomous mode, whichever is later.
	// Instances that lose the same leader enter autonomous mode within half a
	// second of each other, and the shard primary responds only once it has
	// entered it too.
	autonomousQueryTimeout = 1500 * time.Millisecond
)

// Query is a packet that the balancer cannot decide on without the shard primary,
// or a flow that it reports to the primary.
type Query struct {
	Verdict flow.Verdict
	Header  flow.Header
	Packet  []byte // nil for a report
}

// pendingQuery is a query that the shard primary has not answered.
type pendingQuery struct {
	id        uint64
	key       flow.Key
	request   flow.Record
	header    flow.Header
	packets   [][]byte
	prepare   bool // the preparation of a version waits for the response
	startedAt int64
	sentAt    int64
}

// queries holds the pending queries.
type queries struct {
	byID                map[uint64]*pendingQuery
	byKey               map[flow.Key]*pendingQuery // without those that prepare a version
	lastID              uint64
	pendingPreparations int
}

func (qs *queries) init(firstID uint64) {
	qs.lastID = firstID
	qs.byID = map[uint64]*pendingQuery{}
	qs.byKey = map[flow.Key]*pendingQuery{}
}

func (qs *queries) add(q *pendingQuery) {
	qs.lastID++
	q.id = qs.lastID
	qs.byID[q.id] = q
	if q.prepare {
		qs.pendingPreparations++
		return
	}
	qs.byKey[q.key] = q
}

func (qs *queries) remove(q *pendingQuery) {
	delete(qs.byID, q.id)
	if q.prepare {
		qs.pendingPreparations--
		return
	}
	delete(qs.byKey, q.key)
}

// sorted returns the pending queries in ascending order of their identifiers.
func (qs *queries) sorted() []*pendingQuery {
	return slices.SortedFunc(maps.Values(qs.byID), func(a, b *pendingQuery) int { return cmp.Compare(a.id, b.id) })
}

// reissueQueries sends the pending queries again under new identifiers, so that
// responses to the old ones are ignored. A shard primary has not recorded what it
// responded before a bucket began to move, so such a response must not be used
// after this instance has prepared the move.
func (a *Agent) reissueQueries() {
	for _, q := range a.queries.sorted() {
		if q.prepare {
			continue
		}
		delete(a.queries.byID, q.id)
		a.queries.lastID++
		q.id = a.queries.lastID
		a.queries.byID[q.id] = q
		a.request(q)
	}
}

// prepare reports to the shard primaries the flows that they could mistake for
// new ones during a move that has begun. The version is prepared once all have
// been recorded.
func (a *Agent) prepare(reports []flow.Report) {
	for _, r := range reports {
		a.queries.add(&pendingQuery{key: r.Key, request: r.QueryArg, prepare: true, startedAt: a.now, sentAt: a.now})
	}
	for _, q := range a.queries.sorted() {
		if q.prepare && q.startedAt == a.now {
			a.request(q)
		}
	}
	a.updatePrepared()
}

func (a *Agent) updatePrepared() {
	if a.queries.pendingPreparations == 0 {
		a.prepared = a.version
	}
}

func (a *Agent) handleQuery(q Query) {
	if pending := a.queries.byKey[q.Verdict.Key]; pending != nil {
		if q.Packet != nil && len(pending.packets) < maxHeldPackets {
			pending.packets = append(pending.packets, q.Packet)
			pending.header = q.Header
		}
		return
	}
	if len(a.queries.byID) >= maxPendingQueries {
		a.counts.Refused++
		return
	}
	added := &pendingQuery{key: q.Verdict.Key, request: q.Verdict.QueryArg, header: q.Header, startedAt: a.now, sentAt: a.now}
	if q.Packet != nil {
		added.packets = [][]byte{q.Packet}
	}
	a.queries.add(added)
	a.request(added)
}

func (a *Agent) request(q *pendingQuery) {
	a.counts.QueriesSent++
	q.sentAt = a.now
	a.send(a.store.Request(q.id, q.key, q.request))
}

// onResponse handles the response of a shard primary.
func (a *Agent) onResponse(resp shard.Response[flow.Record]) {
	q := a.queries.byID[resp.ID]
	if q == nil || resp.Status != shard.OK {
		return // retryQueries sends the query again
	}
	a.queries.remove(q)
	if q.prepare {
		a.updatePrepared()
		return
	}
	v := a.balancer.HandleResponse(a.now, q.header, resp.Value)
	for _, p := range q.packets {
		a.out.Packets = append(a.out.Packets, DecidedPacket{Verdict: v, Packet: p})
	}
}

// decideFromTable ends a query that has timed out in autonomous mode and decides
// on its packets from the bucket table. Later packets report the flow once the
// instance is a member again.
func (a *Agent) decideFromTable(q *pendingQuery) {
	a.queries.remove(q)
	if len(q.packets) == 0 {
		return // a report; the next packet of the flow repeats it
	}
	v := a.balancer.DecideFromTable(a.now, q.header)
	for _, p := range q.packets {
		a.out.Packets = append(a.out.Packets, DecidedPacket{Verdict: v, Packet: p})
	}
}

// retryQueries sends unanswered queries again. A query that prepares a version is
// repeated until it is answered. Others time out: in autonomous mode the bucket
// table decides, otherwise the caller's retransmission starts a new query.
func (a *Agent) retryQueries() {
	for _, q := range a.queries.sorted() {
		if a.autonomousSince != 0 && a.now-max(q.startedAt, a.autonomousSince) > nanos(autonomousQueryTimeout) && !q.prepare {
			a.decideFromTable(q)
			continue
		}
		if a.now-q.startedAt > nanos(queryTimeout) && !q.prepare {
			a.counts.Expired++
			a.queries.remove(q)
			continue
		}
		if a.now-q.sentAt >= nanos(queryRetryInterval) {
			a.request(q)
		}
	}
}
