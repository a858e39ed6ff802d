package entry

import (
	"context"
	"net/netip"

	"boragepost/core/claim"
	"boragepost/core/model"
	"boragepost/core/shard"
	"boragepost/io/links"
	"boragepost/io/proto"
)

// peer is the link to another entry instance.
type peer struct {
	addr   netip.AddrPort
	client *links.Client[proto.ToPeer, proto.ToPeer]
	stop   func()
}

// traffic counts the bytes on links by purpose.
type traffic struct {
	control links.Meter // the link to a control replica
	records links.Meter // flow records, between instances
	claims  links.Meter // request claims, between instances
}

// peerMeter returns a meter for links between instances. It counts claims separately
// from flow records.
func (t *traffic) peerMeter() *links.Meter {
	return &links.Meter{Select: func(m any) *links.Meter {
		if peer, ok := m.(proto.ToPeer); ok && peer.Claim != nil {
			return &t.claims
		}
		return &t.records
	}}
}

// updatePeers opens links to new members and closes those to former ones.
func (e *Entry) updatePeers() {
	for id, p := range e.peers {
		if m, ok := e.state.Instance(id); !ok || m.Peer != p.addr {
			p.stop()
			delete(e.peers, id)
		}
	}
	for _, m := range e.state.Instances() {
		if _, linked := e.peers[m.ID]; linked || m.ID == e.self.ID {
			continue
		}
		ctx, cancel := context.WithCancel(e.ctx)
		client := links.NewClient(ctx, m.Peer.String(), proto.PeerPath,
			links.Options[proto.ToPeer, proto.ToPeer]{Meter: e.traffic.peerMeter()})
		e.peers[m.ID] = peer{addr: m.Peer, client: client, stop: cancel}
	}
}

// servePeer handles the link of another entry instance.
func (e *Entry) servePeer(c *links.Conn[proto.ToPeer, proto.ToPeer]) {
	for m := range c.Messages() {
		if !e.post(func() { e.handlePeer(m) }) {
			return
		}
	}
}

func (e *Entry) handlePeer(m proto.ToPeer) {
	switch {
	case m.Agent != nil:
		e.sendOutput(e.agent.Handle(e.now(), m.From, *m.Agent))
	case m.Claim != nil:
		e.sendClaims(e.claims.Handle(m.From, *m.Claim))
	}
}

func (e *Entry) sendPeer(to model.InstanceID, m proto.ToPeer) {
	m.From = e.self.ID
	if to == e.self.ID {
		e.handlePeer(m)
		return
	}
	if p, ok := e.peers[to]; ok {
		p.client.Send(m)
	}
}

func (e *Entry) sendClaims(sends []shard.Send[claim.Key, claim.Record]) {
	for _, s := range sends {
		e.sendPeer(s.To, proto.ToPeer{Claim: &s.Message})
	}
}
