package ctrl

import (
	"boragepost/core/model"
	"boragepost/io/links"
	"boragepost/io/proto"
)

// feed sends committed commands to linked entry instances. It remembers the
// latest ones, so that most instances can continue where they stopped.
type feed struct {
	base  uint64 // index before the first remembered command
	tail  []proto.Applied
	conns map[*entryConn]uint64 // index sent through
}

func newFeed(base uint64) feed {
	return feed{base: base, conns: map[*entryConn]uint64{}}
}

func (f *feed) add(a proto.Applied) {
	f.tail = append(f.tail, a)
	if len(f.tail) > 2*feedLength {
		cut := len(f.tail) - feedLength
		f.base = f.tail[cut-1].Index
		f.tail = append([]proto.Applied(nil), f.tail[cut:]...)
	}
}

// push sends to every instance what it has not been sent yet.
func (f *feed) push() {
	for c, sent := range f.conns {
		f.conns[c] = f.sendAfter(c, sent)
	}
}

func (f *feed) sendAfter(c *entryConn, sent uint64) uint64 {
	from := int(sent - f.base)
	if from >= len(f.tail) {
		return sent
	}
	batch := append([]proto.Applied(nil), f.tail[from:]...)
	c.Send(proto.ToEntry{Commands: batch})
	return batch[len(batch)-1].Index
}

// holds reports whether the feed can continue after an index.
func (f *feed) holds(index uint64) bool {
	return index >= f.base && index <= f.base+uint64(len(f.tail))
}

func (f *feed) closeAll() {
	for c := range f.conns {
		c.Close()
	}
	clear(f.conns)
}

// entryConn is the link of an entry instance.
type entryConn = links.Conn[proto.ToEntry, proto.ToControl]

// serveEntry handles the link of an entry instance.
func (r *Replica) serveEntry(c *entryConn) {
	defer r.post(func() { delete(r.feed.conns, c) })
	for m := range c.Messages() {
		if !r.post(func() { r.onEntry(c, m) }) {
			return
		}
	}
}

func (r *Replica) onEntry(c *entryConn, m proto.ToControl) {
	switch {
	case m.Hello != nil:
		r.onHello(c, *m.Hello)
	case m.Heartbeat != nil:
		seq := m.Heartbeat.Seq
		r.toLeader(proto.Forward{Heartbeat: &m.Heartbeat.Heartbeat}, func(reply proto.Reply) {
			if reply.Grant != nil {
				reply.Grant.Seq = seq
				c.Send(proto.ToEntry{Grant: reply.Grant})
			}
		})
	case len(m.Renew) > 0:
		r.toLeader(proto.Forward{Renew: m.Renew}, func(proto.Reply) {})
	case m.Announce != nil:
		r.onAnnounce(c, *m.Announce)
	}
}

// onHello starts the feed of an instance, with a snapshot when the instance is
// too far behind. An instance ahead of this replica gets nothing until the
// replica has caught up.
func (r *Replica) onHello(c *entryConn, h proto.Hello) {
	sent := h.Applied
	if h.Applied < r.feed.base {
		data, err := r.state.RoutingSnapshot()
		if err != nil {
			c.Close()
			return
		}
		c.Send(proto.ToEntry{Snapshot: data})
		sent = r.state.Index()
	}
	if !r.feed.holds(sent) {
		// The link is closed so that the instance tries again or elsewhere.
		c.Close()
		return
	}
	r.feed.conns[c] = r.feed.sendAfter(c, sent)
}

func (r *Replica) onAnnounce(c *entryConn, a proto.Announce) {
	cmd := model.Command{Actor: "backendServer/" + a.Server.Name, Announce: &model.Announce{Server: a.Server}}
	reply := func(result model.Result, failure string) {
		c.Send(proto.ToEntry{Announced: &proto.Announced{ID: a.ID, Result: result, Error: failure}})
	}
	r.toLeader(proto.Forward{Command: &cmd}, func(got proto.Reply) {
		if got.Result == nil {
			reply(model.Result{}, "no quorum")
			return
		}
		reply(*got.Result, "")
	})
}
