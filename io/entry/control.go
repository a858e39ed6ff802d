package entry

import (
	"time"

	"boragepost/core/leader"
	"boragepost/core/model"
	"boragepost/io/links"
	"boragepost/io/proto"
)

const (
	// linkSilence is the time without a grant after which the instance turns to
	// another control replica.
	linkSilence = 1500 * time.Millisecond
	// islandAfter is how long the instance must have tried in vain to renew its
	// lease before it serves its callers without one.
	islandAfter = 1500 * time.Millisecond
	// pausedAfter is the gap between two ticks that shows that the process did
	// not run.
	pausedAfter = 500 * time.Millisecond
	maxBeats    = 64
)

// leaseKeeper follows the lease that the control leader grants.
type leaseKeeper struct {
	seq     uint64
	sent    map[uint64]int64 // send times of heartbeats
	held    *proto.Grant     // a grant that waits for its version
	heldAt  int64
	lost    int64 // when the loss of the lease was noticed; 0 with a lease
	ticked  int64
	granted int64 // when the last grant arrived
}

func (k *leaseKeeper) init() { k.sent = map[uint64]int64{} }

// tick returns whether the instance must serve without a lease. A process that
// wakes from a pause first tries to renew it.
func (k *leaseKeeper) tick(now int64, leased bool) bool {
	paused := now-k.ticked > int64(pausedAfter)
	k.ticked = now
	switch {
	case leased:
		k.lost = 0
		return false
	case k.lost == 0 || paused:
		k.lost = now
		return false
	default:
		return now-k.lost >= int64(islandAfter)
	}
}

// applied renews the lease by a grant that has waited for a version.
func (k *leaseKeeper) applied(e *Entry, version uint64) {
	if k.held == nil || version < k.held.Commit {
		return
	}
	e.balancer.RenewLease(k.heldAt + k.held.LeaseMs*int64(time.Millisecond))
	k.held = nil
}

func (e *Entry) connect() {
	var addrs []string
	for _, a := range e.cfg.Settings.Control {
		addrs = append(addrs, a.String())
	}
	e.control = links.NewFailoverClient(e.ctx, addrs, proto.EntryPath, links.Options[proto.ToControl, proto.ToEntry]{
		Meter: &e.traffic.control,
		Opened: func(c *links.Conn[proto.ToControl, proto.ToEntry]) {
			e.post(func() {
				c.Send(proto.ToControl{Hello: &proto.Hello{Instance: e.self.ID, Applied: e.state.Index()}})
				e.lease.granted = e.now()
				e.sendBeat()
			})
		},
		Received: func(m proto.ToEntry) { e.post(func() { e.onControl(m) }) },
	})
}

func (e *Entry) onControl(m proto.ToEntry) {
	switch {
	case m.Snapshot != nil:
		e.install(m.Snapshot)
	case len(m.Commands) > 0:
		e.follow(m.Commands)
	case m.Grant != nil:
		e.onGrant(*m.Grant)
	case m.Announced != nil:
		done := e.calls[m.Announced.ID]
		delete(e.calls, m.Announced.ID)
		if done != nil {
			done(*m.Announced)
		}
	}
}

func (e *Entry) onGrant(g proto.Grant) {
	sent, ok := e.lease.sent[g.Seq]
	if !ok {
		return
	}
	e.lease.granted = e.now()
	if g.LeaseMs == 0 {
		return
	}
	// The lease counts from the sending of the heartbeat, so it ends here
	// before it ends at the leader.
	e.lease.held, e.lease.heldAt = &g, sent
	e.lease.applied(e, e.state.Index())
}

func (e *Entry) sendBeat() {
	k := &e.lease
	k.seq++
	k.sent[k.seq] = e.now()
	confirmed, fetched := e.agent.Progress()
	e.beat = lastBeat{confirmed: confirmed, fetched: fetched, at: e.now()}
	delete(k.sent, k.seq-maxBeats)
	e.control.Send(proto.ToControl{Heartbeat: &proto.Heartbeat{Seq: k.seq, Heartbeat: leader.Heartbeat{
		Instance: e.self,
		Applied:  e.state.Index(),
		Prepared: confirmed,
		Fetched:  fetched,
		Leaving:  e.leaving.Load(),
	}}})
}

// resetSilentLink drops a link over which no grant has come for a while; the
// next one goes to another control replica.
func (e *Entry) resetSilentLink(now int64) {
	if now-e.lease.granted > int64(linkSilence) {
		e.lease.granted = now
		e.control.Reconnect()
	}
}

func (e *Entry) sendRenewals() {
	if len(e.renewals) == 0 {
		return
	}
	var ids []model.ServerID
	for id := range e.renewals {
		ids = append(ids, id)
	}
	clear(e.renewals)
	e.control.Send(proto.ToControl{Renew: ids})
}
