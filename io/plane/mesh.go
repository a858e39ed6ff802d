package plane

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"boragepost/core/quorum"
	"boragepost/io/links"
	"boragepost/io/proto"
)

// mesh keeps a link to every other known replica: the seeds, the voters, and those
// that have asked to join.
type mesh struct {
	r     *Replica
	mu    sync.Mutex
	links map[string]*peerLink // by address
}

type peerLink struct {
	client *links.Client[proto.ToPlane, proto.ToPlane]
	close  context.CancelFunc
	// wantedAt is when link was last called for the address.
	wantedAt time.Duration
}

// maxLinks bounds the number of links. It leaves room for replacements of voters.
const maxLinks = 32

func (m *mesh) init(r *Replica) {
	m.r = r
	m.links = map[string]*peerLink{}
}

// link opens links to addresses that have none. Beyond maxLinks it closes the link that
// has not been wanted for longest.
func (m *mesh) link(addresses []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.r.now()
	for _, a := range addresses {
		if l := m.links[a]; l != nil {
			l.wantedAt = now
			continue
		}
		if a == m.r.cfg.Listen.String() {
			continue
		}
		if len(m.links) >= maxLinks {
			m.closeLeastWanted()
		}
		ctx, cancel := context.WithCancel(m.r.ctx)
		m.links[a] = &peerLink{close: cancel, wantedAt: now, client: links.NewClient(ctx, a, proto.PlanePath,
			links.Options[proto.ToPlane, proto.ToPlane]{
				Meter: &m.r.meter, Heartbeat: proto.LinkHeartbeat,
				Opened: func(c *links.Conn[proto.ToPlane, proto.ToPlane]) {
					m.r.log.WithField("peer", a).Info("peerFound")
					c.Send(proto.ToPlane{Roster: &proto.Roster{From: m.r.id, Servers: m.r.registry.all()}})
				},
				Closed: func() { m.r.log.WithField("peer", a).Warn("peerLost") },
			})}
	}
}

func (m *mesh) closeLeastWanted() {
	least := ""
	for a, l := range m.links {
		if least == "" || l.wantedAt < m.links[least].wantedAt {
			least = a
		}
	}
	m.links[least].close()
	delete(m.links, least)
}

// SetSeeds replaces the addresses from which other replicas are discovered. Links
// to former seeds stay.
func (r *Replica) SetSeeds(seeds []netip.AddrPort) {
	r.enqueue(r.ctx, func() { r.cfg.Seeds = seeds })
}

// send sends a message to a replica. It reports false when the message could not
// be queued; it is not retried.
func (m *mesh) send(id string, message proto.ToPlane) bool {
	m.mu.Lock()
	l := m.links[quorum.AddressOf(id)]
	m.mu.Unlock()
	return l != nil && l.client.Send(message)
}

// broadcast sends a message to every known replica.
func (m *mesh) broadcast(message proto.ToPlane) {
	e, err := links.Encode(message)
	if err != nil {
		m.r.log.WithError(err).Error("messageNotEncoded")
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, l := range m.links {
		l.client.SendEncoded(e)
	}
}

// servePlane handles the link of another replica.
func (r *Replica) servePlane(c *links.Conn[proto.ToPlane, proto.ToPlane]) {
	for m := range c.Messages() {
		if !r.handleMessage(m) {
			return
		}
	}
}

// handleMessage handles a message from another replica. It reports false when this
// replica has stopped.
func (r *Replica) handleMessage(m proto.ToPlane) bool {
	switch {
	case m.Quorum != nil:
		if m.Quorum.To != r.id {
			return true // addressed to an earlier replica at this address, whose disk was lost
		}
		return r.enqueue(r.ctx, func() { r.node.Step(*m.Quorum) })
	case m.Join != "":
		return r.enqueue(r.ctx, func() { r.handleJoin(m.Join) })
	case m.Proposal != nil:
		return r.enqueue(r.ctx, func() { r.handleProposal(m) })
	case m.Evacuation != nil:
		return r.enqueue(r.ctx, func() { r.handleEvacuation(*m.Evacuation) })
	case m.ReadIndexRequest != nil:
		return r.enqueue(r.ctx, func() { r.handleReadIndexRequest(*m.ReadIndexRequest) })
	case m.ReadIndexResponse != nil:
		return r.enqueue(r.ctx, func() { r.handleReadIndexResponse(*m.ReadIndexResponse) })
	case m.Roster != nil:
		r.registry.handleRoster(*m.Roster)
	case m.Liveness != nil:
		r.registry.handleLiveness(*m.Liveness)
	case m.RosterQuery != nil:
		r.registry.handleRosterQuery(*m.RosterQuery)
	case m.RosterAck != nil:
		r.registry.handleRosterAck(*m.RosterAck)
	case len(m.Failures) > 0:
		r.outliers.detect(m.Failures)
	case len(m.ColdGrants) > 0:
		r.granter.receive(m.ColdGrants)
	case len(m.Ejections) > 0:
		r.registry.hub.PublishEjections(m.Ejections)
	}
	return true
}

// handleJoin admits a replica as a learner, or forwards its request to the leader.
func (r *Replica) handleJoin(id string) {
	r.mesh.link([]string{quorum.AddressOf(id)})
	if r.node.Role() == quorum.Leader {
		r.node.AddLearner(id)
		return
	}
	if leader := r.node.Leader(); leader != "" && leader != id {
		r.mesh.send(leader, proto.ToPlane{Join: id})
	}
}

func (r *Replica) handleProposal(m proto.ToPlane) {
	if r.node.Role() == quorum.Leader {
		r.proposeOrForward(*m.Proposal)
	}
}
