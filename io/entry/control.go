package entry

import (
	"time"

	"boragepost/core/leader"
	"boragepost/core/model"
	"boragepost/io/links"
	"boragepost/io/proto"
)

const (
	// grantTimeout is the time without a grant after which the instance
	// switches to another control replica.
	grantTimeout = 1500 * time.Millisecond
	// autonomousDelay is how long the instance must have failed to renew its
	// lease before it serves without one.
	autonomousDelay = 1500 * time.Millisecond
	// pauseThreshold is the gap between two ticks above which the process is
	// considered to have been paused.
	pauseThreshold = 500 * time.Millisecond
	// maxPendingHeartbeats is the number of latest heartbeats whose grants are
	// accepted.
	maxPendingHeartbeats = 64
)

// leaseTracker tracks the lease that the control leader grants to this instance.
type leaseTracker struct {
	seq           uint64           // of the latest heartbeat
	sentAt        map[uint64]int64 // send times of heartbeats by sequence number
	pending       *proto.Grant     // a grant whose commit index has not been applied yet
	pendingSentAt int64            // when the heartbeat of that grant was sent
	lostAt        int64            // when the loss of the lease was detected; 0 with a lease
	tickedAt      int64            // time of the latest tick
	grantedAt     int64            // when the latest grant arrived
}

func (k *leaseTracker) init() { k.sentAt = map[uint64]int64{} }

// tick reports whether the instance must serve without a lease. A process that
// resumes after a pause first tries to renew its lease.
func (k *leaseTracker) tick(now int64, hasLease bool) bool {
	resumed := now-k.tickedAt > int64(pauseThreshold)
	k.tickedAt = now
	switch {
	case hasLease:
		k.lostAt = 0
		return false
	case k.lostAt == 0 || resumed:
		k.lostAt = now
		return false
	default:
		return now-k.lostAt >= int64(autonomousDelay)
	}
}

// renewIfApplied renews the lease from the pending grant once the grant's
// commit index has been applied.
func (k *leaseTracker) renewIfApplied(e *Entry, version uint64) {
	if k.pending == nil || version < k.pending.Commit {
		return
	}
	e.openGateway()
	e.balancer.RenewLease(k.pendingSentAt + k.pending.LeaseMs*int64(time.Millisecond))
	k.pending = nil
}

func (e *Entry) connectControl() {
	var addrs []string
	for _, a := range e.cfg.Settings.Control {
		addrs = append(addrs, a.String())
	}
	e.control = links.NewFailoverClient(e.ctx, addrs, proto.EntryPath, links.Options[proto.ToControl, proto.ToEntry]{
		Meter: &e.traffic.control,
		Opened: func(c *links.Conn[proto.ToControl, proto.ToEntry]) {
			e.post(func() {
				c.Send(proto.ToControl{Hello: &proto.Hello{Instance: e.self.ID, Applied: e.state.Index()}})
				e.lease.grantedAt = e.now()
				e.sendHeartbeat()
			})
		},
		Received: func(m proto.ToEntry) { e.post(func() { e.handleControl(m) }) },
	})
}

func (e *Entry) handleControl(m proto.ToEntry) {
	switch {
	case m.Snapshot != nil:
		e.installSnapshot(m.Snapshot)
	case len(m.Commands) > 0:
		e.applyCommands(m.Commands)
	case m.Grant != nil:
		e.handleGrant(*m.Grant)
	case m.Announced != nil:
		respond := e.pendingAnnouncements[m.Announced.ID]
		delete(e.pendingAnnouncements, m.Announced.ID)
		if respond != nil {
			respond(*m.Announced)
		}
	}
}

func (e *Entry) handleGrant(g proto.Grant) {
	sentAt, ok := e.lease.sentAt[g.Seq]
	if !ok {
		return
	}
	e.lease.grantedAt = e.now()
	if g.LeaseMs == 0 {
		return
	}
	// The lease is measured from when the heartbeat was sent, so it expires here
	// before it expires at the leader.
	e.lease.pending, e.lease.pendingSentAt = &g, sentAt
	e.lease.renewIfApplied(e, e.state.Index())
}

func (e *Entry) sendHeartbeat() {
	k := &e.lease
	k.seq++
	k.sentAt[k.seq] = e.now()
	prepared, fetched := e.agent.Progress()
	e.reported = reportedProgress{prepared: prepared, fetched: fetched, at: e.now()}
	delete(k.sentAt, k.seq-maxPendingHeartbeats)
	e.control.Send(proto.ToControl{Heartbeat: &proto.Heartbeat{Seq: k.seq, Heartbeat: leader.Heartbeat{
		Instance: e.self,
		Applied:  e.state.Index(),
		Prepared: prepared,
		Fetched:  fetched,
		Leaving:  e.leaving.Load(),
	}}})
}

// reconnectIfSilent closes the link if no grant has arrived over it for
// grantTimeout. The next link goes to another control replica.
func (e *Entry) reconnectIfSilent(now int64) {
	if now-e.lease.grantedAt > int64(grantTimeout) {
		e.lease.grantedAt = now
		e.control.Reconnect()
	}
}

func (e *Entry) sendRenewals() {
	if len(e.pendingRenewals) == 0 {
		return
	}
	var ids []model.ServerID
	for id := range e.pendingRenewals {
		ids = append(ids, id)
	}
	clear(e.pendingRenewals)
	e.control.Send(proto.ToControl{Renew: ids})
}
